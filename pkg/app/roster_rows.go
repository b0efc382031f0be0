package app

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// rosterPrefix differs from the prefix of the fencing rows, so that the removal of roster rows can
// never delete them.
const rosterPrefix platform.Key = "vm/"

type wireVM struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"dataCentre"`
	PeerAddress string `json:"peerAddress"`
	Size        int    `json:"size"`
	StartedMs   int64  `json:"startedMs"`
	Leaving     bool   `json:"leaving"`
}

// rosterRows maintains this VM's row in the platform's table and reads the rows of all VMs.
type rosterRows struct {
	table platform.Table
	clock clock.Clock
	self  vm.VM

	revision    platform.Revision
	refreshedAt clock.Millis
}

func newRosterRows(table platform.Table, c clock.Clock, self vm.VM) *rosterRows {
	return &rosterRows{table: table, clock: c, self: self}
}

// register writes this VM's row if it is absent, and rewrites it at intervals: other VMs take an
// unchanged revision to mean that the VM of the row no longer runs.
func (r *rosterRows) register(ctx context.Context) error {
	now := r.clock.Now()
	if r.revision != 0 && now-r.refreshedAt < vm.RowRefreshInterval {
		return nil
	}
	key := rosterKey(r.self.Incarnation)
	row, err := r.table.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	body, err := json.Marshal(wireVM{
		Incarnation: string(r.self.Incarnation),
		DataCentre:  string(r.self.DataCentre),
		PeerAddress: r.self.PeerAddress,
		Size:        int(r.self.Size),
		StartedMs:   int64(r.self.Started),
	})
	if err != nil {
		return errors.Trace(err)
	}
	revision, err := r.table.Put(ctx, key, row.Revision, body)
	if err != nil {
		return err
	}
	r.revision, r.refreshedAt = revision, now
	return nil
}

// read returns the event that passes the rows to the control goroutine. If another VM has deleted
// this VM's row by mistake, the next poll writes it again.
func (r *rosterRows) read(ctx context.Context) (entry.RowsRead, error) {
	requestedAt := r.clock.Now()
	rows, err := r.table.List(ctx, rosterPrefix)
	if err != nil {
		return entry.RowsRead{}, errors.Trace(err)
	}
	e := entry.RowsRead{RequestedAt: requestedAt}
	found := false
	for _, row := range rows {
		var w wireVM
		if err := json.Unmarshal(row.Value, &w); err != nil {
			return entry.RowsRead{}, errors.Annotatef(err, "decode row %s", row.Key)
		}
		v := vm.VM{
			Incarnation: vm.Incarnation(w.Incarnation),
			DataCentre:  datacentre.ID(w.DataCentre),
			PeerAddress: w.PeerAddress,
			Size:        vm.Size(w.Size),
			Started:     clock.Millis(w.StartedMs),
			Leaving:     w.Leaving,
		}
		found = found || v.Incarnation == r.self.Incarnation
		e.Rows = append(e.Rows, vm.Row{VM: v, Revision: vm.RowRevision(row.Revision)})
	}
	if !found {
		r.revision = 0
	}
	return e, nil
}

// DeleteRow implements entry.RowDeleter. A row that was refreshed meanwhile is not deleted.
func (r *rosterRows) DeleteRow(ctx context.Context, row vm.Row) error {
	return r.table.Delete(ctx, rosterKey(row.VM.Incarnation), platform.Revision(row.Revision))
}

func rosterKey(i vm.Incarnation) platform.Key {
	return rosterPrefix + platform.Key(i)
}

package daemon

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/platform"
)

const (
	// desiredWait is how long the store may hold a request for a newer desired state. A change
	// has to be applied on all VMs within two seconds, also if a connection delivers nothing.
	desiredWait = clock.Millis(1000)
	// rosterWait is the same for the other tables. It may be longer, since peers send VMs and
	// replica sets too.
	rosterWait = clock.Millis(2500)
	// endpointsPauseHome and endpointsPauseSuccessor are the pauses of leaders and successors
	// between reads of changes to the list of endpoints. No task may start at an endpoint later
	// than 2 s after it has reported that it is leaving.
	endpointsPauseHome      = clock.Millis(400)
	endpointsPauseSuccessor = clock.Millis(1500)
	// manyChanges is the number of changes in an answer from which the next read follows without
	// a pause: the store's answers end at 500 rows or 1 MB, so more changes may be pending.
	// 3,000 endpoints change 2,000 rows a second; with a pause after each answer, leaders were
	// seconds behind.
	manyChanges = 250
	// readAgain is the pause after a read that failed.
	readAgain = clock.Millis(150)
)

// follower follows the changes of one table.
type follower struct {
	store   store.Store
	table   store.Table
	wait    clock.Millis
	pause   func() clock.Millis
	journal *journal
	// changed receives all rows and the version at which they were read.
	changed func(rows map[string]store.Row, version store.Revision)
}

// run reads the table once and then follows its changes. It reads the table again if the store
// no longer has all changes.
func (f *follower) run(ctx context.Context) error {
	rows := make(map[string]store.Row)
	var version store.Revision
	known := false
	for ctx.Err() == nil {
		pause := f.pause()
		if pause < 0 {
			// This VM does not need the table now. The store's history is long enough to
			// continue from the same version later.
			sleep(ctx, readAgain)
			continue
		}
		var s store.Snapshot
		var err error
		if known {
			s, err = f.store.Follow(ctx, f.table, version, f.wait)
		} else {
			s, err = f.store.Read(ctx, f.table)
		}
		if err != nil {
			if errors.Is(err, store.ErrHistoryTruncated) {
				known = false
			}
			if ctx.Err() == nil {
				f.journal.storeFailed(string(f.table), err)
			}
			sleep(ctx, readAgain)
			continue
		}
		f.journal.storeAnswered(string(f.table))
		if !known {
			clear(rows)
		}
		for _, r := range s.Rows {
			if r.Removed {
				delete(rows, r.Key)
				continue
			}
			rows[r.Key] = r
		}
		if !known || len(s.Rows) > 0 {
			f.changed(rows, s.Version)
		}
		known, version = true, s.Version
		if pause > 0 && len(s.Rows) < manyChanges {
			sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, span clock.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func always(span clock.Millis) func() clock.Millis {
	return func() clock.Millis { return span }
}

func (d *Daemon) followers() []*follower {
	return []*follower{
		{store: d.store, table: platform.Operator, wait: desiredWait, pause: always(0), journal: d.journal, changed: d.desiredChanged},
		{store: d.store, table: store.VMs, wait: rosterWait, pause: always(0), journal: d.journal, changed: d.vmsChanged},
		{store: d.store, table: store.ReplicaSets, wait: rosterWait, pause: always(0), journal: d.journal, changed: d.lineupsChanged},
		{store: d.store, table: platform.Endpoints, wait: rosterWait, pause: d.endpointsPause, journal: d.journal, changed: d.endpointsChanged},
	}
}

func (d *Daemon) endpointsPause() clock.Millis {
	if d.loop.endpoints.Load().version == 0 {
		// A VM that has just started may become leader within 100 ms.
		return 0
	}
	switch d.loop.role.Load() {
	case roleHome:
		return endpointsPauseHome
	case roleSuccessor:
		return endpointsPauseSuccessor
	}
	return -1
}

func (d *Daemon) desiredChanged(rows map[string]store.Row, _ store.Revision) {
	r, ok := rows[platform.DesiredKey]
	if !ok {
		return
	}
	s, err := platform.DecodeDesired(r.Value)
	if err != nil {
		d.journal.callFailed("decode desired state", "store", err)
		return
	}
	d.loop.Post(node.DesiredStateLoaded{State: s})
}

func (d *Daemon) vmsChanged(rows map[string]store.Row, _ store.Revision) {
	var all []shard.VM
	for _, r := range rows {
		v, err := store.DecodeVM(r)
		if err != nil {
			d.journal.callFailed("decode VM", "store", err)
			continue
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b shard.VM) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	d.loop.Post(node.VMsLoaded{VMs: all})
}

func (d *Daemon) lineupsChanged(rows map[string]store.Row, _ store.Revision) {
	var all []shard.ReplicaSet
	for _, r := range rows {
		l, err := store.DecodeReplicaSet(r)
		if err != nil {
			d.journal.callFailed("decode lineup", "store", err)
			continue
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b shard.ReplicaSet) int { return cmp.Compare(a.Cell, b.Cell) })
	d.loop.Post(node.ReplicaSetsLoaded{ReplicaSets: all})
}

// decodedRow caches the endpoint decoded from the value of its row. Without the cache, a change
// of one row of 3,000 would take some 30 ms, since all rows are decoded again.
type decodedRow struct {
	value    []byte
	endpoint endpoint.Endpoint
	readable bool
}

// endpointsChanged decodes the rows that have changed. Only one follower calls it, so decoded
// needs no lock.
func (d *Daemon) endpointsChanged(rows map[string]store.Row, version store.Revision) {
	var all []endpoint.Endpoint
	maps.DeleteFunc(d.decoded, func(key string, _ decodedRow) bool { _, listed := rows[key]; return !listed })
	for _, r := range rows {
		was, known := d.decoded[r.Key]
		if !known || !bytes.Equal(was.value, r.Value) {
			e, err := platform.DecodeEndpoint(r)
			if err != nil {
				d.journal.unreadable(r.Key, err)
			}
			was = decodedRow{value: r.Value, endpoint: e, readable: err == nil}
			d.decoded[r.Key] = was
		}
		if was.readable {
			all = append(all, was.endpoint)
		}
	}
	slices.SortFunc(all, func(a, b endpoint.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	d.loop.Post(node.EndpointsLoaded{Endpoints: all, Version: int64(version)})
}

// register writes this VM's row, and retries until the write succeeds.
func (d *Daemon) register(ctx context.Context) error {
	body, err := store.EncodeVM(d.self)
	if err != nil {
		return errors.Annotate(err, "encode row of this VM")
	}
	for ctx.Err() == nil {
		err := d.store.Put(ctx, store.VMs, string(d.self.Incarnation.VM()), body)
		if err == nil {
			break
		}
		d.journal.storeFailed(string(store.VMs), err)
		sleep(ctx, readAgain)
	}
	<-ctx.Done()
	return ctx.Err()
}

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
	// desiredFeedWait is how long the store may hold a request for a newer desired state. A change
	// has to be applied on all VMs within two seconds, also if a connection delivers nothing.
	desiredFeedWait = clock.Millis(1000)
	// feedWait is the same for the other tables. It may be longer, since peers send VMs and
	// replica sets too.
	feedWait = clock.Millis(2500)
	// leaderEndpointsPause and successorEndpointsPause are the pauses of leaders and successors
	// between reads of changes to the list of endpoints. No task may start at an endpoint later
	// than 2 s after it has reported that it is leaving.
	leaderEndpointsPause    = clock.Millis(400)
	successorEndpointsPause = clock.Millis(1500)
	// catchUpThreshold is the number of changes in an answer from which the next read follows
	// without a pause: the store's answers end at 500 rows or 1 MB, so more changes may be pending.
	// 3,000 endpoints change 2,000 rows a second; with a pause after each answer, leaders were
	// seconds behind.
	catchUpThreshold = 250
	// retryPause is the pause after a read that failed.
	retryPause = clock.Millis(150)
)

// follower follows the changes of one table.
type follower struct {
	store  store.Store
	table  store.Table
	wait   clock.Millis
	pause  func() clock.Millis
	logger *eventLogger
	// changed receives all rows and the version at which they were read.
	changed func(rows map[string]store.Row, version store.Revision)
}

// run reads the table once and then follows its changes. It reads the table again if the store
// no longer has all changes.
func (f *follower) run(ctx context.Context) error {
	rows := make(map[string]store.Row)
	var version store.Revision
	loaded := false
	for ctx.Err() == nil {
		pause := f.pause()
		if pause < 0 {
			// This VM does not need the table now. The store's history is long enough to
			// continue from the same version later.
			sleep(ctx, retryPause)
			continue
		}
		var snapshot store.Snapshot
		var err error
		if loaded {
			snapshot, err = f.store.Follow(ctx, f.table, version, f.wait)
		} else {
			snapshot, err = f.store.Read(ctx, f.table)
		}
		if err != nil {
			if errors.Is(err, store.ErrHistoryTruncated) {
				loaded = false
			}
			if ctx.Err() == nil {
				f.logger.storeFailed(string(f.table), err)
			}
			sleep(ctx, retryPause)
			continue
		}
		f.logger.storeAnswered(string(f.table))
		if !loaded {
			clear(rows)
		}
		for _, r := range snapshot.Rows {
			if r.Removed {
				delete(rows, r.Key)
				continue
			}
			rows[r.Key] = r
		}
		if !loaded || len(snapshot.Rows) > 0 {
			f.changed(rows, snapshot.Version)
		}
		loaded, version = true, snapshot.Version
		if pause > 0 && len(snapshot.Rows) < catchUpThreshold {
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

func constantPause(span clock.Millis) func() clock.Millis {
	return func() clock.Millis { return span }
}

func (d *Daemon) followers() []*follower {
	return []*follower{
		{store: d.store, table: platform.Operator, wait: desiredFeedWait, pause: constantPause(0), logger: d.logger, changed: d.desiredChanged},
		{store: d.store, table: store.VMs, wait: feedWait, pause: constantPause(0), logger: d.logger, changed: d.vmsChanged},
		{store: d.store, table: store.ReplicaSets, wait: feedWait, pause: constantPause(0), logger: d.logger, changed: d.replicaSetsChanged},
		{store: d.store, table: platform.Endpoints, wait: feedWait, pause: d.endpointsPause, logger: d.logger, changed: d.endpointsChanged},
	}
}

func (d *Daemon) endpointsPause() clock.Millis {
	if d.loop.endpoints.Load().version == 0 {
		// A VM that has just started may become leader within 100 ms.
		return 0
	}
	switch d.loop.role.Load() {
	case roleLeader:
		return leaderEndpointsPause
	case roleSuccessor:
		return successorEndpointsPause
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
		d.logger.callFailed("decode desired state", "store", err)
		return
	}
	d.loop.Post(node.DesiredStateLoaded{State: s})
}

func (d *Daemon) vmsChanged(rows map[string]store.Row, _ store.Revision) {
	var all []shard.VM
	for _, r := range rows {
		v, err := store.DecodeVM(r)
		if err != nil {
			d.logger.callFailed("decode VM", "store", err)
			continue
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b shard.VM) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	d.loop.Post(node.VMsLoaded{VMs: all})
}

func (d *Daemon) replicaSetsChanged(rows map[string]store.Row, _ store.Revision) {
	var all []shard.ReplicaSet
	for _, r := range rows {
		l, err := store.DecodeReplicaSet(r)
		if err != nil {
			d.logger.callFailed("decode lineup", "store", err)
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

// endpointsChanged decodes the rows that have changed. Only one follower calls it, so
// decodedRows needs no lock.
func (d *Daemon) endpointsChanged(rows map[string]store.Row, version store.Revision) {
	var all []endpoint.Endpoint
	maps.DeleteFunc(d.decodedRows, func(key string, _ decodedRow) bool { _, listed := rows[key]; return !listed })
	for _, r := range rows {
		cached, found := d.decodedRows[r.Key]
		if !found || !bytes.Equal(cached.value, r.Value) {
			e, err := platform.DecodeEndpoint(r)
			if err != nil {
				d.logger.endpointUnreadable(r.Key, err)
			}
			cached = decodedRow{value: r.Value, endpoint: e, readable: err == nil}
			d.decodedRows[r.Key] = cached
		}
		if cached.readable {
			all = append(all, cached.endpoint)
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
		d.logger.storeFailed(string(store.VMs), err)
		sleep(ctx, retryPause)
	}
	<-ctx.Done()
	return ctx.Err()
}

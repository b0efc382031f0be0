package node_test

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// modelFollower follows the changes of one table for a VM, with the pauses of the daemon's.
type modelFollower struct {
	vm      *modelVM
	table   storeTable
	wait    micros
	pause   func() micros
	rows    map[string]storeRow
	version int64
	loaded  bool
	// pauses numbers the pauses, and woken makes the next read due at once.
	pauses int
	paused bool
	woken  bool
	// waiting is the read that the store holds until there are changes, or nil.
	waiting *exchange
	// sentAt is when the latest read was sent; gap says that rows may have come and gone since the
	// one before.
	sentAt clock.Millis
	gap    bool
	// leaving are the endpoints that said so just before their rows were removed, and whole means that the table
	// was read as a whole.
	leaving []datacentre.EndpointID
	whole   bool
	// overdue means that the latest read was not answered in time.
	overdue bool
	// log has the changes for other VMs. relaying means that another one is being asked, which may be asked again
	// at relayRetryAt after a failure.
	log          modelChangeLog
	relaying     bool
	relayRetryAt clock.Millis
}

const (
	desiredFeedWait             = second
	feedWait                    = 2500 * ms
	endpointsFeedWait           = noPause
	storePatience               = 300 * ms
	leaderEndpointsPause        = 400 * ms
	successorEndpoints          = 1500 * ms
	storeRetryPause             = 150 * ms
	storeTimeout                = 800 * ms
	noPause              micros = 0
	notNeeded            micros = -1
)

func (v *modelVM) follow(t storeTable, wait micros, pause func() micros) {
	f := &modelFollower{vm: v, table: t, wait: wait, pause: pause, rows: make(map[string]storeRow)}
	if t == tableEndpoints {
		v.endpointsFollower = f
	} else if t == tableOperator {
		v.operatorFollower = f
	}
	f.pauseFor(noPause)
}

// pauseFor reads the table after a pause.
func (f *modelFollower) pauseFor(pause micros) {
	f.pauses++
	n := f.pauses
	f.paused, f.relaying = true, false
	f.vm.later(pause, func() {
		if n == f.pauses {
			f.read()
		}
	})
}

// wake makes the next read due at once. One of the operator's table takes the place of one that waits.
func (f *modelFollower) wake() {
	f.woken = true
	if f.table == tableOperator && f.waiting != nil && !f.waiting.done {
		f.waiting.done = true
		f.pauseFor(noPause)
	}
	if f.paused || f.relaying {
		f.pauseFor(noPause)
	}
}

func (v *modelVM) endpointsPause() micros {
	if v.publishedVersion == 0 {
		return noPause
	}
	switch member, leading := v.publishedMember, v.publishedLeading; {
	case leading:
		return leaderEndpointsPause
	case member:
		return successorEndpoints
	}
	return notNeeded
}

// read reads the table or waits for its changes, and then calls itself again.
func (f *modelFollower) read() {
	f.paused = false
	pause := f.pause()
	if pause < 0 && !f.woken {
		f.pauseFor(storeRetryPause)
		return
	}
	pause = max(pause, noPause)
	if f.readThroughReader() {
		return
	}
	wait := f.wait
	if f.woken {
		wait = noPause
	}
	f.woken, f.sentAt, f.gap = false, f.vm.clock(), !f.loaded
	limit := storeTimeout
	if f.loaded {
		limit += wait
	}
	store := f.vm.world.store
	x := f.vm.newExchange(storeName, limit, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			switch {
			case !f.loaded:
				f.respond(x, store.all(f.table), pause)
			case store.isTruncated(f.table, f.version):
				x.answer(func() {
					f.loaded, f.woken = false, true
					f.read()
				})
			default:
				f.await(x, pause, wait)
			}
		})
	}, func(exchangeFailure) {
		f.report(false)
		f.pauseFor(storeRetryPause)
	})
	f.waiting = nil
	if wait > 0 {
		f.waiting = x
	}
	if f.table == tableEndpoints {
		f.overdue = false
		f.vm.later(f.wait+storePatience, func() {
			if !x.done {
				f.overdue = true
				f.report(false)
			}
		})
	}
}

// report passes on whether the store has answered a read of the list of endpoints.
func (f *modelFollower) report(answered bool) {
	if f.table == tableEndpoints {
		if answered && f.vm.storeLost {
			f.vm.storeFoundAt = f.vm.world.now
		}
		f.vm.storeLost = !answered
		f.vm.post(f.vm.life, node.StoreReported{Lost: !answered})
	}
}

// await answers once there are changes, or after the wait.
func (f *modelFollower) await(x *exchange, pause, wait micros) {
	store := f.vm.world.store
	answered := false
	answer := func() {
		if !answered && store.world.now >= store.downUntil {
			answered = true
			f.respond(x, store.since(f.table, f.version), pause)
		}
	}
	if len(store.since(f.table, f.version)) > 0 {
		answer()
		return
	}
	store.waiting[f.table] = append(store.waiting[f.table], answer)
	store.world.after(wait, answer)
}

func (f *modelFollower) respond(x *exchange, rows []storeRow, pause micros) {
	rows, version := slices.Clone(rows), f.vm.world.store.version
	x.answer(func() {
		f.apply(rows, version, pause, !f.overdue)
	})
}

// apply processes an answer: the rows that have changed, or all of them after the first read. inTime means that the
// store has answered in time.
func (f *modelFollower) apply(rows []storeRow, version int64, pause micros, inTime bool) {
	if !f.loaded {
		clear(f.rows)
	}
	f.log.record(rows, version, f.sentAt, !f.loaded)
	f.leaving, f.whole = nil, !f.loaded
	for _, r := range rows {
		if r.removed {
			if e, ok := f.rows[r.key].value.(endpoint.Endpoint); ok && e.Draining {
				f.leaving = append(f.leaving, e.ID)
			}
			delete(f.rows, r.key)
			f.gap = true
			continue
		}
		if _, unreadable := r.value.(unreadableRow); unreadable && f.rows[r.key].value != r.value {
			f.gap = true
		}
		f.rows[r.key] = r
	}
	if f.table == tableOperator && f.vm.world.options.enabled(faultEvacuate) {
		f.evacuationsRead(version)
	}
	if !f.loaded || len(rows) > 0 || f.table == tableEndpoints {
		f.changed(version)
	}
	if inTime {
		f.report(true)
	}
	f.loaded, f.version = true, version
	if f.woken {
		pause = noPause
	}
	f.pauseFor(pause)
}

func replicaSetOf(r storeRow) shard.ReplicaSet {
	set := r.value.(shard.ReplicaSet)
	set.Revision = r.version
	return set
}

// changed posts the contents of the table to the control state.
func (f *modelFollower) changed(version int64) {
	all := slices.SortedFunc(maps.Values(f.rows), func(a, b storeRow) int { return cmp.Compare(a.key, b.key) })
	switch f.table {
	case tableOperator:
		for _, r := range all {
			if s, ok := r.value.(*queue.State); ok {
				f.vm.post(f.vm.life, node.DesiredStateLoaded{State: s})
			}
		}
	case tableVMs:
		var vms []shard.VM
		for _, r := range all {
			if vm, ok := r.value.(shard.VM); ok {
				vm.Revision = r.version
				vms = append(vms, vm)
			}
		}
		f.vm.post(f.vm.life, node.VMsLoaded{VMs: vms, Version: version, OwnRevision: f.rows[f.vm.name].version})
	case tableReplicaSets:
		var sets []shard.ReplicaSet
		for _, r := range all {
			sets = append(sets, replicaSetOf(r))
		}
		f.vm.post(f.vm.life, node.ReplicaSetsLoaded{ReplicaSets: sets})
	case tableEndpoints:
		var endpoints []endpoint.Endpoint
		var unreadable []datacentre.EndpointID
		for _, r := range all {
			if e, ok := r.value.(endpoint.Endpoint); ok {
				e.Revision = endpoint.Revision(r.version)
				endpoints = append(endpoints, e)
			} else {
				unreadable = append(unreadable, datacentre.EndpointID(r.key))
			}
		}
		f.vm.post(f.vm.life, node.EndpointsLoaded{Endpoints: endpoints, Unreadable: unreadable, Leaving: f.leaving, Whole: f.whole, Version: version, ReadAt: f.sentAt, Gap: f.gap})
	}
}

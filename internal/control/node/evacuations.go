package node

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// EvacuationReport is what a VM tells others about the evacuations. The field names are sent.
type EvacuationReport struct {
	Version evacuation.Revision
	Since   map[datacentre.ID]evacuation.Revision
	// Age is how long before the message the state was known to be current, or 0 if that is unknown.
	Age clock.Millis
}

// EvacuationsLoaded are the evacuations as the store has them, as of a version of the store.
type EvacuationsLoaded struct {
	State evacuation.State
	// ReadAt is when the request was sent to the store, or 0 if that is unknown.
	ReadAt clock.Millis
}

// ReadEvacuations requests the evacuations from the store at once.
type ReadEvacuations struct{}

func (EvacuationsLoaded) event() {}
func (ReadEvacuations) action()  {}

// hasEvacuations reports whether data centres may be evacuated in this deployment.
func (n *Control) hasEvacuations() bool { return n.config.Timeouts.EvacuationNotice != 0 }

// isEvacuated reports whether the data centre of a shard is to be empty.
func (n *Control) isEvacuated(id shard.ID) bool { return n.evacuations.Covers(id.DataCentre()) }

// evacuationOf returns a function that tells the leader of a shard what is known of the evacuation of its data
// centre.
func (n *Control) evacuationOf(id shard.ID) func() evacuation.Status {
	if !n.hasEvacuations() {
		return nil
	}
	return func() evacuation.Status { return n.evacuations.Status(id.DataCentre()) }
}

// evacuationReport returns what this VM knows, or nil if there is nothing to tell.
func (n *Control) evacuationReport() *EvacuationReport {
	s := n.evacuations.State()
	if s.Version == 0 {
		return nil
	}
	r := &EvacuationReport{Version: s.Version, Since: s.Since}
	if readAt := n.evacuations.ReadAt(); readAt != 0 {
		r.Age = max(n.now-readAt, 1)
	}
	return r
}

// applyEvacuationReport applies the report of another VM. sentAt is a lower bound of the time at which it was sent,
// on this VM's clock, or 0 if there is none.
func (n *Control) applyEvacuationReport(r *EvacuationReport, sentAt clock.Millis) {
	if r == nil || !n.hasEvacuations() {
		return
	}
	readAt := clock.Millis(0)
	if sentAt != 0 && r.Age != 0 {
		readAt = max(sentAt-r.Age, 0)
	}
	n.updateEvacuations(evacuation.State{Version: r.Version, Since: r.Since}, readAt)
}

// updateEvacuations applies a state of the evacuations. If a data centre is evacuated or taken back, the leaders of
// this VM are told, and those of other VMs by heartbeats that are sent at once.
func (n *Control) updateEvacuations(s evacuation.State, readAt clock.Millis) {
	before := n.evacuations.State()
	if !n.evacuations.Update(s, readAt) {
		return
	}
	for _, dc := range slices.Sorted(maps.Keys(s.Since)) {
		if !before.Covers(dc) {
			e := LogEvent{Topic: EvacuationRequested, DataCentre: dc, Evacuations: len(s.Since)}
			if clearAt := n.evacuations.ClearAt(dc); clearAt != 0 {
				e.SinceClear = n.now - clearAt
			}
			n.emit(e)
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(before.Since)) {
		if !s.Covers(dc) {
			n.emit(LogEvent{Topic: EvacuationWithdrawn, DataCentre: dc, Evacuations: len(s.Since)})
		}
	}
	for _, id := range n.shards {
		if load, ok := n.loads[id]; ok && load.Evacuated != n.isEvacuated(id) {
			load.Evacuated = n.isEvacuated(id)
			n.loads[id] = load
			n.reportLoad(load)
		}
	}
	for _, id := range n.shards {
		n.sendToLeader(id, leader.EvacuationChanged{})
		if n.ledShards[id] == nil {
			n.monitors[id].ExpediteHeartbeat()
			n.step(id)
		}
	}
}

// Destination implements gateway.Leaders. Jobs of an evacuated data centre are distributed over the others in
// proportion to their free CPU: its VMs would otherwise all send them to the one that reported the most. While
// every data centre is evacuated, a leader answers.
func (n *Control) Destination(j job.ID, now clock.Millis) (shard.ID, bool) {
	available := n.Available(now)
	if len(available) == 0 {
		return "", false
	}
	if !n.evacuations.Covers(n.config.Self.DataCentre) && !n.isEvacuated(available[0]) || !slices.ContainsFunc(n.shards, func(id shard.ID) bool { return !n.isEvacuated(id) }) {
		return available[0], true
	}
	open := slices.DeleteFunc(available, n.isEvacuated)
	if len(open) == 0 {
		return "", false
	}
	return n.pickByWeight(j, open), true
}

// pickByWeight picks one of several shards for a job, in proportion to their spare CPU, or to all of it if none has
// any.
func (n *Control) pickByWeight(j job.ID, ids []shard.ID) shard.ID {
	weights, sum := make([]uint64, len(ids)), uint64(0)
	for i, id := range ids {
		load := n.loads[id]
		weights[i] = uint64(max(load.FreeCPU-load.WaitingCPU(), 0))
		sum += weights[i]
	}
	if sum == 0 {
		for i, id := range ids {
			weights[i] = uint64(max(n.loads[id].TotalCPU, 1))
			sum += weights[i]
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(j))
	point := hash.Sum64() % sum
	for i, w := range weights {
		if point < w {
			return ids[i]
		}
		point -= w
	}
	return ids[0]
}

// compareShards orders shards by preference for a job of this VM's callers: the own one first, evacuated ones last,
// and the others in descending order of free CPU.
func (n *Control) compareShards(a, b shard.ID) int {
	rank := func(id shard.ID) int {
		switch {
		case n.isEvacuated(id):
			return 2
		case id.DataCentre() == n.config.Self.DataCentre:
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(n.loads[b].FreeCPU, n.loads[a].FreeCPU))
}

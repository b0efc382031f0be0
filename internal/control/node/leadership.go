package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// applyReplicaSet takes in a lineup. A home that is not in the first place of a later one has lost its
// cell.
func (n *Control) applyReplicaSet(l shard.ReplicaSet) {
	v := n.monitors[l.Cell]
	if v == nil || !v.Update(l, n.now) {
		return
	}
	n.emit(Report{Topic: ReplicaSetUpdated, Shard: l.Cell, ReplicaSet: l})
	h := n.leaders[l.Cell]
	if h == nil {
		return
	}
	if len(l.Members) > 0 && l.Members[0].Incarnation == n.config.Self.Incarnation {
		h.leader.SetToken(l.Token(0))
		v.BecameLeader(h.leader.Token(), n.now)
		return
	}
	n.stepDown(l.Cell)
}

// becomeLeader makes this VM the home of a cell.
func (n *Control) becomeLeader(c shard.ID, l shard.ReplicaSet, rank int) {
	if n.shutdown || n.leaders[c] != nil || !n.canReachEndpoints(c) {
		return
	}
	token := l.Token(rank)
	n.leaders[c] = &ledShard{writtenAt: n.now, acquiredAt: n.now, savedAt: n.now, leader: leader.New(leader.Config{
		Shard: c, Token: token, Timeouts: n.config.Timeouts, FarFactor: n.config.FarFactor,
		Desired: n.desired, Now: n.now,
	})}
	n.monitors[c].BecameLeader(token, n.now)
	n.emit(LoadEstimates{Shard: c})
	n.emit(Report{Topic: LeadershipAcquired, Shard: c, ReplicaSet: l, Rank: rank, Token: token})
	for o, load := range n.loads {
		if o != c {
			n.sendToLeader(c, leader.LoadReported{Load: load})
		}
	}
	n.sendEndpoints(c)
}

// stepDown gives up a cell because somebody else is its home.
func (n *Control) stepDown(c shard.ID) {
	h := n.leaders[c]
	if h == nil {
		return
	}
	delete(n.leaders, c)
	n.monitors[c].LostLeadership(n.now)
	n.emit(Report{Topic: LeadershipLost, Shard: c, Token: h.leader.Token()})
	n.applyLeaderActions(c, h.leader.StepDown(n.now))
}

// claim tries to become home of a cell that has nobody.
func (n *Control) claim(c shard.ID) {
	if !n.canReachEndpoints(c) {
		return
	}
	l := n.monitors[c].ReplicaSet()
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: n.proposedMembers(c)}, Expected: l.Revision})
}

// proposedMembers are this VM and the VMs that are to stand in for it.
func (n *Control) proposedMembers(c shard.ID) []shard.Member {
	members := []shard.Member{n.config.Self.Member}
	var away []shard.Member
	for _, v := range shard.Candidates(c, n.vms) {
		if v.Incarnation == n.config.Self.Incarnation || n.heartbeatAge(v) > heartbeatMaxAge {
			continue
		}
		if v.DataCentre != c.DataCentre() {
			away = append(away, v.Member)
			continue
		}
		if len(members) < n.config.Successors {
			members = append(members, v.Member)
		}
	}
	// One successor outside takes over when the data centre loses all its VMs.
	for _, m := range away {
		if len(members) > n.config.Successors {
			break
		}
		members = append(members, m)
	}
	return members
}

func (n *Control) heartbeatAge(v shard.VM) clock.Millis {
	at, ok := n.heartbeatAt[v.Incarnation]
	if !ok {
		return clock.Hour
	}
	return n.now - at
}

// refreshReplicaSet writes the lineup again when its successors have changed or this VM has taken
// over from another.
func (n *Control) refreshReplicaSet(c shard.ID, h *ledShard) {
	l := n.monitors[c].ReplicaSet()
	spacing := replicaSetWriteInterval
	if h.leader.Token() != l.Token(0) || len(l.Members) == 1 {
		spacing = firstWriteDelay
	}
	if n.shutdown {
		// A lineup without a VM that lives leaves nobody to hand over to.
		spacing = firstWriteDelay
	}
	if h.writing || h.yielding || n.now-h.writtenAt < spacing {
		return
	}
	want := n.proposedMembers(c)
	if slices.Equal(want, l.Members) {
		h.writtenAt = n.now
		return
	}
	h.writing, h.writtenAt = true, n.now
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: want}, Expected: l.Revision})
}

// saveEstimates writes what a home has learnt to the store, for the home after a restart.
func (n *Control) saveEstimates(c shard.ID, h *ledShard) {
	if n.now-h.savedAt < estimatesSaveInterval || n.shutdown {
		return
	}
	h.savedAt = n.now
	n.emit(SaveEstimates{Shard: c, Estimates: h.leader.Estimates()})
}

// estimatesSaveInterval spaces writes of what a home has learnt; speeds hardly change.
const estimatesSaveInterval = 4 * clock.Second

// moveToBetterSuccessor hands a cell to a successor that suits much better: a VM inside the data centre if
// this one is outside, or one with far more processor, so that a small VM which was there first
// does not carry a cell at the crest.
func (n *Control) moveToBetterSuccessor(c shard.ID, h *ledShard) {
	if h.yielding || n.shutdown || h.writing || n.now-h.acquiredAt < minLeadershipTime {
		return
	}
	l := n.monitors[c].ReplicaSet()
	for _, v := range shard.Candidates(c, n.vms) {
		if n.isBetterLeader(c, v) && n.heartbeatAge(v) <= heartbeatMaxAge && l.Rank(v.Incarnation) > l.Rank(n.config.Self.Incarnation) {
			h.yielding = true
			n.emit(SendYield{To: v.Member, ReplicaSet: l, Endpoints: n.endpointsToHandOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
}

func (n *Control) isBetterLeader(c shard.ID, v shard.VM) bool {
	if v.DataCentre != c.DataCentre() {
		return false
	}
	self := &n.config.Self
	return self.DataCentre != c.DataCentre() || float64(v.CPU) >= minCPURatio*float64(self.CPU)
}

const (
	// minLeadershipTime is how long a home keeps a cell at least, so that a cell does not go back and
	// forth while a data centre comes back.
	minLeadershipTime = 2 * clock.Second
	// minCPURatio is how many times the processor of its home a VM must have to be worth the
	// move, during which jobs of the cell wait some milliseconds. The sizes of a deployment
	// differ by 1.6 times and more.
	minCPURatio = 1.5
)

func (n *Control) replicaSetWritten(e ReplicaSetWritten) {
	c := e.ReplicaSet.Cell
	if h := n.leaders[c]; h != nil {
		h.writing, h.writtenAt = false, n.now
	}
	if !e.Written {
		return
	}
	wasHome := n.leaders[c] != nil
	n.applyReplicaSet(e.ReplicaSet)
	if !wasHome && n.monitors[c].ReplicaSet().Revision == e.ReplicaSet.Revision {
		n.becomeLeader(c, e.ReplicaSet, 0)
	}
}

// beginShutdown hands every cell of this VM to a successor.
func (n *Control) beginShutdown() {
	n.shutdown, n.shutdownAt = true, n.now
	for _, c := range n.shards {
		if n.leaders[c] != nil {
			n.yield(c)
		}
	}
}

// yield asks the next successor that lives to take a cell over.
func (n *Control) yield(c shard.ID) {
	h := n.leaders[c]
	l := n.monitors[c].ReplicaSet()
	if h.lastAskedRank == 0 || h.lastAskedRevision != l.Revision {
		h.lastAskedRank, h.lastAskedRevision = l.Rank(n.config.Self.Incarnation), l.Revision
	}
	for rank, m := range l.Members {
		if at, ok := n.heartbeatAt[m.Incarnation]; rank > h.lastAskedRank && ok && n.now-at <= heartbeatMaxAge {
			h.yielding, h.lastAskedRank = true, rank
			n.emit(SendYield{To: m, ReplicaSet: l, Endpoints: n.endpointsToHandOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
	if n.now < n.shutdownAt+n.config.HandOverTimeout {
		// In a partition all members of the lineup may have been replaced, and the store may be
		// out of reach for another. The cell is served until there is a successor.
		h.lastAskedRank, h.nextYieldAt = 0, n.now+yieldRetryInterval
		return
	}
	n.emit(Report{Topic: LeadershipYielded, Shard: c, ReplicaSet: l, Rank: -1})
	n.stepDown(c)
}

// yieldRetryInterval spaces the search for a successor; a lineup with new ones takes a call to the
// store.
const yieldRetryInterval = clock.Millis(100)

// retryYield looks for a successor again for a cell that could not be handed over.
func (n *Control) retryYield(c shard.ID, h *ledShard) {
	if n.shutdown && !h.yielding && n.now >= h.nextYieldAt {
		n.yield(c)
	}
}

// endpointsToHandOver lists the endpoints that the next home has to know: those that are listed, and
// those that are not any more but may have runs.
func (n *Control) endpointsToHandOver(h *ledShard) []endpoint.Endpoint {
	all := slices.Clone(n.endpoints)
	for _, e := range h.leader.Endpoints() {
		if !slices.ContainsFunc(all, func(o endpoint.Endpoint) bool { return o.ID == e.ID }) {
			all = append(all, e)
		}
	}
	return all
}

// mergeHandedOverEndpoints takes in what the home before knows. Endpoints that only it knows are kept
// like those that have vanished just now.
func (n *Control) mergeHandedOverEndpoints(e PeerYielded) {
	if e.EndpointsVersion > n.endpointsVersion {
		n.endpointsLoaded(EndpointsLoaded{Endpoints: e.Endpoints, Version: e.EndpointsVersion})
		return
	}
	merged := slices.Clone(n.endpoints)
	for _, o := range e.Endpoints {
		if !slices.ContainsFunc(merged, func(m endpoint.Endpoint) bool { return m.ID == o.ID }) {
			merged = append(merged, o)
			n.missingSince[o.ID] = n.now
		}
	}
	n.endpoints = merged
}

func (n *Control) peerYielded(e PeerYielded) {
	n.applyReplicaSet(e.ReplicaSet)
	c := e.ReplicaSet.Cell
	v := n.monitors[c]
	if v == nil || n.shutdown || n.desired == nil {
		e.Done <- false
		return
	}
	l := v.ReplicaSet()
	rank := l.Rank(n.config.Self.Incarnation)
	if rank < 0 {
		e.Done <- false
		return
	}
	n.mergeHandedOverEndpoints(e)
	n.becomeLeader(c, l, rank)
	if h := n.leaders[c]; h != nil {
		h.cleanHandOver = true
		n.sendEndpoints(c)
	}
	e.Done <- n.leaders[c] != nil
}

// yieldEnded gives a cell up once a successor has it. A VM that shuts down asks the next one
// otherwise; one that wanted to return the cell keeps it.
func (n *Control) yieldEnded(e YieldEnded) {
	h := n.leaders[e.Shard]
	if h == nil {
		return
	}
	h.yielding = false
	switch {
	case e.Accepted:
		n.emit(Report{Topic: LeadershipYielded, Shard: e.Shard, ReplicaSet: n.monitors[e.Shard].ReplicaSet()})
		n.stepDown(e.Shard)
	case n.shutdown:
		n.yield(e.Shard)
	default:
		h.acquiredAt = n.now
	}
}

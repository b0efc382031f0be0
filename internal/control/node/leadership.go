package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// applyReplicaSet records a replica set. If this VM leads the shard and a later replica set names
// another leader, it steps down.
func (n *Control) applyReplicaSet(l shard.ReplicaSet) {
	monitor := n.monitors[l.Cell]
	if monitor == nil || !monitor.Update(l, n.now) {
		return
	}
	n.emit(Report{Topic: ReplicaSetUpdated, Shard: l.Cell, ReplicaSet: l})
	led := n.leaders[l.Cell]
	if led == nil {
		return
	}
	if len(l.Members) > 0 && l.Members[0].Incarnation == n.config.Self.Incarnation {
		led.leader.SetToken(l.Token(0))
		monitor.BecameLeader(led.leader.Token(), n.now)
		return
	}
	n.stepDown(l.Cell)
}

// becomeLeader makes this VM the leader of a shard under its rank in the replica set.
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

// stepDown gives up the leadership of a shard.
func (n *Control) stepDown(c shard.ID) {
	led := n.leaders[c]
	if led == nil {
		return
	}
	delete(n.leaders, c)
	n.monitors[c].LostLeadership(n.now)
	n.emit(Report{Topic: LeadershipLost, Shard: c, Token: led.leader.Token()})
	n.applyLeaderActions(c, led.leader.StepDown(n.now))
}

// claim tries to become the leader of a shard without one by writing a replica set.
func (n *Control) claim(c shard.ID) {
	if !n.canReachEndpoints(c) {
		return
	}
	l := n.monitors[c].ReplicaSet()
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: n.proposedMembers(c)}, Expected: l.Revision})
}

// proposedMembers returns the members of a replica set led by this VM, with the VMs that sent a
// heartbeat recently as successors.
func (n *Control) proposedMembers(c shard.ID) []shard.Member {
	members := []shard.Member{n.config.Self.Member}
	var remote []shard.Member
	for _, v := range shard.Candidates(c, n.vms) {
		if v.Incarnation == n.config.Self.Incarnation || n.heartbeatAge(v) > heartbeatMaxAge {
			continue
		}
		if v.DataCentre != c.DataCentre() {
			remote = append(remote, v.Member)
			continue
		}
		if len(members) < n.config.Successors {
			members = append(members, v.Member)
		}
	}
	// At least one successor in another data centre takes over when this one loses all its VMs.
	for _, m := range remote {
		if len(members) > n.config.Successors {
			break
		}
		members = append(members, m)
	}
	return members
}

// heartbeatAge returns the time since the last heartbeat of a VM, or an hour if there was none.
func (n *Control) heartbeatAge(v shard.VM) clock.Millis {
	at, ok := n.heartbeatAt[v.Incarnation]
	if !ok {
		return clock.Hour
	}
	return n.now - at
}

// refreshReplicaSet rewrites the replica set when its successors have changed or this VM has taken
// over from another.
func (n *Control) refreshReplicaSet(c shard.ID, led *ledShard) {
	l := n.monitors[c].ReplicaSet()
	interval := replicaSetWriteInterval
	if led.leader.Token() != l.Token(0) || len(l.Members) == 1 {
		interval = firstWriteDelay
	}
	if n.shutdown {
		// The shard can only be handed over once the replica set names a VM that is running.
		interval = firstWriteDelay
	}
	if led.writing || led.yielding || n.now-led.writtenAt < interval {
		return
	}
	want := n.proposedMembers(c)
	if slices.Equal(want, l.Members) {
		led.writtenAt = n.now
		return
	}
	led.writing, led.writtenAt = true, n.now
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: want}, Expected: l.Revision})
}

// saveEstimates writes the performance estimates of a shard to the store, for the leader after a
// restart.
func (n *Control) saveEstimates(c shard.ID, led *ledShard) {
	if n.now-led.savedAt < estimatesSaveInterval || n.shutdown {
		return
	}
	led.savedAt = n.now
	n.emit(SaveEstimates{Shard: c, Estimates: led.leader.Estimates()})
}

// estimatesSaveInterval is the interval between writes of a shard's performance estimates. Measured
// speeds change slowly.
const estimatesSaveInterval = 4 * clock.Second

// moveToBetterSuccessor hands a shard to a clearly better successor: a VM inside the data centre if
// this one is outside, or one with far more processor capacity. Otherwise a small VM that started
// first would lead the shard at peak load.
func (n *Control) moveToBetterSuccessor(c shard.ID, led *ledShard) {
	if led.yielding || n.shutdown || led.writing || n.now-led.acquiredAt < minLeadershipTime {
		return
	}
	l := n.monitors[c].ReplicaSet()
	for _, v := range shard.Candidates(c, n.vms) {
		if n.isBetterLeader(c, v) && n.heartbeatAge(v) <= heartbeatMaxAge && l.Rank(v.Incarnation) > l.Rank(n.config.Self.Incarnation) {
			led.yielding = true
			n.emit(SendYield{To: v.Member, ReplicaSet: l, Endpoints: n.endpointsToHandOver(led), EndpointsVersion: n.endpointsVersion})
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
	// minLeadershipTime is how long a leader keeps a shard at least, so that the shard does not move
	// back and forth while a data centre recovers.
	minLeadershipTime = 2 * clock.Second
	// minCPURatio is how many times the leader's processor capacity a successor must have to justify
	// a move, during which jobs of the shard wait some milliseconds. VM sizes within a deployment
	// differ by a factor of 1.6 or more.
	minCPURatio = 1.5
)

func (n *Control) replicaSetWritten(e ReplicaSetWritten) {
	c := e.ReplicaSet.Cell
	if led := n.leaders[c]; led != nil {
		led.writing, led.writtenAt = false, n.now
	}
	if !e.Written {
		return
	}
	wasLeader := n.leaders[c] != nil
	n.applyReplicaSet(e.ReplicaSet)
	if !wasLeader && n.monitors[c].ReplicaSet().Revision == e.ReplicaSet.Revision {
		n.becomeLeader(c, e.ReplicaSet, 0)
	}
}

// beginShutdown starts to hand every shard of this VM to a successor.
func (n *Control) beginShutdown() {
	n.shutdown, n.shutdownAt = true, n.now
	for _, c := range n.shards {
		if n.leaders[c] != nil {
			n.yield(c)
		}
	}
}

// yield asks the next running successor to take over a shard.
func (n *Control) yield(c shard.ID) {
	led := n.leaders[c]
	l := n.monitors[c].ReplicaSet()
	if led.lastAskedRank == 0 || led.lastAskedRevision != l.Revision {
		led.lastAskedRank, led.lastAskedRevision = l.Rank(n.config.Self.Incarnation), l.Revision
	}
	for rank, m := range l.Members {
		if at, ok := n.heartbeatAt[m.Incarnation]; rank > led.lastAskedRank && ok && n.now-at <= heartbeatMaxAge {
			led.yielding, led.lastAskedRank = true, rank
			n.emit(SendYield{To: m, ReplicaSet: l, Endpoints: n.endpointsToHandOver(led), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
	if n.now < n.shutdownAt+n.config.HandOverTimeout {
		// During a partition, all members of the replica set may have been replaced while the store
		// is unavailable for writing a new one. The shard is served until there is a successor.
		led.lastAskedRank, led.nextYieldAt = 0, n.now+yieldRetryInterval
		return
	}
	n.emit(Report{Topic: LeadershipYielded, Shard: c, ReplicaSet: l, Rank: -1})
	n.stepDown(c)
}

// yieldRetryInterval is the interval between searches for a successor. Writing a replica set with new
// members takes a call to the store.
const yieldRetryInterval = clock.Millis(100)

// retryYield searches again for a successor of a shard that could not be handed over.
func (n *Control) retryYield(c shard.ID, led *ledShard) {
	if n.shutdown && !led.yielding && n.now >= led.nextYieldAt {
		n.yield(c)
	}
}

// endpointsToHandOver lists the endpoints that the next leader needs: those in the store's list, and
// those that have disappeared from it but may still have attempts.
func (n *Control) endpointsToHandOver(led *ledShard) []endpoint.Endpoint {
	all := slices.Clone(n.endpoints)
	for _, e := range led.leader.Endpoints() {
		if !slices.ContainsFunc(all, func(o endpoint.Endpoint) bool { return o.ID == e.ID }) {
			all = append(all, e)
		}
	}
	return all
}

// mergeHandedOverEndpoints merges the list of the previous leader. Endpoints that only this leader has
// are treated as if they had just disappeared from the store's list.
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
	monitor := n.monitors[c]
	if monitor == nil || n.shutdown || n.desired == nil {
		e.Done <- false
		return
	}
	l := monitor.ReplicaSet()
	rank := l.Rank(n.config.Self.Incarnation)
	if rank < 0 {
		e.Done <- false
		return
	}
	n.mergeHandedOverEndpoints(e)
	n.becomeLeader(c, l, rank)
	if led := n.leaders[c]; led != nil {
		led.cleanHandOver = true
		n.sendEndpoints(c)
	}
	e.Done <- n.leaders[c] != nil
}

// yieldEnded gives up a shard once a successor has taken it over. If the successor declined, a VM
// that shuts down asks the next one, and any other VM keeps the shard.
func (n *Control) yieldEnded(e YieldEnded) {
	led := n.leaders[e.Shard]
	if led == nil {
		return
	}
	led.yielding = false
	switch {
	case e.Accepted:
		n.emit(Report{Topic: LeadershipYielded, Shard: e.Shard, ReplicaSet: n.monitors[e.Shard].ReplicaSet()})
		n.stepDown(e.Shard)
	case n.shutdown:
		n.yield(e.Shard)
	default:
		led.acquiredAt = n.now
	}
}

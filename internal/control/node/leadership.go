package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// applyReplicaSet records a replica set. If this VM leads the shard and a later replica set names
// another leader, it steps down.
func (n *Control) applyReplicaSet(set shard.ReplicaSet) {
	monitor := n.monitors[set.Cell]
	if monitor == nil || !monitor.Update(set, n.now) {
		return
	}
	n.emit(LogEvent{Topic: ReplicaSetUpdated, Shard: set.Cell, ReplicaSet: set})
	led := n.ledShards[set.Cell]
	if led == nil {
		return
	}
	if len(set.Members) > 0 && set.Members[0].Incarnation == n.config.Self.Incarnation {
		led.leader.SetToken(set.Token(0))
		monitor.BecameLeader(led.leader.Token(), n.now)
		return
	}
	n.stepDown(set.Cell)
}

// becomeLeader makes this VM the leader of a shard under its rank in the replica set. handedOverBy
// is the leader before, if it has listed all endpoints with attempts of its jobs.
func (n *Control) becomeLeader(id shard.ID, set shard.ReplicaSet, rank int, handedOverBy vm.Incarnation) {
	if n.isLeaving() || n.ledShards[id] != nil || !n.mayLead(id) {
		return
	}
	token := set.Token(rank)
	n.lastLeadership++
	n.ledShards[id] = &ledShard{id: n.lastLeadership, writtenAt: n.now, acquiredAt: n.now, savedAt: n.now, handedOverBy: handedOverBy, leader: leader.New(leader.Config{
		Bounds: n.leaderBounds,
		Shard:  id, Token: token, Timeouts: n.config.Timeouts, FarFactor: n.config.FarFactor,
		Desired: n.desired, Crashes: n.crashes, LinkDelay: n.config.LinkDelay, Now: n.now, StoreLost: n.isStoreLost(), Evacuation: n.evacuationOf(id), OrphansEndBy: n.monitors[id].OrphansEndBy(),
		AwaitsCancellations: true,
	})}
	n.ledShards[id].cancellations = n.loadCancellations()
	n.monitors[id].BecameLeader(token, n.now)
	n.emit(ReadEndpoints{})
	n.emit(LoadEstimates{Shard: id})
	n.emit(LoadCrashes{Shard: id})
	list, complete := n.endpointList(handedOverBy)
	n.emit(LogEvent{
		Topic: LeadershipAcquired, Shard: id, ReplicaSet: set, Rank: rank, Token: token,
		List: list.At(n.now), Endpoints: len(n.endpointsOf(id)), ListComplete: complete,
	})
	for o, load := range n.loads {
		if o != id {
			n.sendToLeader(id, leader.LoadReported{Load: load})
		}
	}
	n.sendEndpoints(id)
	n.releaseStarts(id)
}

// mayLead reports whether this VM may become the leader of a shard: it knows the cancellations that were stored
// before it started, and reaches the endpoints.
func (n *Control) mayLead(id shard.ID) bool {
	return n.storedCancellations.loaded > 0 && n.canReachEndpoints(id)
}

// leads reports whether a leadership of a shard has not ended.
func (n *Control) leads(id shard.ID, l LeadershipID) bool {
	led := n.ledShards[id]
	return led != nil && led.id == l
}

// stepDown ends the leadership of a shard.
func (n *Control) stepDown(id shard.ID) {
	led := n.ledShards[id]
	if led == nil {
		return
	}
	delete(n.ledShards, id)
	n.monitors[id].LostLeadership(n.now)
	n.emit(LogEvent{Topic: LeadershipLost, Shard: id, Token: led.leader.Token()})
	n.applyLeaderActions(id, led.id, led.leader.StepDown(n.now))
}

// claim tries to become the leader of a shard without one by writing a replica set.
func (n *Control) claim(id shard.ID) {
	if !n.mayLead(id) {
		return
	}
	set := n.monitors[id].ReplicaSet()
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: id, Members: n.proposedMembers(id)}, Expected: set.Revision})
}

// proposedMembers returns the members of a replica set led by this VM, with the VMs that sent a
// heartbeat recently as successors.
func (n *Control) proposedMembers(id shard.ID) []shard.Member {
	members := []shard.Member{n.config.Self.Member}
	var remote []shard.Member
	for _, v := range n.candidatesFor(id) {
		if v.Incarnation == n.config.Self.Incarnation || n.heartbeatAge(v) > heartbeatMaxAge {
			continue
		}
		if v.DataCentre != id.DataCentre() {
			remote = append(remote, v.Member)
			continue
		}
		if len(members) < n.config.Successors {
			members = append(members, v.Member)
		}
	}
	// At least one successor is outside, so that it takes over when the data centre of the shard loses
	// all its VMs.
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
	last, ok := n.heartbeats[v.Incarnation]
	if !ok {
		return clock.Hour
	}
	return n.now - last.receivedAt
}

// refreshReplicaSet rewrites the replica set when its successors have changed or this VM has taken
// over from another.
func (n *Control) refreshReplicaSet(id shard.ID, led *ledShard) {
	set := n.monitors[id].ReplicaSet()
	interval := replicaSetWriteInterval
	if led.leader.Token() != set.Token(0) || len(set.Members) == 1 {
		interval = firstWriteDelay
	}
	if n.isLeaving() {
		// The shard can only be handed over once the replica set names a VM that is running.
		interval = firstWriteDelay
	}
	if led.writing || led.yielding || n.now-led.writtenAt < interval {
		return
	}
	members := n.proposedMembers(id)
	if slices.Equal(members, set.Members) {
		led.writtenAt = n.now
		return
	}
	led.writing, led.writtenAt = true, n.now
	n.emit(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: id, Members: members}, Expected: set.Revision})
}

// saveEstimates writes the performance estimates of a shard to the store, for the leader after a
// restart.
func (n *Control) saveEstimates(id shard.ID, led *ledShard) {
	if n.now-led.savedAt < estimatesSaveInterval || n.isLeaving() {
		return
	}
	led.savedAt = n.now
	n.emit(SaveEstimates{Shard: id, Estimates: led.leader.Estimates()})
}

// estimatesSaveInterval is the interval between writes of a shard's performance estimates. Measured
// speeds change slowly.
const estimatesSaveInterval = 4 * clock.Second

// moveToBetterSuccessor hands a shard to a clearly better successor: a VM inside the data centre if
// this one is outside, or one with far more processor capacity. Otherwise a small VM that started
// first would lead the shard at peak load.
func (n *Control) moveToBetterSuccessor(id shard.ID, led *ledShard) {
	if led.yielding || n.isLeaving() || led.writing || n.now-led.acquiredAt < minLeadershipTime {
		return
	}
	set := n.monitors[id].ReplicaSet()
	for _, v := range n.candidatesFor(id) {
		if n.isBetterLeader(id, v) && n.heartbeatAge(v) <= heartbeatMaxAge && set.Rank(v.Incarnation) > set.Rank(n.config.Self.Incarnation) {
			n.askToTakeOver(id, led, v.Member)
			return
		}
	}
}

func (n *Control) isBetterLeader(id shard.ID, v shard.VM) bool {
	if v.DataCentre != id.DataCentre() {
		return false
	}
	self := &n.config.Self
	return self.DataCentre != id.DataCentre() || float64(v.CPU) >= minCPURatio*float64(self.CPU)
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

// handleReplicaSetWritten applies a replica set that this VM has written, and makes it the leader
// if the write claimed the shard.
func (n *Control) handleReplicaSetWritten(e ReplicaSetWritten) {
	id := e.ReplicaSet.Cell
	if led := n.ledShards[id]; led != nil {
		led.writing, led.writtenAt = false, n.now
	}
	if !e.Written {
		return
	}
	wasLeader := n.ledShards[id] != nil
	// The store answers.
	n.storeLost = false
	n.applyReplicaSet(e.ReplicaSet)
	if !wasLeader && n.monitors[id].ReplicaSet().Revision == e.ReplicaSet.Revision {
		n.becomeLeader(id, e.ReplicaSet, 0, "")
	}
}

// yield asks the next running successor to take over a shard.
func (n *Control) yield(id shard.ID) {
	led := n.ledShards[id]
	set := n.monitors[id].ReplicaSet()
	if led.lastAskedRank == 0 || led.lastAskedRevision != set.Revision {
		led.lastAskedRank, led.lastAskedRevision = set.Rank(n.config.Self.Incarnation), set.Revision
	}
	for rank, m := range set.Members {
		if last, ok := n.heartbeats[m.Incarnation]; rank > led.lastAskedRank && ok && n.now-last.receivedAt <= heartbeatMaxAge {
			led.lastAskedRank = rank
			n.askToTakeOver(id, led, m)
			return
		}
	}
	if l, ok := n.stage.(leaving); ok && n.now < l.since+n.config.HandOverTimeout {
		// During a partition, all members of the replica set may have been replaced while the store
		// is unavailable for writing a new one. The shard is served until there is a successor.
		led.lastAskedRank, led.nextYieldAt = 0, n.now+yieldRetryInterval
		return
	}
	n.emit(LogEvent{Topic: LeadershipYielded, Shard: id, ReplicaSet: set, Rank: -1})
	n.stepDown(id)
}

// askToTakeOver asks a successor to take over a shard.
func (n *Control) askToTakeOver(id shard.ID, led *ledShard, to shard.Member) {
	led.yielding = true
	y := SendYield{
		To: to, From: n.config.Self.Incarnation, Leadership: led.id, ReplicaSet: n.monitors[id].ReplicaSet(), Token: led.leader.Token(),
		Endpoints: n.endpointsToHandOver(led), EndpointsVersion: n.endpointsVersion,
	}
	if c := n.heartbeats[to.Incarnation].earliestClock(n.now); c != 0 {
		y.Expires = c + yieldLifetime
	}
	n.emit(y)
}

// yieldLifetime is how long a successor may carry out a request to take over. It is no longer than
// the timeout of the call, so that a successor that has not answered does not take over while the
// next one is asked.
const yieldLifetime = clock.Millis(150)

// yieldRetryInterval is the interval between searches for a successor. Writing a replica set with
// new members takes a call to the store.
const yieldRetryInterval = clock.Millis(100)

// retryYield searches again for a successor of a shard that could not be handed over.
func (n *Control) retryYield(id shard.ID, led *ledShard) {
	if n.isLeaving() && !led.yielding && n.now >= led.nextYieldAt {
		n.yield(id)
	}
}

// endpointsToHandOver lists the endpoints that the next leader needs: those in the store's list,
// and those that have disappeared from it but may still have attempts.
func (n *Control) endpointsToHandOver(led *ledShard) []endpoint.Endpoint {
	all := slices.Clone(n.endpoints)
	for _, e := range led.leader.Endpoints() {
		if !slices.ContainsFunc(all, func(o endpoint.Endpoint) bool { return o.ID == e.ID }) {
			all = append(all, e)
		}
	}
	return all
}

// mergeHandedOverEndpoints merges the list of the previous leader. Endpoints that only this leader
// has are treated as if they had just disappeared from the store's list.
func (n *Control) mergeHandedOverEndpoints(e PeerYielded) {
	if e.EndpointsVersion > n.endpointsVersion {
		n.handleEndpointsLoaded(EndpointsLoaded{Endpoints: e.Endpoints, Version: e.EndpointsVersion, Gap: true})
		return
	}
	merged := slices.Clone(n.endpoints)
	for _, o := range e.Endpoints {
		if !slices.ContainsFunc(merged, func(m endpoint.Endpoint) bool { return m.ID == o.ID }) {
			merged = append(merged, o)
			n.missingSince[o.ID], n.lastMissingAt, n.endpointsListedAt = n.now, n.now, 0
			n.unproven[o.ID] = true
		}
	}
	n.setEndpoints(merged)
}

// handlePeerYielded takes over a shard at the request of its leader, if this VM is a successor and
// does not shut down.
func (n *Control) handlePeerYielded(e PeerYielded) {
	n.applyReplicaSet(e.ReplicaSet)
	id := e.ReplicaSet.Cell
	if n.ledShards[id] != nil {
		// This VM has taken over already. The sender steps down if it is outranked.
		e.Done <- n.ledShards[id].leader.Token() > e.Token
		return
	}
	if n.isLeaving() || n.desired == nil || !n.isCurrent(e) {
		e.Done <- false
		return
	}
	set := n.monitors[id].ReplicaSet()
	rank := set.Rank(n.config.Self.Incarnation)
	if rank < 0 {
		e.Done <- false
		return
	}
	n.mergeHandedOverEndpoints(e)
	n.becomeLeader(id, set, rank, e.From)
	e.Done <- n.ledShards[id] != nil
}

// isCurrent reports whether a request to take over is from the present leader of the shard, as far
// as this VM knows. A partition may delay a request until another VM has become the leader, whose
// attempts the list of endpoints in the request does not cover.
func (n *Control) isCurrent(e PeerYielded) bool {
	monitor := n.monitors[e.ReplicaSet.Cell]
	if monitor == nil || e.ReplicaSet.Revision < monitor.ReplicaSet().Revision || e.Expires != 0 && n.now > e.Expires {
		return false
	}
	// VMs of earlier versions send no token; theirs is at least that of the first member.
	token := max(e.Token, e.ReplicaSet.Token(0))
	return token >= monitor.HighestToken()
}

// handleYieldEnded steps down as leader once a successor has taken the shard over. If the successor
// declined, a VM that shuts down asks the next one, and any other VM keeps the shard.
func (n *Control) handleYieldEnded(e YieldEnded) {
	if !n.leads(e.Shard, e.Leadership) {
		return
	}
	led := n.ledShards[e.Shard]
	led.yielding = false
	switch {
	case e.Accepted:
		n.emit(LogEvent{Topic: LeadershipYielded, Shard: e.Shard, ReplicaSet: n.monitors[e.Shard].ReplicaSet()})
		n.stepDown(e.Shard)
	case n.isLeaving():
		n.yield(e.Shard)
	default:
		led.acquiredAt = n.now
	}
}

package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// heartbeatMaxAge is how long after its last heartbeat a VM is considered running and may become
	// a successor. Heartbeats arrive every 100 ms.
	heartbeatMaxAge = clock.Millis(600)
	// replicaSetWriteInterval is the minimum interval between the replica sets that a leader writes,
	// since each is a call to the store.
	replicaSetWriteInterval = clock.Second
	// firstWriteDelay is how long a new leader waits before it writes its first replica set, so that
	// the other VMs have sent a heartbeat.
	firstWriteDelay = clock.Millis(400)
	// initialClaimDelay is how long the first claim of a shard waits for stronger VMs to appear. All
	// VMs of a deployment start within 300 ms, and callers connect seconds later.
	initialClaimDelay = clock.Millis(400)
	// fetchInterval is the minimum interval between requests to peers for data that the store has
	// not delivered.
	fetchInterval = clock.Millis(200)
	// desiredFetchDelay is how long a later desired state may take to arrive from the store before it is
	// requested from a peer, and how long the request may take.
	desiredFetchDelay = clock.Second
	// endpointsMaxAge is the age of the list of endpoints at which a leader fetches a newer one from a
	// peer, and successorEndpointsMaxAge that at which a successor does. They read the store every
	// 0.8 and 1.9 s.
	endpointsMaxAge          = clock.Millis(1200)
	successorEndpointsMaxAge = clock.Millis(2500)
	// maxLinkPatience bounds how much longer the answer of a leader may take because messages wait in
	// front of its link.
	maxLinkPatience = clock.Millis(150)
)

// tick runs the periodic work of all shards.
func (n *Control) tick() {
	for _, id := range n.shards {
		n.step(id)
		led := n.ledShards[id]
		if led == nil {
			continue
		}
		n.renewOwnLeases(id)
		n.sendToLeader(id, leader.Tick{})
		if led = n.ledShards[id]; led != nil {
			n.refreshReplicaSet(id, led)
			n.moveToBetterSuccessor(id, led)
			n.retryYield(id, led)
			n.saveEstimates(id, led)
			n.loads[id] = led.leader.Load(n.now)
		}
	}
	n.crashes.Expire(n.now)
	n.dropMissing()
	n.querySeeds()
	n.register()
	n.watchEmptyShards()
	n.confirmCancellations()
	n.maintainStoredCancellations()
	n.gateway.Tick(n.now)
	n.distributeLoads()
}

// renewOwnLeases renews the leases of this VM's own jobs at a shard that it leads.
func (n *Control) renewOwnLeases(id shard.ID) {
	waiting, last := n.gateway.Outstanding(id)
	n.sendToLeader(id, leader.JobLeasesRenewed{Entry: n.config.Self.Incarnation, Sent: n.now, Waiting: waiting, LastSeq: last})
}

// distributeLoads reports the load of each shard that this VM leads to its other leaders.
func (n *Control) distributeLoads() {
	for _, id := range n.shards {
		led := n.ledShards[id]
		if led == nil {
			continue
		}
		for _, o := range n.shards {
			if load, ok := n.loads[o]; ok && o != id {
				if n.ledShards[o] != nil {
					n.sendToLeader(id, leader.LoadReported{Load: load})
				}
			}
		}
	}
}

// step carries out the next step that the failover monitor of a shard requests.
func (n *Control) step(id shard.ID) {
	if n.ledShards[id] != nil {
		return
	}
	n.probeAsSuccessor(id)
	switch s := n.monitors[id].Next(n.now, n.environment(id)).(type) {
	case failover.Heartbeat:
		n.emit(SendHeartbeat{To: s.To, Request: n.heartbeatRequest(id, s), SentAt: n.now, Patience: min(n.loads[id].LinkDelay, maxLinkPatience)})
	case failover.TakeOver:
		set := n.monitors[id].ReplicaSet()
		n.becomeLeader(id, set, s.Rank, "")
	case failover.Claim:
		n.claim(id)
	case nil:
	}
}

// probeAsSuccessor keeps probing the endpoints of a shard without a leader that this VM may succeed. While another
// successor answers, the silent members before are polled for longer than the result of a probe is valid.
func (n *Control) probeAsSuccessor(id shard.ID) {
	set := n.monitors[id].ReplicaSet()
	if _, _, _, ok := n.monitors[id].Leader(n.now); !ok && set.Rank(n.config.Self.Incarnation) > 0 {
		n.canReachEndpoints(id)
	}
}

func (n *Control) environment(id shard.ID) failover.Environment {
	revision := n.monitors[id].ReplicaSet().Revision
	return failover.Environment{
		ClaimDelay: func() clock.Millis { return n.claimDelay(id) },
		MayLead:    func() bool { return !n.isLeaving() && n.mayLead(id) },
		Idle:       func() bool { return n.isIdleAt(id) },
		Replaced: func(m shard.Member) bool {
			v, ok := n.vmRecords[m.Incarnation.VM()]
			// A row that is older than the replica set may be that of the previous incarnation.
			return ok && v.Incarnation != m.Incarnation && v.Revision > revision
		},
	}
}

// isIdleAt reports whether this VM needs no frequent heartbeats to the leader of a shard: it neither
// waits for jobs there, nor may succeed that leader, nor has to exchange loads with it. A heartbeat and
// its answer carry the loads of both, so one of two leaders sends frequent ones.
func (n *Control) isIdleAt(id shard.ID) bool {
	monitor, self := n.monitors[id], n.config.Self.Incarnation
	set := monitor.ReplicaSet()
	if set.Rank(self) >= 0 {
		return false
	}
	if m, _, _, ok := monitor.Leader(n.now); len(n.ledShards) > 0 && (!ok || self < m.Incarnation) {
		return false
	}
	waiting, _ := n.gateway.Outstanding(id)
	return len(waiting) == 0
}

// claimDelay is how long this VM waits for better candidates to claim the shard, or -1 if it must
// not claim it.
func (n *Control) claimDelay(id shard.ID) clock.Millis {
	if n.isLeaving() || n.desired == nil {
		return -1
	}
	rank := slices.IndexFunc(n.candidatesFor(id), func(v shard.VM) bool {
		return v.Incarnation == n.config.Self.Incarnation
	})
	if rank < 0 {
		return -1
	}
	delay := claimDelayOf(rank)
	if n.monitors[id].ReplicaSet().Revision == 0 {
		delay += initialClaimDelay
	}
	if n.config.Self.DataCentre != id.DataCentre() {
		delay += failover.RemoteClaimDelay
	}
	return delay
}

const (
	// maxClaimRank bounds the better candidates that are waited for. Most rows may be those of VMs that are
	// gone, and only one of several claims at the same time succeeds.
	maxClaimRank = 10
	// lateClaimSpread spreads the claims of the candidates beyond that rank.
	lateClaimSpread = clock.Millis(20)
)

// claimDelayOf is how long a candidate waits for better ones.
func claimDelayOf(rank int) clock.Millis {
	if rank <= maxClaimRank {
		return clock.Millis(rank) * failover.ClaimDelay
	}
	return maxClaimRank*failover.ClaimDelay + clock.Millis(rank%maxClaimRank)*lateClaimSpread
}

// candidatesFor orders the VMs by preference as leader of a shard.
func (n *Control) candidatesFor(id shard.ID) []shard.VM {
	if n.candidates[id] == nil {
		n.candidates[id] = shard.Candidates(id, n.vms)
	}
	return n.candidates[id]
}

func (n *Control) heartbeatRequest(id shard.ID, h failover.Heartbeat) HeartbeatRequest {
	waiting, last := n.gateway.Outstanding(id)
	r := HeartbeatRequest{
		Cell: id, From: n.config.Self, Waiting: waiting, LastSeq: last,
		Revision: n.monitors[id].ReplicaSet().Revision, Leaving: n.isLeaving(), Clock: n.now,
		Crashes: n.crashUpdate(h.To.Incarnation), Evacuations: n.evacuationReport(),
	}
	if n.desired != nil {
		r.Desired = n.desired.Version
	}
	if !h.First {
		_, _, r.Sent, _ = n.monitors[id].Leader(n.now)
		// The first heartbeat has told the rest.
		r.From = shard.VM{Member: shard.Member{Incarnation: n.config.Self.Incarnation}}
	}
	for _, o := range n.shards {
		if n.ledShards[o] != nil {
			r.Loads = append(r.Loads, n.loads[o])
		}
	}
	return r
}

// handlePeerHeartbeat answers the heartbeat of another VM.
func (n *Control) handlePeerHeartbeat(e PeerHeartbeat) {
	r := e.Request
	n.heartbeats[r.From.Incarnation] = heartbeat{receivedAt: n.now, senderClock: r.Clock, address: n.addressOf(r.From)}
	if r.Leaving {
		delete(n.heartbeats, r.From.Incarnation)
	}
	monitor := n.monitors[r.Cell]
	reply := HeartbeatReply{From: n.config.Self.Incarnation, Clock: n.now, EndpointsVersion: n.endpointsVersion, Draining: n.isLeaving()}
	if n.desired != nil {
		reply.Desired = n.desired.Version
	}
	if monitor != nil {
		if set := monitor.ReplicaSet(); set.Revision > r.Revision {
			reply.Lineup = set
		}
	}
	for _, load := range r.Loads {
		n.recordLoad(load)
	}
	n.applyCrashUpdate(r.From.Incarnation, r.Crashes)
	reply.Crashes = n.crashUpdate(r.From.Incarnation)
	led := n.ledShards[r.Cell]
	if led != nil {
		n.applyEvacuationReport(r.Evacuations, r.Sent)
	} else {
		// The clock in the message may be that of another VM.
		n.applyEvacuationReport(r.Evacuations, 0)
	}
	reply.Evacuations = n.evacuationReport()
	if led != nil {
		reply.Home, reply.Token = true, led.leader.Token()
		reply.Load = n.loads[r.Cell]
		if r.Sent != 0 {
			n.sendToLeader(r.Cell, leader.JobLeasesRenewed{Entry: r.From.Incarnation, Sent: r.Sent, Waiting: r.Waiting, LastSeq: r.LastSeq})
		}
		if n.endpointsListedAt != 0 {
			reply.ListAge = max(n.now-n.endpointsListedAt, 1)
		}
		reply.OrphansEndIn = led.leader.OrphansEndBy(n.now) - n.now
	}
	if r.Desired > reply.Desired {
		n.fetchDesiredState(shard.Member{Incarnation: r.From.Incarnation, Address: n.addressOf(r.From)}, r.Desired)
	}
	e.Reply <- reply
}

// addressOf returns the address of the sender of a heartbeat, or an empty one if it is unknown.
func (n *Control) addressOf(v shard.VM) string {
	if v.Address != "" {
		return v.Address
	}
	if known := n.vmRecords[v.Incarnation.VM()]; known.Incarnation == v.Incarnation {
		return known.Address
	}
	return n.heartbeats[v.Incarnation].address
}

// recordLoad stores the load of a shard and reports it to the other leaders of this VM.
func (n *Control) recordLoad(load shard.Load) {
	load.At = n.now
	load.Evacuated = load.Evacuated || n.isEvacuated(load.Cell)
	n.loads[load.Cell] = load
	n.reportLoad(load)
}

// reportLoad reports the load of a shard to the other leaders of this VM.
func (n *Control) reportLoad(load shard.Load) {
	for _, id := range n.shards {
		if n.ledShards[id] != nil && id != load.Cell {
			n.sendToLeader(id, leader.LoadReported{Load: load})
		}
	}
}

func (n *Control) handleHeartbeatAnswered(e HeartbeatAnswered) {
	if e.Answer.OK {
		n.applyCrashUpdate(e.Answer.From, e.Reply.Crashes)
		n.applyEvacuationReport(e.Reply.Evacuations, e.Answer.SentAt)
	}
	monitor := n.monitors[e.Shard]
	if monitor == nil || n.ledShards[e.Shard] != nil {
		return
	}
	monitor.HandleAnswer(e.Answer, n.now)
	if !e.Answer.OK {
		n.step(e.Shard)
		return
	}
	if !e.Reply.Draining {
		n.heartbeats[e.Answer.From] = heartbeat{receivedAt: n.now, senderClock: e.Reply.Clock}
	}
	if e.Reply.Lineup.Revision > 0 {
		n.applyReplicaSet(e.Reply.Lineup)
	}
	if e.Reply.Home {
		n.recordLoad(e.Reply.Load)
	}
	from := n.memberOf(e.Shard, e.Answer)
	if n.desired == nil || e.Reply.Desired > n.desired.Version {
		n.fetchDesiredState(from, e.Reply.Desired)
	}
	member, leads := n.InReplicaSet()
	maxAge := successorEndpointsMaxAge
	if leads {
		maxAge = endpointsMaxAge
	}
	if member && e.Reply.EndpointsVersion > n.endpointsVersion && n.now-n.endpointsAt > maxAge && n.now-n.lastFetchAt > fetchInterval && from.Address != "" {
		n.lastFetchAt = n.now
		n.emit(FetchEndpoints{From: from})
	}
}

func (n *Control) memberOf(id shard.ID, a failover.Answer) shard.Member {
	set := n.monitors[id].ReplicaSet()
	if r := set.Rank(a.From); r >= 0 {
		return set.Members[r]
	}
	return shard.Member{}
}

// fetchDesiredState requests a later desired state from a peer, unless the store may still deliver it: a
// large one would fill the links of the VMs that have it.
func (n *Control) fetchDesiredState(from shard.Member, version queue.Version) {
	if n.desired == nil || n.newerDesired <= n.desired.Version {
		n.newerDesiredSince = n.now
	}
	n.newerDesired = max(n.newerDesired, version)
	if from.Address == "" || n.desired != nil && n.now < max(n.newerDesiredSince, n.desiredFetchAt)+desiredFetchDelay {
		return
	}
	n.desiredFetchAt = n.now
	n.emit(FetchDesiredState{From: from})
}

package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// heartbeatMaxAge is how long after its last beat a VM counts as alive for a lineup; beats
	// come every 100 ms.
	heartbeatMaxAge = clock.Millis(600)
	// replicaSetWriteInterval spaces the lineups that a home writes, since each is a call to the store.
	replicaSetWriteInterval = clock.Second
	// firstWriteDelay is how long a home waits before it writes its first lineup, so that the
	// others have sent a beat.
	firstWriteDelay = clock.Millis(400)
	// initialClaimDelay is how long the first claim of a cell waits for stronger VMs to appear: all VMs
	// of a deployment start within 300 ms, and callers come seconds later.
	initialClaimDelay = clock.Millis(400)
	// fetchInterval spaces questions to peers for what the store should have told.
	fetchInterval = clock.Millis(200)
	// endpointsMaxAge is how old the list of endpoints may become before a peer is asked: the
	// store is read every 400 ms.
	endpointsMaxAge = clock.Millis(1200)
)

func (n *Control) tick() {
	for _, c := range n.shards {
		n.step(c)
		h := n.leaders[c]
		if h == nil {
			continue
		}
		n.renewOwnLeases(c)
		n.sendToLeader(c, leader.Tick{})
		if h = n.leaders[c]; h != nil {
			n.refreshReplicaSet(c, h)
			n.moveToBetterSuccessor(c, h)
			n.retryYield(c, h)
			n.saveEstimates(c, h)
			n.loads[c] = h.leader.Load(n.now)
		}
	}
	n.dropMissing()
	n.querySeeds()
	n.gateway.Tick(n.now)
	n.distributeLoads()
}

// renewOwnLeases renews this VM's own jobs at its home.
func (n *Control) renewOwnLeases(c shard.ID) {
	waiting, last := n.gateway.Outstanding(c)
	n.sendToLeader(c, leader.JobLeasesRenewed{Entry: n.config.Self.Incarnation, Sent: n.now, Waiting: waiting, LastSeq: last})
}

// distributeLoads tells the homes of this VM what the other cells have.
func (n *Control) distributeLoads() {
	for _, c := range n.shards {
		h := n.leaders[c]
		if h == nil {
			continue
		}
		for _, o := range n.shards {
			if l, ok := n.loads[o]; ok && o != c {
				if n.leaders[o] != nil {
					n.sendToLeader(c, leader.LoadReported{Load: l})
				}
			}
		}
	}
}

// step does what the view of a cell wants done.
func (n *Control) step(c shard.ID) {
	if n.leaders[c] != nil {
		return
	}
	switch s := n.monitors[c].Next(n.now, n.environment(c)).(type) {
	case failover.Heartbeat:
		n.emit(SendHeartbeat{To: s.To, Request: n.heartbeatRequest(c, s.First), SentAt: n.now})
	case failover.TakeOver:
		l := n.monitors[c].ReplicaSet()
		n.becomeLeader(c, l, s.Rank)
	case failover.Claim:
		n.claim(c)
	case nil:
	}
}

func (n *Control) environment(c shard.ID) failover.Environment {
	revision := n.monitors[c].ReplicaSet().Revision
	return failover.Environment{
		ClaimDelay: func() clock.Millis { return n.claimDelay(c) },
		MayLead:    func() bool { return !n.shutdown && n.canReachEndpoints(c) },
		Replaced: func(m shard.Member) bool {
			v, ok := n.vmRecords[m.Incarnation.VM()]
			// A row that is older than the lineup may be that of the life before.
			return ok && v.Incarnation != m.Incarnation && v.Revision > revision
		},
	}
}

// claimDelay is how long this VM leaves a claim of the cell to better candidates, or -1.
func (n *Control) claimDelay(c shard.ID) clock.Millis {
	if n.shutdown || n.desired == nil {
		return -1
	}
	place := slices.IndexFunc(shard.Candidates(c, n.vms), func(v shard.VM) bool {
		return v.Incarnation == n.config.Self.Incarnation
	})
	if place < 0 {
		return -1
	}
	pause := clock.Millis(place) * failover.ClaimDelay
	if n.monitors[c].ReplicaSet().Revision == 0 {
		pause += initialClaimDelay
	}
	if n.config.Self.DataCentre != c.DataCentre() {
		pause += failover.RemoteClaimDelay
	}
	return pause
}

func (n *Control) heartbeatRequest(c shard.ID, first bool) HeartbeatRequest {
	waiting, last := n.gateway.Outstanding(c)
	b := HeartbeatRequest{
		Cell: c, From: n.config.Self, Waiting: waiting, LastSeq: last,
		Revision: n.monitors[c].ReplicaSet().Revision, Leaving: n.shutdown,
	}
	if n.desired != nil {
		b.Desired = n.desired.Version
	}
	if !first {
		_, _, b.Sent, _ = n.monitors[c].Leader(n.now)
	}
	for _, o := range n.shards {
		if n.leaders[o] != nil {
			b.Loads = append(b.Loads, n.loads[o])
		}
	}
	return b
}

// peerHeartbeat answers a beat of another VM.
func (n *Control) peerHeartbeat(e PeerHeartbeat) {
	b := e.Request
	n.heartbeatAt[b.From.Incarnation] = n.now
	if b.Leaving {
		delete(n.heartbeatAt, b.From.Incarnation)
	}
	v := n.monitors[b.Cell]
	reply := HeartbeatReply{From: n.config.Self.Incarnation, Clock: n.now, EndpointsVersion: n.endpointsVersion, Draining: n.shutdown}
	if n.desired != nil {
		reply.Desired = n.desired.Version
	}
	if v != nil {
		if l := v.ReplicaSet(); l.Revision > b.Revision {
			reply.Lineup = l
		}
	}
	for _, l := range b.Loads {
		n.recordLoad(l)
	}
	h := n.leaders[b.Cell]
	if h != nil {
		reply.Home, reply.Token = true, h.leader.Token()
		reply.Load = n.loads[b.Cell]
		if b.Sent != 0 {
			n.sendToLeader(b.Cell, leader.JobLeasesRenewed{Entry: b.From.Incarnation, Sent: b.Sent, Waiting: b.Waiting, LastSeq: b.LastSeq})
		}
	}
	if b.Desired > reply.Desired {
		n.fetchDesiredState(b.From.Member)
	}
	e.Reply <- reply
}

func (n *Control) recordLoad(l shard.Load) {
	l.At = n.now
	n.loads[l.Cell] = l
	for _, c := range n.shards {
		if n.leaders[c] != nil && c != l.Cell {
			n.sendToLeader(c, leader.LoadReported{Load: l})
		}
	}
}

func (n *Control) heartbeatAnswered(e HeartbeatAnswered) {
	v := n.monitors[e.Shard]
	if v == nil || n.leaders[e.Shard] != nil {
		return
	}
	v.HandleAnswer(e.Answer, n.now)
	if !e.Answer.OK {
		n.step(e.Shard)
		return
	}
	if !e.Reply.Draining {
		n.heartbeatAt[e.Answer.From] = n.now
	}
	if e.Reply.Lineup.Revision > 0 {
		n.applyReplicaSet(e.Reply.Lineup)
	}
	if e.Reply.Home {
		n.recordLoad(e.Reply.Load)
	}
	from := n.memberOf(e.Shard, e.Answer)
	if n.desired == nil || e.Reply.Desired > n.desired.Version {
		n.fetchDesiredState(from)
	}
	member, _ := n.InReplicaSet()
	if member && e.Reply.EndpointsVersion > n.endpointsVersion && n.now-n.endpointsAt > endpointsMaxAge && n.now-n.lastFetchAt > fetchInterval && from.Address != "" {
		n.lastFetchAt = n.now
		n.emit(FetchEndpoints{From: from})
	}
}

func (n *Control) memberOf(c shard.ID, a failover.Answer) shard.Member {
	l := n.monitors[c].ReplicaSet()
	if r := l.Rank(a.From); r >= 0 {
		return l.Members[r]
	}
	return shard.Member{}
}

func (n *Control) fetchDesiredState(from shard.Member) {
	if from.Address == "" || n.now-n.lastFetchAt < fetchInterval && n.desired != nil {
		return
	}
	n.lastFetchAt = n.now
	n.emit(FetchDesiredState{From: from})
}

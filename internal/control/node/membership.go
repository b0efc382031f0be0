package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// memberFresh is how long after its last beat a VM counts as alive for a lineup; beats
	// come every 100 ms.
	memberFresh = clock.Millis(600)
	// rewriteEvery spaces the lineups that a home writes, since each is a call to the store.
	rewriteEvery = clock.Second
	// settleTime is how long a home waits before it writes its first lineup, so that the
	// others have sent a beat.
	settleTime = clock.Millis(400)
	// gatherPause is how long the first claim of a cell waits for stronger VMs to appear: all VMs
	// of a deployment start within 300 ms, and callers come seconds later.
	gatherPause = clock.Millis(400)
	// fetchEvery spaces questions to peers for what the store should have told.
	fetchEvery = clock.Millis(200)
	// endpointsStale is how old the list of endpoints may become before a peer is asked: the
	// store is read every 400 ms.
	endpointsStale = clock.Millis(1200)
)

func (n *Control) passTime() {
	for _, c := range n.cells {
		n.step(c)
		h := n.homes[c]
		if h == nil {
			continue
		}
		n.tellInterest(c)
		n.tell(c, leader.Tick{})
		if h = n.homes[c]; h != nil {
			n.tendLineup(c, h)
			n.moveCell(c, h)
			n.goOnYielding(c, h)
			n.saveExperience(c, h)
			n.loads[c] = h.home.Load(n.now)
		}
	}
	n.dropVanished()
	n.askSeeds()
	n.front.Tick(n.now)
	n.shareLoads()
}

// tellInterest renews this VM's own jobs at its home.
func (n *Control) tellInterest(c shard.ID) {
	waiting, last := n.front.Outstanding(c)
	n.tell(c, leader.JobLeasesRenewed{Entry: n.config.Self.Incarnation, Sent: n.now, Waiting: waiting, LastSeq: last})
}

// shareLoads tells the homes of this VM what the other cells have.
func (n *Control) shareLoads() {
	for _, c := range n.cells {
		h := n.homes[c]
		if h == nil {
			continue
		}
		for _, o := range n.cells {
			if l, ok := n.loads[o]; ok && o != c {
				if n.homes[o] != nil {
					n.tell(c, leader.LoadReported{Load: l})
				}
			}
		}
	}
}

// step does what the view of a cell wants done.
func (n *Control) step(c shard.ID) {
	if n.homes[c] != nil {
		return
	}
	switch s := n.views[c].Next(n.now, n.surroundings(c)).(type) {
	case failover.Heartbeat:
		n.do(SendHeartbeat{To: s.To, Request: n.beat(c, s.First), SentAt: n.now})
	case failover.TakeOver:
		l := n.views[c].ReplicaSet()
		n.take(c, l, s.Rank)
	case failover.Claim:
		n.claim(c)
	case nil:
	}
}

func (n *Control) surroundings(c shard.ID) failover.Environment {
	revision := n.views[c].ReplicaSet().Revision
	return failover.Environment{
		ClaimDelay: func() clock.Millis { return n.position(c) },
		MayLead:    func() bool { return !n.shutdown && n.reaches(c) },
		Replaced: func(m shard.Member) bool {
			v, ok := n.vmRows[m.Incarnation.VM()]
			// A row that is older than the lineup may be that of the life before.
			return ok && v.Incarnation != m.Incarnation && v.Revision > revision
		},
	}
}

// position is how long this VM leaves a claim of the cell to better candidates, or -1.
func (n *Control) position(c shard.ID) clock.Millis {
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
	if n.views[c].ReplicaSet().Revision == 0 {
		pause += gatherPause
	}
	if n.config.Self.DataCentre != c.DataCentre() {
		pause += failover.RemoteClaimDelay
	}
	return pause
}

func (n *Control) beat(c shard.ID, first bool) HeartbeatRequest {
	waiting, last := n.front.Outstanding(c)
	b := HeartbeatRequest{
		Cell: c, From: n.config.Self, Waiting: waiting, LastSeq: last,
		Revision: n.views[c].ReplicaSet().Revision, Leaving: n.shutdown,
	}
	if n.desired != nil {
		b.Desired = n.desired.Version
	}
	if !first {
		_, _, b.Sent, _ = n.views[c].Leader(n.now)
	}
	for _, o := range n.cells {
		if n.homes[o] != nil {
			b.Loads = append(b.Loads, n.loads[o])
		}
	}
	return b
}

// peerBeat answers a beat of another VM.
func (n *Control) peerBeat(e PeerHeartbeat) {
	b := e.Request
	n.heard[b.From.Incarnation] = n.now
	if b.Leaving {
		delete(n.heard, b.From.Incarnation)
	}
	v := n.views[b.Cell]
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
		n.hearLoad(l)
	}
	h := n.homes[b.Cell]
	if h != nil {
		reply.Home, reply.Token = true, h.home.Token()
		reply.Load = n.loads[b.Cell]
		if b.Sent != 0 {
			n.tell(b.Cell, leader.JobLeasesRenewed{Entry: b.From.Incarnation, Sent: b.Sent, Waiting: b.Waiting, LastSeq: b.LastSeq})
		}
	}
	if b.Desired > reply.Desired {
		n.fetchDesired(b.From.Member)
	}
	e.Reply <- reply
}

func (n *Control) hearLoad(l shard.Load) {
	l.At = n.now
	n.loads[l.Cell] = l
	for _, c := range n.cells {
		if n.homes[c] != nil && c != l.Cell {
			n.tell(c, leader.LoadReported{Load: l})
		}
	}
}

func (n *Control) beatAnswered(e HeartbeatAnswered) {
	v := n.views[e.Shard]
	if v == nil || n.homes[e.Shard] != nil {
		return
	}
	v.HandleAnswer(e.Answer, n.now)
	if !e.Answer.OK {
		n.step(e.Shard)
		return
	}
	if !e.Reply.Draining {
		n.heard[e.Answer.From] = n.now
	}
	if e.Reply.Lineup.Revision > 0 {
		n.learn(e.Reply.Lineup)
	}
	if e.Reply.Home {
		n.hearLoad(e.Reply.Load)
	}
	from := n.memberOf(e.Shard, e.Answer)
	if n.desired == nil || e.Reply.Desired > n.desired.Version {
		n.fetchDesired(from)
	}
	member, _ := n.InReplicaSet()
	if member && e.Reply.EndpointsVersion > n.endpointsVersion && n.now-n.endpointsAt > endpointsStale && n.now-n.fetchedAt > fetchEvery && from.Address != "" {
		n.fetchedAt = n.now
		n.do(FetchEndpoints{From: from})
	}
}

func (n *Control) memberOf(c shard.ID, a failover.Answer) shard.Member {
	l := n.views[c].ReplicaSet()
	if r := l.Rank(a.From); r >= 0 {
		return l.Members[r]
	}
	return shard.Member{}
}

func (n *Control) fetchDesired(from shard.Member) {
	if from.Address == "" || n.now-n.fetchedAt < fetchEvery && n.desired != nil {
		return
	}
	n.fetchedAt = n.now
	n.do(FetchDesiredState{From: from})
}

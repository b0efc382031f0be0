package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// learn takes in a lineup. A home that is not in the first place of a later one has lost its
// cell.
func (n *Control) learn(l shard.ReplicaSet) {
	v := n.views[l.Cell]
	if v == nil || !v.Update(l, n.now) {
		return
	}
	n.do(Report{Topic: ReplicaSetUpdated, Shard: l.Cell, ReplicaSet: l})
	h := n.homes[l.Cell]
	if h == nil {
		return
	}
	if len(l.Members) > 0 && l.Members[0].Incarnation == n.config.Self.Incarnation {
		h.home.SetToken(l.Token(0))
		v.BecameLeader(h.home.Token(), n.now)
		return
	}
	n.lose(l.Cell)
}

// take makes this VM the home of a cell.
func (n *Control) take(c shard.ID, l shard.ReplicaSet, rank int) {
	if n.shutdown || n.homes[c] != nil || !n.reaches(c) {
		return
	}
	token := l.Token(rank)
	n.homes[c] = &hosted{writtenAt: n.now, takenAt: n.now, savedAt: n.now, home: leader.New(leader.Config{
		Shard: c, Token: token, Timeouts: n.config.Times, FarFactor: n.config.FarFactor,
		Desired: n.desired, Now: n.now,
	})}
	n.views[c].BecameLeader(token, n.now)
	n.do(LoadEstimates{Shard: c})
	n.do(Report{Topic: LeadershipAcquired, Shard: c, ReplicaSet: l, Rank: rank, Token: token})
	for o, load := range n.loads {
		if o != c {
			n.tell(c, leader.LoadReported{Load: load})
		}
	}
	n.tellEndpoints(c)
}

// lose gives up a cell because somebody else is its home.
func (n *Control) lose(c shard.ID) {
	h := n.homes[c]
	if h == nil {
		return
	}
	delete(n.homes, c)
	n.views[c].LostLeadership(n.now)
	n.do(Report{Topic: LeadershipLost, Shard: c, Token: h.home.Token()})
	n.carryOut(c, h.home.StepDown(n.now))
}

// claim tries to become home of a cell that has nobody.
func (n *Control) claim(c shard.ID) {
	if !n.reaches(c) {
		return
	}
	l := n.views[c].ReplicaSet()
	n.do(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: n.members(c)}, Expected: l.Revision})
}

// members are this VM and the VMs that are to stand in for it.
func (n *Control) members(c shard.ID) []shard.Member {
	members := []shard.Member{n.config.Self.Member}
	var away []shard.Member
	for _, v := range shard.Candidates(c, n.vms) {
		if v.Incarnation == n.config.Self.Incarnation || n.heardAgo(v) > memberFresh {
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

func (n *Control) heardAgo(v shard.VM) clock.Millis {
	at, ok := n.heard[v.Incarnation]
	if !ok {
		return clock.Hour
	}
	return n.now - at
}

// tendLineup writes the lineup again when its successors have changed or this VM has taken
// over from another.
func (n *Control) tendLineup(c shard.ID, h *hosted) {
	l := n.views[c].ReplicaSet()
	spacing := rewriteEvery
	if h.home.Token() != l.Token(0) || len(l.Members) == 1 {
		spacing = settleTime
	}
	if n.shutdown {
		// A lineup without a VM that lives leaves nobody to hand over to.
		spacing = settleTime
	}
	if h.writing || h.yielding || n.now-h.writtenAt < spacing {
		return
	}
	want := n.members(c)
	if slices.Equal(want, l.Members) {
		h.writtenAt = n.now
		return
	}
	h.writing, h.writtenAt = true, n.now
	n.do(WriteReplicaSet{ReplicaSet: shard.ReplicaSet{Cell: c, Members: want}, Expected: l.Revision})
}

// saveExperience writes what a home has learnt to the store, for the home after a restart.
func (n *Control) saveExperience(c shard.ID, h *hosted) {
	if n.now-h.savedAt < saveEvery || n.shutdown {
		return
	}
	h.savedAt = n.now
	n.do(SaveEstimates{Shard: c, Estimates: h.home.Estimates()})
}

// saveEvery spaces writes of what a home has learnt; speeds hardly change.
const saveEvery = 4 * clock.Second

// moveCell hands a cell to a successor that suits much better: a VM inside the data centre if
// this one is outside, or one with far more processor, so that a small VM which was there first
// does not carry a cell at the crest.
func (n *Control) moveCell(c shard.ID, h *hosted) {
	if h.yielding || n.shutdown || h.writing || n.now-h.takenAt < moveAfter {
		return
	}
	l := n.views[c].ReplicaSet()
	for _, v := range shard.Candidates(c, n.vms) {
		if n.suitsBetter(c, v) && n.heardAgo(v) <= memberFresh && l.Rank(v.Incarnation) > l.Rank(n.config.Self.Incarnation) {
			h.yielding = true
			n.do(SendYield{To: v.Member, ReplicaSet: l, Endpoints: n.handOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
}

func (n *Control) suitsBetter(c shard.ID, v shard.VM) bool {
	if v.DataCentre != c.DataCentre() {
		return false
	}
	self := &n.config.Self
	return self.DataCentre != c.DataCentre() || float64(v.CPU) >= muchStronger*float64(self.CPU)
}

const (
	// moveAfter is how long a home keeps a cell at least, so that a cell does not go back and
	// forth while a data centre comes back.
	moveAfter = 2 * clock.Second
	// muchStronger is how many times the processor of its home a VM must have to be worth the
	// move, during which jobs of the cell wait some milliseconds. The sizes of a deployment
	// differ by 1.6 times and more.
	muchStronger = 1.5
)

func (n *Control) lineupWritten(e ReplicaSetWritten) {
	c := e.ReplicaSet.Cell
	if h := n.homes[c]; h != nil {
		h.writing, h.writtenAt = false, n.now
	}
	if !e.Written {
		return
	}
	wasHome := n.homes[c] != nil
	n.learn(e.ReplicaSet)
	if !wasHome && n.views[c].ReplicaSet().Revision == e.ReplicaSet.Revision {
		n.take(c, e.ReplicaSet, 0)
	}
}

// beginShutdown hands every cell of this VM to a successor.
func (n *Control) beginShutdown() {
	n.shutdown, n.shutdownAt = true, n.now
	for _, c := range n.cells {
		if n.homes[c] != nil {
			n.yield(c)
		}
	}
}

// yield asks the next successor that lives to take a cell over.
func (n *Control) yield(c shard.ID) {
	h := n.homes[c]
	l := n.views[c].ReplicaSet()
	if h.lastAsked == 0 || h.askedUnder != l.Revision {
		h.lastAsked, h.askedUnder = l.Rank(n.config.Self.Incarnation), l.Revision
	}
	for rank, m := range l.Members {
		if at, ok := n.heard[m.Incarnation]; rank > h.lastAsked && ok && n.now-at <= memberFresh {
			h.yielding, h.lastAsked = true, rank
			n.do(SendYield{To: m, ReplicaSet: l, Endpoints: n.handOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
	if n.now < n.shutdownAt+n.config.HandOverTimeout {
		// In a partition all members of the lineup may have been replaced, and the store may be
		// out of reach for another. The cell is served until there is a successor.
		h.lastAsked, h.yieldAgainAt = 0, n.now+yieldAgainAfter
		return
	}
	n.do(Report{Topic: LeadershipYielded, Shard: c, ReplicaSet: l, Rank: -1})
	n.lose(c)
}

// yieldAgainAfter spaces the search for a successor; a lineup with new ones takes a call to the
// store.
const yieldAgainAfter = clock.Millis(100)

// goOnYielding looks for a successor again for a cell that could not be handed over.
func (n *Control) goOnYielding(c shard.ID, h *hosted) {
	if n.shutdown && !h.yielding && n.now >= h.yieldAgainAt {
		n.yield(c)
	}
}

// handOver lists the endpoints that the next home has to know: those that are listed, and
// those that are not any more but may have runs.
func (n *Control) handOver(h *hosted) []endpoint.Endpoint {
	all := slices.Clone(n.endpoints)
	for _, e := range h.home.Endpoints() {
		if !slices.ContainsFunc(all, func(o endpoint.Endpoint) bool { return o.ID == e.ID }) {
			all = append(all, e)
		}
	}
	return all
}

// mergeEndpoints takes in what the home before knows. Endpoints that only it knows are kept
// like those that have vanished just now.
func (n *Control) mergeEndpoints(e PeerYielded) {
	if e.EndpointsVersion > n.endpointsVersion {
		n.endpointsRead(EndpointsLoaded{Endpoints: e.Endpoints, Version: e.EndpointsVersion})
		return
	}
	merged := slices.Clone(n.endpoints)
	for _, o := range e.Endpoints {
		if !slices.ContainsFunc(merged, func(m endpoint.Endpoint) bool { return m.ID == o.ID }) {
			merged = append(merged, o)
			n.vanished[o.ID] = n.now
		}
	}
	n.endpoints = merged
}

func (n *Control) peerYielded(e PeerYielded) {
	n.learn(e.ReplicaSet)
	c := e.ReplicaSet.Cell
	v := n.views[c]
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
	n.mergeEndpoints(e)
	n.take(c, l, rank)
	if h := n.homes[c]; h != nil {
		h.handedOver = true
		n.tellEndpoints(c)
	}
	e.Done <- n.homes[c] != nil
}

// yieldEnded gives a cell up once a successor has it. A VM that shuts down asks the next one
// otherwise; one that wanted to return the cell keeps it.
func (n *Control) yieldEnded(e YieldEnded) {
	h := n.homes[e.Shard]
	if h == nil {
		return
	}
	h.yielding = false
	switch {
	case e.Accepted:
		n.do(Report{Topic: LeadershipYielded, Shard: e.Shard, ReplicaSet: n.views[e.Shard].ReplicaSet()})
		n.lose(e.Shard)
	case n.shutdown:
		n.yield(e.Shard)
	default:
		h.takenAt = n.now
	}
}

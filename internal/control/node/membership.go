package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/home"
	"github.com/sequoiacart/sequoiacart/internal/control/succession"
	"github.com/sequoiacart/sequoiacart/internal/world/cell"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
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
		n.tellInterest(h, c)
		n.tell(c, home.Tick{})
		if h = n.homes[c]; h != nil {
			n.tendLineup(c, h)
			n.returnCell(c, h)
			n.saveExperience(c, h)
			n.loads[c] = h.home.Load(n.now)
		}
	}
	n.dropVanished()
	n.front.Tick(n.now)
	n.shareLoads()
}

// tellInterest renews this VM's own jobs at its home.
func (n *Control) tellInterest(_ *hosted, c cell.ID) {
	waiting, last := n.front.Waiting(c)
	n.tell(c, home.Interest{Entry: n.config.Self.Incarnation, Sent: n.now, Waiting: waiting, LastSeq: last})
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
					n.tell(c, home.LoadHeard{Load: l})
				}
			}
		}
	}
}

// step does what the view of a cell wants done.
func (n *Control) step(c cell.ID) {
	if n.homes[c] != nil {
		return
	}
	switch s := n.views[c].Next(n.now, n.surroundings(c)).(type) {
	case succession.Beat:
		n.do(SendBeat{To: s.To, Beat: n.beat(c, s.First), SentAt: n.now})
	case succession.TakeOver:
		l := n.views[c].Lineup()
		n.take(c, l, s.Rank)
	case succession.Claim:
		n.claim(c)
	case nil:
	}
}

func (n *Control) surroundings(c cell.ID) succession.Surroundings {
	revision := n.views[c].Lineup().Revision
	return succession.Surroundings{
		Pause:   func() clock.Millis { return n.position(c) },
		MayTake: func() bool { return !n.shutdown && n.reaches(c) },
		Replaced: func(m cell.Member) bool {
			v, ok := n.vmRows[m.Incarnation.VM()]
			// A row that is older than the lineup may be that of the life before.
			return ok && v.Incarnation != m.Incarnation && v.Revision > revision
		},
	}
}

// position is how long this VM leaves a claim of the cell to better candidates, or -1.
func (n *Control) position(c cell.ID) clock.Millis {
	if n.shutdown || n.desired == nil {
		return -1
	}
	place := slices.IndexFunc(cell.Candidates(c, n.vms), func(v cell.VM) bool {
		return v.Incarnation == n.config.Self.Incarnation
	})
	if place < 0 {
		return -1
	}
	pause := clock.Millis(place) * succession.ClaimPause
	if n.config.Self.DataCentre != c.DataCentre() {
		pause += succession.AwayPause
	}
	return pause
}

func (n *Control) beat(c cell.ID, first bool) BeatRequest {
	waiting, last := n.front.Waiting(c)
	b := BeatRequest{
		Cell: c, From: n.config.Self, Waiting: waiting, LastSeq: last,
		Revision: n.views[c].Lineup().Revision, Leaving: n.shutdown,
	}
	if n.desired != nil {
		b.Desired = n.desired.Version
	}
	if !first {
		_, _, b.Sent, _ = n.views[c].Home(n.now)
	}
	for _, o := range n.cells {
		if n.homes[o] != nil {
			b.Loads = append(b.Loads, n.loads[o])
		}
	}
	return b
}

// peerBeat answers a beat of another VM.
func (n *Control) peerBeat(e PeerBeat) {
	b := e.Beat
	n.heard[b.From.Incarnation] = n.now
	if b.Leaving {
		delete(n.heard, b.From.Incarnation)
	}
	v := n.views[b.Cell]
	reply := BeatReply{From: n.config.Self.Incarnation, Clock: n.now, EndpointsVersion: n.endpointsVersion, Draining: n.shutdown}
	if n.desired != nil {
		reply.Desired = n.desired.Version
	}
	if v != nil {
		if l := v.Lineup(); l.Revision > b.Revision {
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
			n.tell(b.Cell, home.Interest{Entry: b.From.Incarnation, Sent: b.Sent, Waiting: b.Waiting, LastSeq: b.LastSeq})
		}
	}
	if b.Desired > reply.Desired {
		n.fetchDesired(b.From.Member)
	}
	e.Reply <- reply
}

func (n *Control) hearLoad(l cell.Load) {
	l.At = n.now
	n.loads[l.Cell] = l
	for _, c := range n.cells {
		if n.homes[c] != nil && c != l.Cell {
			n.tell(c, home.LoadHeard{Load: l})
		}
	}
}

func (n *Control) beatAnswered(e BeatAnswered) {
	v := n.views[e.Cell]
	if v == nil || n.homes[e.Cell] != nil {
		return
	}
	v.Answered(e.Answer, n.now)
	if !e.Answer.OK {
		n.step(e.Cell)
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
	from := n.memberOf(e.Cell, e.Answer)
	if n.desired == nil || e.Reply.Desired > n.desired.Version {
		n.fetchDesired(from)
	}
	member, _ := n.InLineup()
	if member && e.Reply.EndpointsVersion > n.endpointsVersion && n.now-n.endpointsAt > endpointsStale && n.now-n.fetchedAt > fetchEvery && from.Address != "" {
		n.fetchedAt = n.now
		n.do(FetchEndpoints{From: from})
	}
}

func (n *Control) memberOf(c cell.ID, a succession.Answer) cell.Member {
	l := n.views[c].Lineup()
	if r := l.Rank(a.From); r >= 0 {
		return l.Members[r]
	}
	return cell.Member{}
}

func (n *Control) fetchDesired(from cell.Member) {
	if from.Address == "" || n.now-n.fetchedAt < fetchEvery && n.desired != nil {
		return
	}
	n.fetchedAt = n.now
	n.do(FetchDesired{From: from})
}

// learn takes in a lineup. A home that is not in the first place of a later one has lost its
// cell.
func (n *Control) learn(l cell.Lineup) {
	v := n.views[l.Cell]
	if v == nil || !v.Learn(l, n.now) {
		return
	}
	n.do(Report{What: LineupLearnt, Cell: l.Cell, Lineup: l})
	h := n.homes[l.Cell]
	if h == nil {
		return
	}
	if len(l.Members) > 0 && l.Members[0].Incarnation == n.config.Self.Incarnation {
		h.home.SetToken(l.Token(0))
		v.Became(h.home.Token(), n.now)
		return
	}
	n.lose(l.Cell)
}

// take makes this VM the home of a cell.
func (n *Control) take(c cell.ID, l cell.Lineup, rank int) {
	if n.shutdown || n.homes[c] != nil || !n.reaches(c) {
		return
	}
	token := l.Token(rank)
	n.homes[c] = &hosted{writtenAt: n.now, takenAt: n.now, savedAt: n.now, home: home.New(home.Config{
		Cell: c, Token: token, Times: n.config.Times, FarFactor: n.config.FarFactor,
		State: n.desired, Now: n.now,
	})}
	n.views[c].Became(token, n.now)
	n.do(ReadExperience{Cell: c})
	n.do(Report{What: HomeTaken, Cell: c, Lineup: l, Rank: rank, Token: token})
	for o, load := range n.loads {
		if o != c {
			n.tell(c, home.LoadHeard{Load: load})
		}
	}
	n.tellEndpoints(c)
}

// lose gives up a cell because somebody else is its home.
func (n *Control) lose(c cell.ID) {
	h := n.homes[c]
	if h == nil {
		return
	}
	delete(n.homes, c)
	n.views[c].Lost(n.now)
	n.do(Report{What: HomeLost, Cell: c, Token: h.home.Token()})
	n.carryOut(c, h.home.GiveUp(n.now))
}

// reaches reports whether this VM may be home of a cell of another data centre: a partition
// leaves that to the VMs inside. Where it is not known, some endpoints are tried. Once they
// can be reached, the members have time to answer, since after a partition one of them may
// be home with runs at endpoints that are not listed yet.
func (n *Control) reaches(c cell.ID) bool {
	if c.DataCentre() == n.config.Self.DataCentre {
		return true
	}
	p := n.probes[c]
	if !p.running && n.now-p.endedAt >= probeEvery {
		var some []endpoint.Endpoint
		for _, e := range n.endpoints {
			if e.DataCentre == c.DataCentre() && len(some) < probedEndpoints {
				some = append(some, e)
			}
		}
		p.running = true
		n.probes[c] = p
		n.do(Probe{Cell: c, Endpoints: some})
	}
	return p.reachedSince != 0 && n.now-p.reachedSince >= reachedFor && n.now-p.endedAt <= probeFresh
}

func (n *Control) probeEnded(e ProbeEnded) {
	p := n.probes[e.Cell]
	p.running = false
	switch {
	case !e.Reached:
		p.reachedSince = 0
	case p.reachedSince == 0 || n.now-p.endedAt > probeFresh:
		p.reachedSince = n.now
	}
	p.endedAt = n.now
	n.probes[e.Cell] = p
}

// probe is what is known of the way to the endpoints of another data centre.
type probe struct {
	running bool
	// reachedSince is when a row of successful probes began, or 0.
	reachedSince clock.Millis
	endedAt      clock.Millis
}

const (
	// probeFresh is how long the way to a data centre is believed in.
	probeFresh = clock.Millis(800)
	// probeEvery spaces probes, each of which opens connections.
	probeEvery = clock.Millis(300)
	// reachedFor is how long endpoints must have been reachable: four
	// silent members are asked in turn within 600 ms.
	reachedFor = clock.Millis(900)
	// probedEndpoints is how many endpoints are tried; one that answers is enough, and some
	// may have crashed.
	probedEndpoints = 3
)

// claim tries to become home of a cell that has nobody.
func (n *Control) claim(c cell.ID) {
	if !n.reaches(c) {
		return
	}
	l := n.views[c].Lineup()
	n.do(WriteLineup{Lineup: cell.Lineup{Cell: c, Members: n.members(c)}, Expected: l.Revision})
}

// members are this VM and the VMs that are to stand in for it.
func (n *Control) members(c cell.ID) []cell.Member {
	members := []cell.Member{n.config.Self.Member}
	var away []cell.Member
	for _, v := range cell.Candidates(c, n.vms) {
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

func (n *Control) heardAgo(v cell.VM) clock.Millis {
	at, ok := n.heard[v.Incarnation]
	if !ok {
		return clock.Hour
	}
	return n.now - at
}

// tendLineup writes the lineup again when its successors have changed or this VM has taken
// over from another.
func (n *Control) tendLineup(c cell.ID, h *hosted) {
	l := n.views[c].Lineup()
	spacing := rewriteEvery
	if h.home.Token() != l.Token(0) || len(l.Members) == 1 {
		spacing = settleTime
	}
	if h.writing || h.yielding || n.shutdown || n.now-h.writtenAt < spacing {
		return
	}
	want := n.members(c)
	if slices.Equal(want, l.Members) {
		h.writtenAt = n.now
		return
	}
	h.writing, h.writtenAt = true, n.now
	n.do(WriteLineup{Lineup: cell.Lineup{Cell: c, Members: want}, Expected: l.Revision})
}

// saveExperience writes what a home has learnt to the store, for the home after a restart.
func (n *Control) saveExperience(c cell.ID, h *hosted) {
	if n.now-h.savedAt < saveEvery || n.shutdown {
		return
	}
	h.savedAt = n.now
	n.do(WriteExperience{Cell: c, Experience: h.home.Experience()})
}

// saveEvery spaces writes of what a home has learnt; speeds hardly change.
const saveEvery = 4 * clock.Second

// returnCell hands a cell of another data centre to a VM inside once there is one.
func (n *Control) returnCell(c cell.ID, h *hosted) {
	if c.DataCentre() == n.config.Self.DataCentre || h.yielding || n.shutdown || h.writing || n.now-h.takenAt < returnAfter {
		return
	}
	l := n.views[c].Lineup()
	for _, v := range cell.Candidates(c, n.vms) {
		if v.DataCentre == c.DataCentre() && n.heardAgo(v) <= memberFresh && l.Rank(v.Incarnation) > l.Rank(n.config.Self.Incarnation) {
			h.yielding = true
			n.do(SendYield{To: v.Member, Lineup: l, Endpoints: n.handOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
}

// returnAfter is how long a VM of another data centre keeps a cell at least, so that a cell
// does not go back and forth while a data centre comes back.
const returnAfter = 2 * clock.Second

func (n *Control) lineupWritten(e LineupWritten) {
	c := e.Lineup.Cell
	if h := n.homes[c]; h != nil {
		h.writing, h.writtenAt = false, n.now
	}
	if !e.Written {
		return
	}
	wasHome := n.homes[c] != nil
	n.learn(e.Lineup)
	if !wasHome && n.views[c].Lineup().Revision == e.Lineup.Revision {
		n.take(c, e.Lineup, 0)
	}
}

// beginShutdown hands every cell of this VM to a successor.
func (n *Control) beginShutdown() {
	n.shutdown = true
	for _, c := range n.cells {
		if n.homes[c] != nil {
			n.yield(c)
		}
	}
}

// yield asks the next successor that lives to take a cell over.
func (n *Control) yield(c cell.ID) {
	h := n.homes[c]
	l := n.views[c].Lineup()
	if h.lastAsked == 0 || h.askedUnder != l.Revision {
		h.lastAsked, h.askedUnder = l.Rank(n.config.Self.Incarnation), l.Revision
	}
	for rank, m := range l.Members {
		if at, ok := n.heard[m.Incarnation]; rank > h.lastAsked && ok && n.now-at <= memberFresh {
			h.yielding, h.lastAsked = true, rank
			n.do(SendYield{To: m, Lineup: l, Endpoints: n.handOver(h), EndpointsVersion: n.endpointsVersion})
			return
		}
	}
	n.do(Report{What: HomeYielded, Cell: c, Lineup: l, Rank: -1})
	n.lose(c)
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
		n.endpointsRead(EndpointsRead{Endpoints: e.Endpoints, Version: e.EndpointsVersion})
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
	n.learn(e.Lineup)
	c := e.Lineup.Cell
	v := n.views[c]
	if v == nil || n.shutdown || n.desired == nil {
		e.Done <- false
		return
	}
	l := v.Lineup()
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
	h := n.homes[e.Cell]
	if h == nil {
		return
	}
	h.yielding = false
	switch {
	case e.Taken:
		n.do(Report{What: HomeYielded, Cell: e.Cell, Lineup: n.views[e.Cell].Lineup()})
		n.lose(e.Cell)
	case n.shutdown:
		n.yield(e.Cell)
	default:
		h.takenAt = n.now
	}
}

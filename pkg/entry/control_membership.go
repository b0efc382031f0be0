package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// neighbours is the state that this VM keeps of the other entry VMs.
type neighbours struct {
	membership *vm.Membership
	links      *link.Map
	journal    *journal
	published  PeerSnapshot
	// beats is the state of the heartbeats to each peer.
	beats   map[vm.Incarnation]*beat
	targets []vm.VM
	// targetsOf and targetsTurn are the roster and the rotation that targets was chosen for.
	targetsOf   *vm.Roster
	targetsTurn clock.Millis
	// reached are the other data centres with which this VM has direct contact in both
	// directions.
	reached []datacentre.ID
}

type beat struct {
	at       clock.Millis
	underWay bool
}

func newNeighbours(now clock.Millis, self vm.VM) *neighbours {
	return &neighbours{
		membership: vm.NewMembership(now, self),
		links:      link.NewMap(),
		journal:    newJournal(),
		beats:      make(map[vm.Incarnation]*beat),
	}
}

// setRoster puts a roster of the membership into force.
func (c *Control) setRoster(now clock.Millis, r *vm.Roster) {
	if r == c.roster {
		return
	}
	c.neighbours.journal.update(r)
	c.rosterChanged(now, RosterChanged{Roster: r})
}

// present finds a VM that counts as present for the contract: one that the platform lists,
// or one that is not removed. The roster also holds VMs that are neither, for old ids.
func (c *Control) present(i vm.Incarnation) (vm.VM, bool) {
	v, ok := c.roster.Find(i)
	return v, ok && (v.Listed || v.Status != vm.Removed)
}

// leave marks this VM as shutting down in the membership. Its endpoints get other home VMs;
// tasks still queued here run on borrowed slots.
func (c *Control) leave(now clock.Millis) {
	if m := c.neighbours.membership; c.roster == m.Roster() {
		c.setRoster(now, m.SetLeaving(now))
	}
}

func (c *Control) rowsRead(now clock.Millis, e RowsRead) {
	n := c.neighbours
	c.setRoster(now, n.membership.RecordRows(now, e.Rows))
	for _, r := range n.membership.StaleRows(now) {
		c.do(DeleteRow{Row: r})
	}
}

func (c *Control) heartbeatReceived(now clock.Millis, e HeartbeatReceived) {
	h := e.Heartbeat
	m := c.neighbours.membership
	r := m.RecordHeartbeat(now, h.From)
	c.peerHeard(now, PeerSeen{Incarnation: h.From.Incarnation})
	c.lending.requests.RecordReport(h.From.Incarnation, dispatch.SlotReport{Lendable: h.Idle})
	local := h.From.DataCentre == c.config.DataCentre
	for _, v := range h.Reports {
		// A VM in another data centre may report only its own data centre's VMs, and a VM in
		// this one only those of the others.
		if (v.DataCentre == h.From.DataCentre) != local {
			r = m.RecordReport(now, h.From.Incarnation, v)
		}
	}
	c.setRoster(now, r)
	c.vouched(now, h, local)
	if local {
		c.usageTold(now, h)
	}
	c.dataCentresTold(now, h, local)
	if local && c.drains.Merge(now, h.Drains) {
		c.assignHomes(now)
	}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: HeartbeatReply{Incarnation: c.config.Self}})
}

func (c *Control) vouched(now clock.Millis, h Heartbeat, local bool) {
	n := c.neighbours
	if !local {
		n.links.Get(link.DataCentre{ID: h.From.DataCentre}).RecordHeartbeat(now)
		// A data centre that sends heartbeats but does not answer calls cannot serve as a witness.
		if c.reaches(now, h.From.DataCentre) {
			c.setRoster(now, n.membership.RecordConfirmation(now, h.From.Incarnation, h.From.DataCentre))
		}
		return
	}
	for _, dc := range h.Reaches {
		if dc == c.config.DataCentre {
			continue
		}
		n.links.Get(link.DataCentre{ID: dc}).RecordConfirmation(now)
		c.setRoster(now, n.membership.RecordConfirmation(now, h.From.Incarnation, dc))
	}
}

func (c *Control) heartbeatAnswered(now clock.Millis, e HeartbeatAnswered) {
	n := c.neighbours
	c.heartbeatEnded(e.To)
	if e.Answered != e.To.Incarnation {
		return
	}
	delay := link.Delay(e.RoundTripMicros / 2)
	n.links.Get(link.Peer{Incarnation: e.Answered}).RecordAnswer(now, delay)
	if e.To.DataCentre != c.config.DataCentre {
		n.links.Get(link.DataCentre{ID: e.To.DataCentre}).RecordAnswer(now, delay)
	}
	n.journal.confirmed(e.Answered, e.ReportedUpTo)
	c.setRoster(now, n.membership.RecordAnswer(now, e.Answered))
	c.peerHeard(now, PeerSeen{Incarnation: e.Answered})
}

func (c *Control) heartbeatEnded(to vm.VM) {
	if b, ok := c.neighbours.beats[to.Incarnation]; ok {
		b.underWay = false
	}
}

// passTime applies time-outs of loans, VMs and links, and sends the heartbeats that are due.
func (c *Control) passTime(now clock.Millis) {
	c.passLoans(now)
	n := c.neighbours
	if c.roster != n.membership.Roster() {
		// The roster was set by RosterChanged.
		return
	}
	c.setRoster(now, n.membership.Evaluate(now))
	n.links.CompensatePause(now)
	c.sendHeartbeats(now)
	c.publishPeers(now)
}

// publishPeers passes a new snapshot to the traffic goroutines if it differs from the last one.
func (c *Control) publishPeers(now clock.Millis) {
	n := c.neighbours
	links := n.links.Snapshot(now)
	if n.published.Roster == c.roster && links.Equal(n.published.Links) {
		return
	}
	n.published = PeerSnapshot{Roster: c.roster, Links: links}
	c.do(PublishPeers{Peers: n.published})
}

func (c *Control) sendHeartbeats(now clock.Millis) {
	c.watchDataCentres(now)
	var drains []datacentre.DrainReport
	var idle datacentre.Slots
	gathered := false
	for _, to := range c.heartbeatTargets(now) {
		b, ok := c.neighbours.beats[to.Incarnation]
		if !ok {
			b = &beat{at: now - clock.Hour}
			c.neighbours.beats[to.Incarnation] = b
		}
		// At most one heartbeat per peer is in flight, so a hung peer blocks only one goroutine.
		if b.underWay || now-b.at < c.heartbeatInterval(to) {
			continue
		}
		if !gathered {
			drains, idle, gathered = c.drains.Reports(now), c.scheduler.SlotReport().Lendable, true
		}
		b.at, b.underWay = now, true
		c.do(c.heartbeat(now, to, drains, idle))
	}
}

func (c *Control) heartbeatInterval(to vm.VM) clock.Millis {
	switch {
	case to.Status == vm.Removed:
		return probeEvery
	case to.DataCentre != c.config.DataCentre:
		return DataCentreHeartbeatInterval
	default:
		return HeartbeatInterval
	}
}

func (c *Control) heartbeat(now clock.Millis, to vm.VM, drains []datacentre.DrainReport, idle datacentre.Slots) SendHeartbeat {
	n := c.neighbours
	self, _ := c.roster.Find(c.config.Self)
	h := Heartbeat{From: self, RosterVersion: c.roster.Version, Backlog: c.scheduler.Queued(), Idle: idle}
	local := to.DataCentre == c.config.DataCentre
	if local {
		h.Drains = drains
		h.Usage = c.usageDigest(now, to.Incarnation)
	}
	h.DataCentres = c.dataCentreDigest(now, to)
	n.links.Get(link.Peer{Incarnation: to.Incarnation}).RecordCall(now)
	if local {
		h.Reaches = n.reached
	}
	var upTo change
	h.Reports, upTo = n.journal.since(now, to.Incarnation, func(v vm.VM) bool {
		if local {
			return slices.Contains(n.reached, v.DataCentre)
		}
		return v.DataCentre == c.config.DataCentre
	})
	return SendHeartbeat{To: to, Heartbeat: h, reportedUpTo: upTo}
}

// watchDataCentres updates the data centres that this VM reaches. They decide which VMs it
// reports to its peers, so after a change everything is reported again.
func (c *Control) watchDataCentres(now clock.Millis) {
	n := c.neighbours
	var reached []datacentre.ID
	for _, dc := range c.roster.DataCentres() {
		if dc == c.config.DataCentre {
			continue
		}
		// Some VM of this data centre calls it, so silence counts from now on.
		n.links.Get(link.DataCentre{ID: dc}).RecordCall(now)
		if c.reaches(now, dc) {
			reached = append(reached, dc)
		}
	}
	if !slices.Equal(reached, n.reached) {
		n.reached = reached
		n.journal.forget()
	}
}

// reaches reports whether this VM itself has recently received heartbeats from a data centre
// and answers to its own.
func (c *Control) reaches(now clock.Millis, dc datacentre.ID) bool {
	dataCentre, ok := c.neighbours.links.Find(link.DataCentre{ID: dc})
	return ok && dataCentre.Bidirectional(now)
}

// heartbeatTargets recomputes the targets only when the roster or the rotation has changed,
// since choosing them sorts all VMs.
func (c *Control) heartbeatTargets(now clock.Millis) []vm.VM {
	n := c.neighbours
	turn := now / vm.DelegateRotation
	if n.targetsOf == c.roster && n.targetsTurn == turn {
		return n.targets
	}
	n.targetsOf, n.targetsTurn = c.roster, turn
	n.targets = c.roster.HeartbeatTargets(now)
	c.dropIdleLinks()
	c.forgetUsage()
	return n.targets
}

// dropIdleLinks removes the links that are no longer used by heartbeats, since their state
// would never be updated again.
func (c *Control) dropIdleLinks() {
	n := c.neighbours
	for i, b := range n.beats {
		target := slices.ContainsFunc(n.targets, func(v vm.VM) bool { return v.Incarnation == i })
		if target || b.underWay {
			continue
		}
		delete(n.beats, i)
		n.links.Remove(link.Peer{Incarnation: i})
	}
}

package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// neighbours is what the control state holds of the other entry VMs.
type neighbours struct {
	membership *vm.Membership
	links      *link.Map
	journal    *journal
	published  PeerSnapshot
	// beats are the heartbeats last sent to each peer.
	beats   map[vm.Incarnation]*beat
	targets []vm.VM
	// targetsOf and targetsTurn tell what the targets were chosen for.
	targetsOf   *vm.Roster
	targetsTurn clock.Millis
	// reached are the other data centres that answer this VM itself.
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

// setRoster puts a roster of the membership in force.
func (c *Control) setRoster(now clock.Millis, r *vm.Roster) {
	if r == c.roster {
		return
	}
	c.neighbours.journal.update(r)
	c.rosterChanged(now, RosterChanged{Roster: r})
}

// present finds a VM that counts for the contract: one with a row at the platform, or
// one alive without. The roster also knows VMs that are neither, for old ids.
func (c *Control) present(i vm.Incarnation) (vm.VM, bool) {
	v, ok := c.roster.Find(i)
	return v, ok && (v.Listed || v.Status != vm.Removed)
}

// leave tells the others that this VM shuts down. Its endpoints go to other homes; what
// still waits here runs on borrowed slots.
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
		// A VM speaks for its own data centre, or inside it for the others.
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
		// A data centre that calls but does not answer is no use as a witness.
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

// passTime lets silence take effect and sends the heartbeats that are due.
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

// publishPeers hands a new snapshot to the traffic goroutines where it tells anything new.
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
		// One heartbeat at most is under way, so a peer that hangs costs one goroutine.
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

// watchDataCentres notes which data centres this VM reaches. What it tells its peers changes
// with them, so the peers are told again.
func (c *Control) watchDataCentres(now clock.Millis) {
	n := c.neighbours
	var reached []datacentre.ID
	for _, dc := range c.roster.DataCentres() {
		if dc == c.config.DataCentre {
			continue
		}
		// Somebody of this data centre tries it, so silence from now on counts.
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

// reaches reports whether this VM itself lately heard a data centre and was answered by it.
func (c *Control) reaches(now clock.Millis, dc datacentre.ID) bool {
	dataCentre, ok := c.neighbours.links.Find(link.DataCentre{ID: dc})
	return ok && dataCentre.Bidirectional(now)
}

// heartbeatTargets chooses anew only when the roster or the turn has changed, since the
// choice sorts all VMs.
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

// dropIdleLinks forgets the links that no heartbeat tries any more, since nothing would
// show that they work again.
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

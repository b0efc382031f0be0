package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// peerState is the state that this VM keeps of the other entry VMs.
type peerState struct {
	membership *vm.Membership
	links      *link.Map
	changes    *changeLog
	published  PeerSnapshot
	// heartbeats is the state of the heartbeats to each peer.
	heartbeats map[vm.Incarnation]*heartbeatState
	targets    []vm.VM
	// targetsRoster and targetsRotation are the roster and the rotation that targets was
	// chosen for.
	targetsRoster   *vm.Roster
	targetsRotation clock.Millis
	// reached are the other data centres with which this VM has direct contact in both
	// directions.
	reached []datacentre.ID
}

type heartbeatState struct {
	sentAt   clock.Millis
	inFlight bool
}

func newPeerState(now clock.Millis, self vm.VM) *peerState {
	return &peerState{
		membership: vm.NewMembership(now, self),
		links:      link.NewMap(),
		changes:    newChangeLog(),
		heartbeats: make(map[vm.Incarnation]*heartbeatState),
	}
}

// setRoster puts a roster of the membership into force.
func (c *Control) setRoster(now clock.Millis, r *vm.Roster) {
	if r == c.roster {
		return
	}
	c.peers.changes.update(r)
	c.handleRosterChanged(now, RosterChanged{Roster: r})
}

// present finds a VM that counts as present for the contract: one with a row in the platform's
// table, or one that is not removed. The roster also holds VMs that are neither, for old ids.
func (c *Control) present(i vm.Incarnation) (vm.VM, bool) {
	v, ok := c.roster.Find(i)
	return v, ok && (v.HasRow || v.Status != vm.Removed)
}

// announceLeaving marks this VM as shutting down in the membership. Its endpoints get other
// home VMs; tasks still queued here run on borrowed slots.
func (c *Control) announceLeaving(now clock.Millis) {
	if m := c.peers.membership; c.roster == m.Roster() {
		c.setRoster(now, m.SetLeaving(now))
	}
}

func (c *Control) handleRowsRead(now clock.Millis, e RowsRead) {
	p := c.peers
	c.setRoster(now, p.membership.RecordRows(now, e.Rows))
	c.recordTableRead(e)
	for _, r := range p.membership.StaleRows(now) {
		c.emit(DeleteRow{Row: r})
	}
}

// recordTableRead records when the rows were read. A read counts only if the roster contains the
// VMs of all rows: the number of members is limited, and a VM beyond the limit is not absent.
func (c *Control) recordTableRead(e RowsRead) {
	for _, r := range e.Rows {
		if _, ok := c.roster.Find(r.VM.Incarnation); !ok && r.VM.Incarnation.Valid() {
			return
		}
	}
	c.tableReadAt = max(c.tableReadAt, e.RequestedAt)
}

// tableReadSince reports whether the table has been read completely by a read that began at the
// given time or later. A roster set by RosterChanged stands for the table.
func (c *Control) tableReadSince(t clock.Millis) bool {
	return c.roster != c.peers.membership.Roster() || c.tableReadAt >= t
}

func (c *Control) handleHeartbeatReceived(now clock.Millis, e HeartbeatReceived) {
	h := e.Heartbeat
	m := c.peers.membership
	r := m.RecordHeartbeat(now, h.From)
	c.handlePeerSeen(now, PeerSeen{Incarnation: h.From.Incarnation})
	c.loans.planner.RecordReport(h.From.Incarnation, dispatch.SlotReport{Lendable: h.Lendable})
	local := h.From.DataCentre == c.config.DataCentre
	for _, v := range h.Reports {
		// A VM in another data centre may report only its own data centre's VMs, and a VM in
		// this one only those of the others.
		if (v.DataCentre == h.From.DataCentre) != local {
			r = m.RecordReport(now, h.From.Incarnation, v)
		}
	}
	c.setRoster(now, r)
	c.recordConfirmations(now, h, local)
	if local {
		c.recordUsage(now, h)
	}
	c.recordDataCentreUsage(now, h, local)
	if local && c.drains.Merge(now, h.Drains) {
		c.assignSlots(now)
	}
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: HeartbeatReply{Incarnation: c.config.Self}})
}

func (c *Control) recordConfirmations(now clock.Millis, h Heartbeat, local bool) {
	p := c.peers
	if !local {
		p.links.Get(link.DataCentre{ID: h.From.DataCentre}).RecordHeartbeat(now)
		// A data centre that sends heartbeats but does not answer calls cannot serve as a
		// witness.
		if c.reaches(now, h.From.DataCentre) {
			c.setRoster(now, p.membership.RecordConfirmation(now, h.From.Incarnation, h.From.DataCentre))
		}
		return
	}
	for _, dc := range h.Reaches {
		if dc == c.config.DataCentre {
			continue
		}
		p.links.Get(link.DataCentre{ID: dc}).RecordConfirmation(now)
		c.setRoster(now, p.membership.RecordConfirmation(now, h.From.Incarnation, dc))
	}
}

func (c *Control) handleHeartbeatAnswered(now clock.Millis, e HeartbeatAnswered) {
	p := c.peers
	c.endHeartbeat(e.To)
	if e.Answered != e.To.Incarnation {
		return
	}
	delay := link.Delay(e.RoundTripMicros / 2)
	p.links.Get(link.Peer{Incarnation: e.Answered}).RecordAnswer(now, delay)
	if e.To.DataCentre != c.config.DataCentre {
		p.links.Get(link.DataCentre{ID: e.To.DataCentre}).RecordAnswer(now, delay)
	}
	p.changes.confirm(e.Answered, e.ReportedUpTo)
	c.setRoster(now, p.membership.RecordAnswer(now, e.Answered))
	c.handlePeerSeen(now, PeerSeen{Incarnation: e.Answered})
}

func (c *Control) endHeartbeat(to vm.VM) {
	if state, ok := c.peers.heartbeats[to.Incarnation]; ok {
		state.inFlight = false
	}
}

// advanceTime applies time-outs of loans, VMs and links, and sends the heartbeats that are due.
func (c *Control) advanceTime(now clock.Millis) {
	c.updateLoans(now)
	p := c.peers
	if c.roster != p.membership.Roster() {
		// The roster was set by RosterChanged.
		return
	}
	c.setRoster(now, p.membership.Evaluate(now))
	p.links.CompensatePause(now)
	c.sendHeartbeats(now)
	c.publishPeers(now)
}

// publishPeers passes a new snapshot to the traffic goroutines if it differs from the last one.
func (c *Control) publishPeers(now clock.Millis) {
	p := c.peers
	links := p.links.Snapshot(now)
	if p.published.Roster == c.roster && links.Equal(p.published.Links) {
		return
	}
	p.published = PeerSnapshot{Roster: c.roster, Links: links}
	c.emit(PublishPeers{Peers: p.published})
}

func (c *Control) sendHeartbeats(now clock.Millis) {
	c.updateReachedDataCentres(now)
	var drains []datacentre.DrainReport
	var lendable datacentre.Slots
	gathered := false
	for _, to := range c.heartbeatTargets(now) {
		state, ok := c.peers.heartbeats[to.Incarnation]
		if !ok {
			state = &heartbeatState{sentAt: now - clock.Hour}
			c.peers.heartbeats[to.Incarnation] = state
		}
		// At most one heartbeat per peer is in flight, so a hung peer blocks only one goroutine.
		if state.inFlight || now-state.sentAt < c.heartbeatInterval(to) {
			continue
		}
		if !gathered {
			drains, lendable, gathered = c.drains.Reports(now), c.scheduler.SlotReport().Lendable, true
		}
		state.sentAt, state.inFlight = now, true
		c.emit(c.heartbeat(now, to, drains, lendable))
	}
}

func (c *Control) heartbeatInterval(to vm.VM) clock.Millis {
	switch {
	case to.Status == vm.Removed:
		return probeInterval
	case to.DataCentre != c.config.DataCentre:
		return DataCentreHeartbeatInterval
	default:
		return HeartbeatInterval
	}
}

func (c *Control) heartbeat(now clock.Millis, to vm.VM, drains []datacentre.DrainReport, lendable datacentre.Slots) SendHeartbeat {
	p := c.peers
	self, _ := c.roster.Find(c.config.Self)
	h := Heartbeat{From: self, RosterVersion: c.roster.Version, Backlog: c.scheduler.Queued(), Lendable: lendable}
	local := to.DataCentre == c.config.DataCentre
	if local {
		h.Drains = drains
		h.Usage = c.usageDigest(now, to.Incarnation)
	}
	h.DataCentres = c.dataCentreDigest(now, to)
	p.links.Get(link.Peer{Incarnation: to.Incarnation}).RecordCall(now)
	if local {
		h.Reaches = p.reached
	}
	var upTo changeNumber
	h.Reports, upTo = p.changes.since(now, to.Incarnation, func(v vm.VM) bool {
		if local {
			return slices.Contains(p.reached, v.DataCentre)
		}
		return v.DataCentre == c.config.DataCentre
	})
	return SendHeartbeat{To: to, Heartbeat: h, reportedUpTo: upTo}
}

// updateReachedDataCentres updates the data centres that this VM reaches. They decide which
// VMs it reports to its peers, so after a change everything is reported again.
func (c *Control) updateReachedDataCentres(now clock.Millis) {
	p := c.peers
	var reached []datacentre.ID
	for _, dc := range c.roster.DataCentres() {
		if dc == c.config.DataCentre {
			continue
		}
		// Some VM of this data centre calls it, so missing answers count from now on.
		p.links.Get(link.DataCentre{ID: dc}).RecordCall(now)
		if c.reaches(now, dc) {
			reached = append(reached, dc)
		}
	}
	if !slices.Equal(reached, p.reached) {
		p.reached = reached
		p.changes.reset()
	}
}

// reaches reports whether this VM itself has recently received heartbeats from a data centre
// and answers to its own.
func (c *Control) reaches(now clock.Millis, dc datacentre.ID) bool {
	dcLink, ok := c.peers.links.Find(link.DataCentre{ID: dc})
	return ok && dcLink.Bidirectional(now)
}

// heartbeatTargets recomputes the targets only when the roster or the rotation has changed,
// since choosing them sorts all VMs.
func (c *Control) heartbeatTargets(now clock.Millis) []vm.VM {
	p := c.peers
	rotation := now / vm.DelegateRotation
	if p.targetsRoster == c.roster && p.targetsRotation == rotation {
		return p.targets
	}
	p.targetsRoster, p.targetsRotation = c.roster, rotation
	p.targets = c.roster.HeartbeatTargets(now)
	c.dropIdleLinks()
	c.pruneUsage()
	return p.targets
}

// dropIdleLinks removes the links that are no longer used by heartbeats, since their state
// would never be updated again.
func (c *Control) dropIdleLinks() {
	p := c.peers
	for i, state := range p.heartbeats {
		target := slices.ContainsFunc(p.targets, func(v vm.VM) bool { return v.Incarnation == i })
		if target || state.inFlight {
			continue
		}
		delete(p.heartbeats, i)
		p.links.Remove(link.Peer{Incarnation: i})
	}
}

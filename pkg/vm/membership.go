package vm

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// SuspectAfter is the silence after which a VM is suspected.
	SuspectAfter = clock.Second
	// RemoveAfter is the silence after which a VM is no longer a home or a witness.
	RemoveAfter = 3 * clock.Second
	// RowRefreshInterval is how often a VM rewrites its row: 352 VMs (22 data centres of 16)
	// make 18 writes a second of the several hundred that the platform sustains.
	RowRefreshInterval = 20 * clock.Second
	// rowStaleAfter allows three lost refreshes.
	rowStaleAfter = 4 * RowRefreshInterval
	// cleanUpSpread spreads the deletion of one row over the VMs that see it.
	cleanUpSpread = clock.Minute
	// cleanUpEvery bounds the deletions by one VM.
	cleanUpEvery = 5 * clock.Second
	// rowReadGap is a gap between reads of the table that is taken for an outage, in
	// which nobody could refresh a row.
	rowReadGap = 5 * clock.Second
	// forgetAfter is longer than the 15 min for which ids are remembered.
	forgetAfter = 16 * clock.Minute
	// maxMembers bounds the memory for incarnations: 352 VMs and 1,000 restarts a day
	// leave under 400 known at a time.
	maxMembers = 4096
)

// RowRevision counts the changes of a VM's row at the platform.
type RowRevision uint64

// Row is what the platform's table says of one incarnation.
type Row struct {
	VM       VM
	Revision RowRevision
}

// ListEntry is what the platform's lagging list says of a VM.
type ListEntry struct {
	VM      ID
	Leaving bool
}

// Membership decides which entry VMs are alive, from rows of the platform's table, the
// platform's list and heartbeats. It does no I/O and takes the time as an argument.
type Membership struct {
	self     VM
	members  map[Incarnation]*member
	roster   *Roster
	passedAt clock.Millis
	rowsAt   clock.Millis
	cleanAt  clock.Millis
}

type member struct {
	vm VM
	// listedLeaving keeps the platform's word apart from the VM's own.
	listedLeaving bool
	revision      RowRevision
	knownAt       clock.Millis
	refreshedAt   clock.Millis
	// heardAt is when a heartbeat of the VM arrived, answeredAt when it answered one.
	heardAt    clock.Millis
	answeredAt clock.Millis
	// replaced says that a later incarnation has taken the name or the address.
	replaced bool
	// vouchers are the delegates that count the VM among those they hear.
	vouchers map[Incarnation]struct{}
	// shown is the VM as the roster in force tells it.
	shown VM
}

// never is a time before any other.
const never clock.Millis = -1 << 60

// NewMembership returns a membership that knows only its own VM.
func NewMembership(now clock.Millis, self VM) *Membership {
	m := &Membership{self: self, members: make(map[Incarnation]*member), passedAt: now, rowsAt: never, cleanAt: never}
	m.members[self.Incarnation] = &member{vm: self, knownAt: now, refreshedAt: now}
	m.publish(now)
	return m
}

// Roster returns the roster in force.
func (m *Membership) Roster() *Roster {
	return m.roster
}

// SetLeaving says that this VM shuts down.
func (m *Membership) SetLeaving(now clock.Millis) *Roster {
	m.self.Leaving = true
	m.members[m.self.Incarnation].vm.Leaving = true
	return m.publish(now)
}

// RecordRows takes over the rows of the platform's table. A row that has gone leaves its VM
// known: it may be alive though unlisted.
func (m *Membership) RecordRows(now clock.Millis, rows []Row) *Roster {
	m.pass(now)
	outage := m.rowsAt != never && now-m.rowsAt > rowReadGap
	m.rowsAt = now
	for _, e := range m.members {
		e.vm.Listed = false
		if outage {
			e.refreshedAt = now
		}
	}
	for _, r := range rows {
		e := m.know(now, r.VM)
		if e == nil {
			continue
		}
		e.vm.Listed = true
		if e.revision != r.Revision {
			e.revision, e.refreshedAt = r.Revision, now
			e.vm.Leaving = e.vm.Leaving || r.VM.Leaving
		}
	}
	return m.publish(now)
}

// RecordList takes over the platform's list, which lags: it can only tell that a VM is
// leaving, and a VM it omits or still lists is judged by its heartbeats.
func (m *Membership) RecordList(now clock.Millis, listings []ListEntry) *Roster {
	m.pass(now)
	leaving := make(map[ID]bool, len(listings))
	for _, l := range listings {
		leaving[l.VM] = l.Leaving
	}
	for _, e := range m.members {
		e.listedLeaving = leaving[e.vm.Incarnation.VM()]
	}
	return m.publish(now)
}

// RecordHeartbeat takes over a heartbeat that arrived.
func (m *Membership) RecordHeartbeat(now clock.Millis, v VM) *Roster {
	m.pass(now)
	e := m.know(now, v)
	if e == nil || v.Incarnation == m.self.Incarnation {
		return m.roster
	}
	e.heardAt = now
	e.vm.Leaving, e.vm.PeerAddress, e.vm.Size = v.Leaving, v.PeerAddress, v.Size
	if e.replaced {
		m.settleSuccession(now, e)
	}
	return m.publishIfChanged(now, e)
}

// RecordAnswer notes that a VM answered a heartbeat of this VM.
func (m *Membership) RecordAnswer(now clock.Millis, i Incarnation) *Roster {
	m.pass(now)
	e, ok := m.members[i]
	if !ok {
		return m.roster
	}
	e.answeredAt = now
	return m.publishIfChanged(now, e)
}

// RecordReport takes over a delegate's word on a VM. A delegate that no longer hears the VM
// only withdraws its own word: another may hear it, and otherwise silence takes effect.
func (m *Membership) RecordReport(now clock.Millis, from Incarnation, v VM) *Roster {
	m.pass(now)
	e := m.know(now, v)
	if e == nil || v.Incarnation == m.self.Incarnation {
		return m.roster
	}
	e.vm.Leaving = v.Leaving
	if v.Status != Alive {
		delete(e.vouchers, from)
		return m.publishIfChanged(now, e)
	}
	if e.vouchers == nil {
		e.vouchers = make(map[Incarnation]struct{})
	}
	e.vouchers[from] = struct{}{}
	e.heardAt, e.answeredAt = now, now
	return m.publishIfChanged(now, e)
}

// RecordConfirmation takes over a delegate's word that it still hears all VMs of a data centre that
// it reported alive.
func (m *Membership) RecordConfirmation(now clock.Millis, from Incarnation, dc datacentre.ID) *Roster {
	m.pass(now)
	for _, e := range m.members {
		if _, ok := e.vouchers[from]; ok && e.vm.DataCentre == dc {
			e.heardAt, e.answeredAt = now, now
		}
	}
	return m.Evaluate(now)
}

// Evaluate lets silence take effect.
func (m *Membership) Evaluate(now clock.Millis) *Roster {
	m.pass(now)
	changed := false
	for i, e := range m.members {
		if i != m.self.Incarnation && !e.vm.Listed && now-max(e.heardAt, e.knownAt, e.refreshedAt) > forgetAfter {
			m.forget(i)
			changed = true
		}
		changed = changed || m.view(now, e) != e.shown
	}
	if !changed {
		return m.roster
	}
	return m.publish(now)
}

func (m *Membership) forget(i Incarnation) {
	delete(m.members, i)
	for _, e := range m.members {
		delete(e.vouchers, i)
	}
}

// pass notices that this VM was paused. The silence of the others over a pause is not
// held against them, since their heartbeats could not be handled.
func (m *Membership) pass(now clock.Millis) {
	pause := now - m.passedAt
	m.passedAt = now
	if pause <= SuspectAfter {
		return
	}
	for _, e := range m.members {
		e.excuse(pause)
	}
}

// StaleRows returns the rows to delete at the platform now, at most one: those of
// incarnations that are silent and have not refreshed them. Each VM waits for a span of
// its own, so that usually one of them deletes the row. Fencing rows are not concerned.
func (m *Membership) StaleRows(now clock.Millis) []Row {
	if now < m.cleanAt || m.rowsAt != now {
		return nil
	}
	for _, v := range m.roster.VMs() {
		e := m.members[v.Incarnation]
		spread := clock.Millis(xxhash.Sum64String(string(m.self.Incarnation)+"/"+string(v.Incarnation)) % uint64(cleanUpSpread))
		if !v.Listed || v.Status != Removed || now-e.refreshedAt < rowStaleAfter+spread {
			continue
		}
		m.cleanAt = now + cleanUpEvery
		return []Row{{VM: v, Revision: e.revision}}
	}
	return nil
}

// know returns the member of a VM, or nil where there is no room for it.
func (m *Membership) know(now clock.Millis, v VM) *member {
	if e, ok := m.members[v.Incarnation]; ok {
		return e
	}
	if len(m.members) >= maxMembers || !v.Incarnation.Valid() {
		return nil
	}
	v.Listed = false
	e := &member{vm: v, knownAt: now, refreshedAt: now, heardAt: never, answeredAt: never}
	m.members[v.Incarnation] = e
	m.settleSuccession(now, e)
	return e
}

// view returns a VM as a roster of this moment tells it.
func (m *Membership) view(now clock.Millis, e *member) VM {
	v := e.vm
	v.Status = m.status(now, e)
	v.Leaving = v.Leaving || e.listedLeaving
	return v
}

func (m *Membership) publishIfChanged(now clock.Millis, e *member) *Roster {
	if m.view(now, e) == e.shown {
		return m.roster
	}
	return m.publish(now)
}

// publish makes a new roster where anything that a roster tells has changed.
func (m *Membership) publish(now clock.Millis) *Roster {
	vms := make([]VM, 0, len(m.members))
	for _, e := range m.members {
		e.shown = m.view(now, e)
		vms = append(vms, e.shown)
	}
	version := RosterVersion(1)
	if m.roster != nil {
		version = m.roster.Version + 1
	}
	next := NewRoster(RosterConfig{Version: version, Self: m.self.Incarnation, VMs: vms})
	if m.roster == nil || !slices.Equal(next.vms, m.roster.vms) {
		m.roster = next
	}
	return m.roster
}

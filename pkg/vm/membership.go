package vm

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// SuspectAfter is the time without contact after which a VM is suspected.
	SuspectAfter = clock.Second
	// RemoveAfter is the time without contact after which a VM is no longer a home VM or a
	// witness.
	RemoveAfter = 3 * clock.Second
	// RowRefreshInterval is how often a VM rewrites its row: 352 VMs (22 data centres of 16)
	// make 18 writes a second of the several hundred that the platform sustains.
	RowRefreshInterval = 20 * clock.Second
	// rowStaleAfter allows three lost refreshes.
	rowStaleAfter = 4 * RowRefreshInterval
	// cleanUpJitter spreads the deletion of one row over the VMs that see it.
	cleanUpJitter = clock.Minute
	// cleanUpInterval bounds the deletions by one VM.
	cleanUpInterval = 5 * clock.Second
	// rowReadGap is the gap between reads of the table that counts as an outage, during which
	// no VM could refresh a row.
	rowReadGap = 5 * clock.Second
	// memberRetention is longer than the 15 min for which ids are retained.
	memberRetention = 16 * clock.Minute
	// maxMembers bounds the memory for incarnations: 352 VMs and 1,000 restarts a day
	// leave under 400 known at a time.
	maxMembers = 4096
)

// RowRevision counts the changes of a VM's row at the platform.
type RowRevision uint64

// Row is the row of one incarnation in the platform's table.
type Row struct {
	VM       VM
	Revision RowRevision
}

// ListEntry is the entry of a VM in the platform's list, which lags behind.
type ListEntry struct {
	VM      ID
	Leaving bool
}

// Membership decides which entry VMs are alive, from rows of the platform's table, the
// platform's list and heartbeats. It does no I/O and takes the time as an argument.
type Membership struct {
	self          VM
	members       map[Incarnation]*member
	roster        *Roster
	updatedAt     clock.Millis
	rowsAt        clock.Millis
	nextCleanUpAt clock.Millis
}

type member struct {
	vm VM
	// listedLeaving means that the platform's list shows the VM as leaving. It is kept apart
	// from the VM's own report.
	listedLeaving bool
	revision      RowRevision
	addedAt       clock.Millis
	refreshedAt   clock.Millis
	// heartbeatAt is when a heartbeat of the VM arrived, answeredAt when it answered one.
	heartbeatAt clock.Millis
	answeredAt  clock.Millis
	// replaced means that a later incarnation has taken the name or the address.
	replaced bool
	// confirmedBy holds the delegates whose latest report on the VM is that it is alive.
	confirmedBy map[Incarnation]struct{}
	// published is the VM as it appears in the current roster.
	published VM
}

// never is a time before any other.
const never clock.Millis = -1 << 60

// NewMembership returns a membership that contains only its own VM.
func NewMembership(now clock.Millis, self VM) *Membership {
	m := &Membership{self: self, members: make(map[Incarnation]*member), updatedAt: now, rowsAt: never, nextCleanUpAt: never}
	m.members[self.Incarnation] = &member{vm: self, addedAt: now, refreshedAt: now}
	m.publish(now)
	return m
}

// Roster returns the current roster.
func (m *Membership) Roster() *Roster {
	return m.roster
}

// SetLeaving marks this VM as shutting down.
func (m *Membership) SetLeaving(now clock.Millis) *Roster {
	m.self.Leaving = true
	m.members[m.self.Incarnation].vm.Leaving = true
	return m.publish(now)
}

// RecordRows applies the rows of the platform's table. A VM whose row was deleted remains a member:
// it may be alive without one.
func (m *Membership) RecordRows(now clock.Millis, rows []Row) *Roster {
	m.compensatePause(now)
	outage := m.rowsAt != never && now-m.rowsAt > rowReadGap
	m.rowsAt = now
	for _, e := range m.members {
		e.vm.HasRow = false
		if outage {
			e.refreshedAt = now
		}
	}
	for _, r := range rows {
		e := m.ensureMember(now, r.VM)
		if e == nil {
			continue
		}
		e.vm.HasRow = true
		if e.revision != r.Revision {
			e.revision, e.refreshedAt = r.Revision, now
			e.vm.Leaving = e.vm.Leaving || r.VM.Leaving
		}
	}
	return m.publish(now)
}

// RecordList applies the platform's list, which lags: only a leaving mark is used, and the
// status of a VM depends on its heartbeats whether it is in the list or not.
func (m *Membership) RecordList(now clock.Millis, entries []ListEntry) *Roster {
	m.compensatePause(now)
	leaving := make(map[ID]bool, len(entries))
	for _, e := range entries {
		leaving[e.VM] = e.Leaving
	}
	for _, e := range m.members {
		e.listedLeaving = leaving[e.vm.Incarnation.VM()]
	}
	return m.publish(now)
}

// RecordHeartbeat records a received heartbeat.
func (m *Membership) RecordHeartbeat(now clock.Millis, v VM) *Roster {
	m.compensatePause(now)
	e := m.ensureMember(now, v)
	if e == nil || v.Incarnation == m.self.Incarnation {
		return m.roster
	}
	e.heartbeatAt = now
	e.vm.Leaving, e.vm.PeerAddress, e.vm.Size = v.Leaving, v.PeerAddress, v.Size
	if e.replaced {
		m.resolveConflicts(now, e)
	}
	return m.publishIfChanged(now, e)
}

// RecordAnswer records that a VM answered a heartbeat of this VM.
func (m *Membership) RecordAnswer(now clock.Millis, i Incarnation) *Roster {
	m.compensatePause(now)
	e, ok := m.members[i]
	if !ok {
		return m.roster
	}
	e.answeredAt = now
	return m.publishIfChanged(now, e)
}

// RecordReport records a delegate's report on a VM. A delegate that no longer receives the VM's
// heartbeats only withdraws its own confirmation: another may receive them, and otherwise the
// time-outs apply.
func (m *Membership) RecordReport(now clock.Millis, from Incarnation, v VM) *Roster {
	m.compensatePause(now)
	e := m.ensureMember(now, v)
	if e == nil || v.Incarnation == m.self.Incarnation {
		return m.roster
	}
	e.vm.Leaving = v.Leaving
	if v.Status != Alive {
		delete(e.confirmedBy, from)
		return m.publishIfChanged(now, e)
	}
	if e.confirmedBy == nil {
		e.confirmedBy = make(map[Incarnation]struct{})
	}
	e.confirmedBy[from] = struct{}{}
	e.heartbeatAt, e.answeredAt = now, now
	return m.publishIfChanged(now, e)
}

// RecordConfirmation records that a delegate still receives heartbeats of all VMs of a data
// centre that it reported alive.
func (m *Membership) RecordConfirmation(now clock.Millis, from Incarnation, dc datacentre.ID) *Roster {
	m.compensatePause(now)
	for _, e := range m.members {
		if _, ok := e.confirmedBy[from]; ok && e.vm.DataCentre == dc {
			e.heartbeatAt, e.answeredAt = now, now
		}
	}
	return m.Evaluate(now)
}

// Evaluate applies the time-outs of unresponsive VMs.
func (m *Membership) Evaluate(now clock.Millis) *Roster {
	m.compensatePause(now)
	changed := false
	for i, e := range m.members {
		if i != m.self.Incarnation && !e.vm.HasRow && now-max(e.heartbeatAt, e.addedAt, e.refreshedAt) > memberRetention {
			m.remove(i)
			changed = true
		}
		changed = changed || m.currentState(now, e) != e.published
	}
	if !changed {
		return m.roster
	}
	return m.publish(now)
}

func (m *Membership) remove(i Incarnation) {
	delete(m.members, i)
	for _, e := range m.members {
		delete(e.confirmedBy, i)
	}
}

// compensatePause detects a pause of this VM and extends the time-outs of the others by it,
// since their heartbeats could not be handled meanwhile.
func (m *Membership) compensatePause(now clock.Millis) {
	pause := now - m.updatedAt
	m.updatedAt = now
	if pause <= SuspectAfter {
		return
	}
	for _, e := range m.members {
		e.shiftTimes(pause)
	}
}

// StaleRows returns the rows to delete at the platform now, at most one: those of
// incarnations that are unresponsive and have not refreshed them. Each VM waits for a different
// time, so that usually one of them deletes the row. Fencing rows are not deleted.
func (m *Membership) StaleRows(now clock.Millis) []Row {
	if now < m.nextCleanUpAt || m.rowsAt != now {
		return nil
	}
	for _, v := range m.roster.VMs() {
		e := m.members[v.Incarnation]
		jitter := clock.Millis(xxhash.Sum64String(string(m.self.Incarnation)+"/"+string(v.Incarnation)) % uint64(cleanUpJitter))
		if !v.HasRow || v.Status != Removed || now-e.refreshedAt < rowStaleAfter+jitter {
			continue
		}
		m.nextCleanUpAt = now + cleanUpInterval
		return []Row{{VM: v, Revision: e.revision}}
	}
	return nil
}

// ensureMember returns the member of a VM and adds it if needed. It returns nil if the VM is
// unknown and the limit of members is reached or its incarnation is malformed.
func (m *Membership) ensureMember(now clock.Millis, v VM) *member {
	if e, ok := m.members[v.Incarnation]; ok {
		return e
	}
	if len(m.members) >= maxMembers || !v.Incarnation.Valid() {
		return nil
	}
	v.HasRow = false
	e := &member{vm: v, addedAt: now, refreshedAt: now, heartbeatAt: never, answeredAt: never}
	m.members[v.Incarnation] = e
	m.resolveConflicts(now, e)
	return e
}

// currentState returns a VM as a roster made now would contain it.
func (m *Membership) currentState(now clock.Millis, e *member) VM {
	v := e.vm
	v.Status = m.status(now, e)
	v.Leaving = v.Leaving || e.listedLeaving
	return v
}

func (m *Membership) publishIfChanged(now clock.Millis, e *member) *Roster {
	if m.currentState(now, e) == e.published {
		return m.roster
	}
	return m.publish(now)
}

// publish makes a new roster if its contents have changed.
func (m *Membership) publish(now clock.Millis) *Roster {
	vms := make([]VM, 0, len(m.members))
	for _, e := range m.members {
		e.published = m.currentState(now, e)
		vms = append(vms, e.published)
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

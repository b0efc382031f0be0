// Package failover determines the leader of a shard from the point of view of one VM: which
// member leads, when a successor takes over, and when a VM claims a shard without a leader.
package failover

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Bounds on how long a VM waits for others.
const (
	// HeartbeatInterval is the interval of heartbeats to a leader. Three of them fit into the
	// 350 ms after which a leader abandons the jobs of an unresponsive entry VM.
	HeartbeatInterval = clock.Millis(100)
	// IdleHeartbeatInterval is the interval while the VM has neither jobs at the leader nor a part in its
	// succession. Two of them fit into the 600 ms after which a VM is no candidate for a replica set.
	IdleHeartbeatInterval = clock.Millis(250)
	// HeartbeatTimeout bounds a heartbeat; a round trip takes a few milliseconds, and a VM that
	// is slowed down by a factor of five still answers in time.
	HeartbeatTimeout = clock.Millis(120)
	// heartbeatRetryDelay is the pause after a failed heartbeat.
	heartbeatRetryDelay = clock.Millis(30)
	// failureThreshold is the number of consecutive failed heartbeats after which a member counts
	// as unresponsive; a refused connection counts twice. While the whole replica set is
	// unresponsive, one failure suffices to move on to the next member.
	failureThreshold = 3
	// RemoteClaimDelay is how much longer VMs of other data centres wait before a claim. A leader
	// in the data centre of the endpoints keeps them through a partition.
	RemoteClaimDelay = clock.Millis(700)
	// ClaimDelay is how much longer each next candidate waits before it claims a shard.
	ClaimDelay = clock.Millis(60)
	// claimRetryDelay is the pause after a claim that did not succeed.
	claimRetryDelay = clock.Millis(300)
	// leaderAnswerMaxAge is how much longer than a heartbeat interval after its last answer a leader is
	// still considered reachable.
	leaderAnswerMaxAge = clock.Millis(300)
)

// Monitor tracks the leader of a shard at one VM. It belongs to the control goroutine.
type Monitor struct {
	self       vm.Incarnation
	replicaSet shard.ReplicaSet
	// polledRank is the rank of the member that currently receives heartbeats.
	polledRank int
	failures   int
	// unresponsive says that no member of the replica set has answered since unresponsiveSince:
	// since the set was received, all members failed or this VM lost its leadership.
	unresponsive      bool
	unresponsiveSince clock.Millis
	// failedRounds counts how often all members have failed to answer since
	// unresponsiveSince.
	failedRounds     int
	claimedAt        clock.Millis
	heartbeatPending bool
	heartbeatSentAt  clock.Millis
	// interval is that of the latest heartbeat to the next one.
	interval clock.Millis

	// leaderToken is the highest token that a leader has reported, or that of this VM while it
	// leads.
	leaderToken      shard.Token
	leaderAnsweredAt clock.Millis
	leaderConfirmed  bool
	leaderClock      clock.Millis
	leaderClockAt    clock.Millis
	// orphansEndBy is the bound of the latest answer of a leader, by this VM's clock.
	orphansEndBy clock.Millis
	// listedSince is what the leader said last of its list of endpoints, by this VM's clock.
	listedSince  clock.Millis
	heartbeatDue bool
	// lostRevision is the revision of the replica set under which this VM lost its leadership.
	lostRevision int64
}

// NewMonitor returns a monitor of a shard whose replica set has not been received yet.
func NewMonitor(self vm.Incarnation, id shard.ID, now clock.Millis) *Monitor {
	return &Monitor{self: self, replicaSet: shard.ReplicaSet{Cell: id}, unresponsive: true, unresponsiveSince: now, interval: HeartbeatInterval}
}

// ReplicaSet returns the latest replica set received.
func (m *Monitor) ReplicaSet() shard.ReplicaSet { return m.replicaSet }

// Step is an action that is due. It is one of the types below.
type Step interface{ step() }

// Heartbeat asks a member whether it is the leader.
type Heartbeat struct {
	To shard.Member
	// First says that the member has not answered as leader yet, so that there is no reading of its
	// clock.
	First bool
}

// TakeOver makes this VM the leader under its rank in the replica set.
type TakeOver struct{ Rank int }

// Claim writes a replica set with this VM as leader.
type Claim struct{}

func (Heartbeat) step() {}
func (TakeOver) step()  {}
func (Claim) step()     {}

// Update applies a replica set from the store or from a peer. It reports whether it is newer
// than the one before.
func (m *Monitor) Update(set shard.ReplicaSet, now clock.Millis) bool {
	if set.Revision <= m.replicaSet.Revision {
		return false
	}
	sameLeader := len(set.Members) > 0 && m.leaderConfirmed && m.polledRank < len(m.replicaSet.Members) &&
		set.Members[0].Incarnation == m.replicaSet.Members[m.polledRank].Incarnation
	// A replica set that replaces another has just been written by its first member, which may
	// not accept connections from all VMs yet. The first one received may be old.
	newlyWritten := m.replicaSet.Revision > 0
	m.replicaSet = set
	m.polledRank, m.failures = 0, 0
	if !sameLeader {
		m.leaderConfirmed = false
		m.unresponsive, m.unresponsiveSince, m.failedRounds = !newlyWritten, now, 0
		m.heartbeatPending = false
	}
	m.heartbeatSentAt = 0
	return true
}

// ExpediteHeartbeat makes the next heartbeat due at once.
func (m *Monitor) ExpediteHeartbeat() { m.heartbeatDue = true }

// Environment gives a monitor access to the rest of the VM's state.
type Environment struct {
	// ClaimDelay returns how long this VM leaves a claim to better candidates, or -1 if it must
	// not claim.
	ClaimDelay func() clock.Millis
	// MayLead reports whether this VM may become leader of the shard now.
	MayLead func() bool
	// Idle reports whether the VM neither waits for jobs at the leader of the shard nor may succeed it.
	Idle func() bool
	// Replaced reports whether the process behind a member has been replaced by another.
	Replaced func(m shard.Member) bool
}

// Next returns the step that is due, or nil.
func (m *Monitor) Next(now clock.Millis, env Environment) Step {
	if len(m.replicaSet.Members) == 0 {
		return m.claim(now, env)
	}
	for range m.replicaSet.Members {
		if m.polledRank < len(m.replicaSet.Members) && !m.heartbeatPending && env.Replaced(m.replicaSet.Members[m.polledRank]) {
			m.pollNext(now)
		}
	}
	if m.polledRank >= len(m.replicaSet.Members) {
		// No member has answered: start again from the first, and claim meanwhile.
		m.polledRank, m.failures = 0, 0
		m.failedRounds++
	}
	if m.replicaSet.Members[m.polledRank].Incarnation == m.self {
		if m.replicaSet.Revision != m.lostRevision && env.MayLead() {
			return TakeOver{Rank: m.polledRank}
		}
		// Poll the others again meanwhile: one of them may be leader after all.
		m.pollNext(now)
		return nil
	}
	if m.unresponsive && m.failedRounds > 0 {
		if step := m.claim(now, env); step != nil {
			return step
		}
	}
	if m.heartbeatPending || !m.heartbeatDue && !m.isDue(now, env) {
		return nil
	}
	m.interval = HeartbeatInterval
	m.heartbeatPending, m.heartbeatSentAt, m.heartbeatDue = true, now, false
	return Heartbeat{To: m.replicaSet.Members[m.polledRank], First: m.leaderClockAt == 0}
}

// isDue reports whether the next heartbeat is due.
func (m *Monitor) isDue(now clock.Millis, env Environment) bool {
	switch {
	case m.failures > 0:
		return now >= m.heartbeatSentAt+heartbeatRetryDelay
	case now < m.heartbeatSentAt+HeartbeatInterval:
		return false
	case now >= m.heartbeatSentAt+IdleHeartbeatInterval || !m.leaderConfirmed || !env.Idle():
		return true
	}
	m.interval = IdleHeartbeatInterval
	return false
}

// claim returns a claim once a shard has had no leader for long enough. The delay of each
// candidate gives the preferred one time to succeed.
func (m *Monitor) claim(now clock.Millis, env Environment) Step {
	if m.claimedAt != 0 && now < m.claimedAt+claimRetryDelay {
		return nil
	}
	delay := env.ClaimDelay()
	if delay < 0 || now < m.unresponsiveSince+delay {
		return nil
	}
	m.claimedAt = now
	return Claim{}
}

// Answer is the result of a heartbeat: the member's answer or a failed call.
type Answer struct {
	From vm.Incarnation
	// OK says that there was an answer at all.
	OK bool
	// ConnectionRefused says that no process listens at the member's address.
	ConnectionRefused bool
	// Draining says that the member shuts down.
	Draining bool
	// Leader says that the member is leader under the token.
	Leader bool
	Token  shard.Token
	// LeaderClock is the member's clock when it answered.
	LeaderClock clock.Millis
	// SentAt is when the heartbeat was sent, by this VM's clock.
	SentAt clock.Millis
	// OrphansEndIn is how long after the answer the attempts in the shard have to have ended that no job
	// adopts after this leader, or 0 or less if that is unknown.
	OrphansEndIn clock.Millis
	// ListAge is how long ago each endpoint that the leader uses was in the store's list at the earliest,
	// or 0 if that is unknown.
	ListAge clock.Millis
}

// HandleAnswer applies the result of a heartbeat.
func (m *Monitor) HandleAnswer(a Answer, now clock.Millis) {
	if m.polledRank >= len(m.replicaSet.Members) || m.replicaSet.Members[m.polledRank].Incarnation != a.From {
		return
	}
	m.heartbeatPending = false
	if !a.OK {
		m.heartbeatFailed(a.ConnectionRefused, now)
		return
	}
	m.failures = 0
	m.unresponsive = false
	if !a.Leader {
		if a.Draining {
			m.pollNext(now)
			return
		}
		m.handleNotLeader(now)
		return
	}
	m.recordOrphansEnd(a)
	m.leaderConfirmed, m.leaderAnsweredAt, m.leaderToken = true, now, max(m.leaderToken, a.Token)
	m.leaderClock, m.leaderClockAt = a.LeaderClock, now
	m.listedSince = 0
	if a.ListAge > 0 {
		m.listedSince = a.SentAt - a.ListAge
	}
}

// recordOrphansEnd records the bound of a leader. One that has been outranked does not know the
// attempts of the leader that outranks it, so its bound may only be the earlier one.
func (m *Monitor) recordOrphansEnd(a Answer) {
	end := clock.Millis(0)
	if a.OrphansEndIn > 0 {
		end = a.SentAt + a.OrphansEndIn
	}
	if a.Token < m.leaderToken {
		end = min(end, m.orphansEndBy)
	}
	m.orphansEndBy = end
}

// ListedSince returns a time from which on each endpoint that the leader uses was in the store's list,
// by this VM's clock, or 0 if the leader has not said so.
func (m *Monitor) ListedSince() clock.Millis { return m.listedSince }

// OrphansEndBy returns when the attempts in the shard have to have ended that no job adopts, by this
// VM's clock, or 0 if no leader has said so.
func (m *Monitor) OrphansEndBy() clock.Millis { return m.orphansEndBy }

func (m *Monitor) heartbeatFailed(connectionRefused bool, now clock.Millis) {
	m.failures++
	if connectionRefused {
		m.failures++
	}
	if m.failures < failureThreshold && !m.unresponsive {
		return
	}
	m.pollNext(now)
	m.heartbeatSentAt = now - HeartbeatInterval + heartbeatRetryDelay
}

// pollNext moves on to the next member. After the last one the replica set counts as
// unresponsive.
func (m *Monitor) pollNext(now clock.Millis) {
	m.leaderConfirmed, m.leaderClockAt = false, 0
	m.failures, m.heartbeatSentAt = 0, 0
	m.polledRank++
	if m.polledRank >= len(m.replicaSet.Members) && !m.unresponsive {
		m.unresponsive, m.unresponsiveSince, m.failedRounds = true, now, 0
	}
}

// handleNotLeader handles a member that answers but is not leader: it still receives answers from
// its predecessors, so they are polled again.
func (m *Monitor) handleNotLeader(now clock.Millis) {
	m.leaderConfirmed, m.leaderClockAt = false, 0
	if m.polledRank > 0 {
		m.polledRank = 0
		m.heartbeatSentAt = now
		return
	}
	// The first member no longer leads: the new leader will write a new replica set.
	m.pollNext(now)
}

// BecameLeader records that this VM is now leader.
func (m *Monitor) BecameLeader(t shard.Token, now clock.Millis) {
	m.leaderConfirmed, m.leaderToken, m.leaderAnsweredAt, m.unresponsive = true, t, now, false
	if r := m.replicaSet.Rank(m.self); r >= 0 {
		m.polledRank = r
	}
}

// LostLeadership records that this VM is no longer leader.
func (m *Monitor) LostLeadership(now clock.Millis) {
	m.leaderConfirmed, m.leaderClockAt = false, 0
	m.unresponsive, m.unresponsiveSince, m.failedRounds = true, now, 0
	m.polledRank, m.failures, m.heartbeatPending, m.heartbeatSentAt = 0, 0, false, 0
	// The VM that took over outranks this one under the same replica set.
	m.lostRevision = m.replicaSet.Revision
}

// HighestToken returns the highest token under which a VM is known to have led the shard, or 0.
func (m *Monitor) HighestToken() shard.Token { return m.leaderToken }

// IsLeader reports whether this VM is considered the leader.
func (m *Monitor) IsLeader() bool {
	return m.leaderConfirmed && m.polledRank < len(m.replicaSet.Members) && m.replicaSet.Members[m.polledRank].Incarnation == m.self
}

// Leader returns the member that is considered the leader, and a lower bound of its clock now.
func (m *Monitor) Leader(now clock.Millis) (member shard.Member, token shard.Token, leaderClock clock.Millis, ok bool) {
	if !m.leaderConfirmed || m.polledRank >= len(m.replicaSet.Members) {
		return shard.Member{}, 0, 0, false
	}
	member = m.replicaSet.Members[m.polledRank]
	if member.Incarnation == m.self {
		return member, m.leaderToken, now, true
	}
	if now-m.leaderAnsweredAt > m.interval+leaderAnswerMaxAge {
		return shard.Member{}, 0, 0, false
	}
	return member, m.leaderToken, m.leaderClock + now - m.leaderClockAt, true
}

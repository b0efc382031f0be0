// Package failover decides who is the home of a cell: whom a VM believes to be it, when a
// successor takes over, and when a VM claims a cell that has nobody.
package failover

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Times bound how long a VM waits for others.
const (
	// HeartbeatInterval is the interval of beats to a home. Three of them fit into the 350 ms after
	// which a home gives up the jobs of a silent entry VM.
	HeartbeatInterval = clock.Millis(100)
	// HeartbeatTimeout bounds a beat; a round trip takes a few milliseconds, and a VM that is
	// slowed five times still answers within it.
	HeartbeatTimeout = clock.Millis(120)
	// beatAgain is the pause after a beat that failed.
	beatAgain = clock.Millis(30)
	// failuresToDoubt is how many beats in a row fail before a member counts as silent; a
	// refused connection counts twice. While the whole lineup is silent, one is enough to
	// turn to the next member.
	failuresToDoubt = 3
	// RemoteClaimDelay is how much longer VMs of other data centres wait. A home in the data centre
	// keeps its endpoints through a partition.
	RemoteClaimDelay = clock.Millis(700)
	// ClaimDelay is how much longer each next candidate waits before it claims a cell.
	ClaimDelay = clock.Millis(60)
	// claimRetry is the pause after a claim that did not succeed.
	claimRetry = clock.Millis(300)
	// freshHome is how long after its last answer a home is still believed to be there.
	freshHome = clock.Millis(400)
)

// Monitor is what one VM knows of a cell. It belongs to the control goroutine.
type Monitor struct {
	self   vm.Incarnation
	lineup shard.ReplicaSet
	// asked is the rank of the member that is asked at present.
	asked    int
	failures int
	// silent says that no member of the lineup has answered since it was known.
	silent      bool
	silentSince clock.Millis
	// rounds counts how often all members have been asked in vain since then.
	rounds    int
	claimedAt clock.Millis
	beating   bool
	beatAt    clock.Millis

	// homeToken is that of the member that last said it was home.
	homeToken   shard.Token
	homeAt      clock.Millis
	home        bool
	homeClock   clock.Millis
	homeClockAt clock.Millis
	pressed     bool
	// lostUnder is the revision of the lineup under which this VM was home and is not any
	// more.
	lostUnder int64
}

// NewMonitor returns a view of a cell of which nothing is known.
func NewMonitor(self vm.Incarnation, c shard.ID, now clock.Millis) *Monitor {
	return &Monitor{self: self, lineup: shard.ReplicaSet{Cell: c}, silent: true, silentSince: now}
}

// ReplicaSet returns the latest lineup known.
func (v *Monitor) ReplicaSet() shard.ReplicaSet { return v.lineup }

// Step is what a view wants done. It is one of the types below.
type Step interface{ step() }

// Heartbeat asks a member whether it is home.
type Heartbeat struct {
	To shard.Member
	// First says that the member has not answered yet, so that its clock is unknown.
	First bool
}

// TakeOver makes this VM the home under its rank in the lineup.
type TakeOver struct{ Rank int }

// Claim writes a lineup with this VM as home.
type Claim struct{}

func (Heartbeat) step() {}
func (TakeOver) step()  {}
func (Claim) step()     {}

// Update takes in a lineup from the store or from a peer. It reports whether it is newer.
func (v *Monitor) Update(l shard.ReplicaSet, now clock.Millis) bool {
	if l.Revision <= v.lineup.Revision {
		return false
	}
	same := len(l.Members) > 0 && v.home && v.asked < len(v.lineup.Members) &&
		l.Members[0].Incarnation == v.lineup.Members[v.asked].Incarnation
	// A lineup that replaces another has just been written by its first member, which may not
	// have opened its listener to everybody yet. One that is the first known may be old.
	justWritten := v.lineup.Revision > 0
	v.lineup = l
	v.asked, v.failures = 0, 0
	if !same {
		v.home = false
		v.silent, v.silentSince, v.rounds = !justWritten, now, 0
		v.beating = false
	}
	v.beatAt = 0
	return true
}

// ExpediteHeartbeat makes the next beat go out at once.
func (v *Monitor) ExpediteHeartbeat() { v.pressed = true }

// Environment is what a view has to be told of the rest of the VM's state.
type Environment struct {
	// ClaimDelay tells how long this VM leaves a claim to those who suit better, or -1 if it must
	// not claim.
	ClaimDelay func() clock.Millis
	// MayLead reports whether this VM may become home of the cell now.
	MayLead func() bool
	// Replaced reports whether the process behind a member has been replaced by another.
	Replaced func(m shard.Member) bool
}

// Next returns what is due, or nil.
func (v *Monitor) Next(now clock.Millis, s Environment) Step {
	if len(v.lineup.Members) == 0 {
		return v.claim(now, s)
	}
	for range v.lineup.Members {
		if v.asked < len(v.lineup.Members) && !v.beating && s.Replaced(v.lineup.Members[v.asked]) {
			v.askNext(now)
		}
	}
	if v.asked >= len(v.lineup.Members) {
		// Everybody has been silent: ask again from the start, and claim meanwhile.
		v.asked, v.failures = 0, 0
		v.rounds++
	}
	if v.lineup.Members[v.asked].Incarnation == v.self {
		if v.lineup.Revision != v.lostUnder && s.MayLead() {
			return TakeOver{Rank: v.asked}
		}
		// The others are asked again meanwhile: one of them may be home after all.
		v.askNext(now)
		return nil
	}
	if v.silent && v.rounds > 0 {
		if step := v.claim(now, s); step != nil {
			return step
		}
	}
	due := v.beatAt + HeartbeatInterval
	if v.failures > 0 {
		due = v.beatAt + beatAgain
	}
	if v.beating || now < due && !v.pressed {
		return nil
	}
	v.beating, v.beatAt, v.pressed = true, now, false
	return Heartbeat{To: v.lineup.Members[v.asked], First: v.homeClockAt == 0}
}

// claim is due once a cell has had no home for long enough. The pause of each candidate
// leaves the first one time to succeed.
func (v *Monitor) claim(now clock.Millis, s Environment) Step {
	if v.claimedAt != 0 && now < v.claimedAt+claimRetry {
		return nil
	}
	pause := s.ClaimDelay()
	if pause < 0 || now < v.silentSince+pause {
		return nil
	}
	v.claimedAt = now
	return Claim{}
}

// Answer is what a member answered to a beat.
type Answer struct {
	From vm.Incarnation
	// OK says that there was an answer at all.
	OK bool
	// ConnectionRefused says that nobody listens at the member's address any more.
	ConnectionRefused bool
	// Draining says that the member shuts down.
	Draining bool
	// Leader says that the member is home under the token.
	Leader bool
	Token  shard.Token
	// LeaderClock is the member's clock when it answered.
	LeaderClock clock.Millis
}

// HandleAnswer takes in the answer to a beat.
func (v *Monitor) HandleAnswer(a Answer, now clock.Millis) {
	if v.asked >= len(v.lineup.Members) || v.lineup.Members[v.asked].Incarnation != a.From {
		return
	}
	v.beating = false
	if !a.OK {
		v.failed(a.ConnectionRefused, now)
		return
	}
	v.failures = 0
	v.silent = false
	if !a.Leader {
		if a.Draining {
			v.askNext(now)
			return
		}
		v.notHome(now)
		return
	}
	v.home, v.homeAt, v.homeToken = true, now, max(v.homeToken, a.Token)
	v.homeClock, v.homeClockAt = a.LeaderClock, now
}

func (v *Monitor) failed(gone bool, now clock.Millis) {
	v.failures++
	if gone {
		v.failures++
	}
	if v.failures < failuresToDoubt && !v.silent {
		return
	}
	v.askNext(now)
	v.beatAt = now - HeartbeatInterval + beatAgain
}

// askNext turns to the next member. After the last one the cell counts as silent.
func (v *Monitor) askNext(now clock.Millis) {
	v.home, v.homeClockAt = false, 0
	v.failures, v.beatAt = 0, 0
	v.asked++
	if v.asked >= len(v.lineup.Members) && !v.silent {
		v.silent, v.silentSince, v.rounds = true, now, 0
	}
}

// notHome deals with a member that answers but is not home: it still hears its predecessors,
// so they are asked again.
func (v *Monitor) notHome(now clock.Millis) {
	v.home, v.homeClockAt = false, 0
	if v.asked > 0 {
		v.asked = 0
		v.beatAt = now
		return
	}
	// The first of the lineup is not home any more: whoever is will write a new lineup.
	v.askNext(now)
}

// BecameLeader records that this VM is home.
func (v *Monitor) BecameLeader(t shard.Token, now clock.Millis) {
	v.home, v.homeToken, v.homeAt, v.silent = true, t, now, false
	if r := v.lineup.Rank(v.self); r >= 0 {
		v.asked = r
	}
}

// LostLeadership records that this VM is not home any more.
func (v *Monitor) LostLeadership(now clock.Millis) {
	v.home, v.homeClockAt = false, 0
	v.silent, v.silentSince, v.rounds = true, now, 0
	v.asked, v.failures, v.beating, v.beatAt = 0, 0, false, 0
	// Whoever took over outranks this VM under the same lineup.
	v.lostUnder = v.lineup.Revision
}

// IsLeader reports whether this VM is believed to be home.
func (v *Monitor) IsLeader() bool {
	return v.home && v.asked < len(v.lineup.Members) && v.lineup.Members[v.asked].Incarnation == v.self
}

// Leader returns the member that is believed to be home, and its clock now at the earliest.
func (v *Monitor) Leader(now clock.Millis) (m shard.Member, token shard.Token, clockThere clock.Millis, ok bool) {
	if !v.home || v.asked >= len(v.lineup.Members) {
		return shard.Member{}, 0, 0, false
	}
	m = v.lineup.Members[v.asked]
	if m.Incarnation == v.self {
		return m, v.homeToken, now, true
	}
	if now-v.homeAt > freshHome {
		return shard.Member{}, 0, 0, false
	}
	return m, v.homeToken, v.homeClock + now - v.homeClockAt, true
}

package failover

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const start = clock.Millis(100_000)

func replicaSet(revision int64, members ...string) shard.ReplicaSet {
	set := shard.ReplicaSet{Cell: "centro", Revision: revision}
	for _, m := range members {
		set.Members = append(set.Members, shard.Member{Incarnation: vm.Incarnation(m), Address: m})
	}
	return set
}

// fleet answers the heartbeats of one monitor.
type fleet struct {
	// state is how each member answers: leader, standby, unresponsive, refusing or draining.
	state      map[vm.Incarnation]string
	replaced   map[vm.Incarnation]bool
	mayLead    bool
	idle       bool
	claimDelay clock.Millis
	// pending are answers that have not arrived yet.
	pending []answer
}

type answer struct {
	at clock.Millis
	Answer
}

func (f *fleet) environment() Environment {
	return Environment{
		ClaimDelay: func() clock.Millis { return f.claimDelay },
		MayLead:    func() bool { return f.mayLead },
		Idle:       func() bool { return f.idle },
		Replaced:   func(m shard.Member) bool { return f.replaced[m.Incarnation] },
	}
}

// run runs the monitor until it takes over or claims, or until the time is over. It returns
// what happened and when.
func (f *fleet) run(m *Monitor, from, limit clock.Millis) (string, clock.Millis) {
	for now := from; now < from+limit; now += 10 {
		for len(f.pending) > 0 && f.pending[0].at <= now {
			m.HandleAnswer(f.pending[0].Answer, now)
			f.pending = f.pending[1:]
		}
		switch s := m.Next(now, f.environment()).(type) {
		case TakeOver:
			return fmt.Sprintf("take over at rank %d", s.Rank), now - from
		case Claim:
			return "claim", now - from
		case Heartbeat:
			a := Answer{From: s.To.Incarnation, OK: true, LeaderClock: now}
			took := clock.Millis(2)
			switch f.state[s.To.Incarnation] {
			case "leader":
				a.Leader, a.Token = true, 7
			case "standby":
			case "draining":
				a.Draining = true
			case "refusing":
				a.OK, a.ConnectionRefused = false, true
			default:
				a.OK, took = false, HeartbeatTimeout
			}
			f.pending = append(f.pending, answer{now + took, a})
		}
	}
	if member, _, _, ok := m.Leader(from + limit); ok {
		return "leader is " + string(member.Incarnation), limit
	}
	return "no leader", limit
}

// Guards against shards without a leader, against leaders that are replaced although they
// answer, and against failovers that take longer than jobs can wait.
func TestLeaderIsFoundOrReplaced(t *testing.T) {
	full := replicaSet(5, "a-1", "b-1", "me-1", "d-1")
	cases := map[string]struct {
		fleet      fleet
		replicaSet shard.ReplicaSet
		want       string
		within     clock.Millis
	}{
		"leader answers":                         {fleet{state: states("leader", "standby", "", "standby"), mayLead: true}, full, "leader is a-1", 2000},
		"leader's process is gone":               {fleet{state: states("refusing", "leader", "", "standby"), mayLead: true}, full, "leader is b-1", 2000},
		"leader and first unresponsive":          {fleet{state: states("unresponsive", "unresponsive", "", "standby"), mayLead: true}, full, "take over at rank 2", 1000},
		"first drains":                           {fleet{state: states("refusing", "draining", "", "standby"), mayLead: true}, full, "take over at rank 2", 400},
		"first still reaches the leader":         {fleet{state: states("unresponsive", "standby", "", "standby"), mayLead: true}, full, "no leader", 3000},
		"replaced members":                       {fleet{state: states("unresponsive", "unresponsive", "", ""), replaced: incarnationSet("a-1", "b-1"), mayLead: true}, full, "take over at rank 2", 50},
		"no replica set yet":                     {fleet{claimDelay: 60}, replicaSet(0), "claim", 100},
		"no replica set, must not claim":         {fleet{claimDelay: -1}, replicaSet(0), "no leader", 1000},
		"all others gone":                        {fleet{state: states("refusing", "refusing", "", "refusing")}, replicaSet(5, "a-1", "b-1", "d-1"), "claim", 500},
		"all others unresponsive":                {fleet{state: states("unresponsive", "unresponsive", "", "unresponsive")}, replicaSet(5, "a-1", "b-1", "d-1"), "claim", 1600},
		"may not take over, leader returns":      {fleet{state: states("leader", "unresponsive", "", "unresponsive")}, full, "leader is a-1", 2000},
		"may not take over, others unresponsive": {fleet{state: states("unresponsive", "unresponsive", "", "unresponsive"), claimDelay: -1}, full, "no leader", 3000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewMonitor("me-1", "centro", start)
			m.Update(c.replicaSet, start)
			got, after := c.fleet.run(m, start, c.within+10)
			if got != c.want || after > c.within+10 {
				t.Errorf("got %q after %d ms, want %q within %d ms", got, after, c.want, c.within)
			}
		})
	}
}

func states(a, b, me, d string) map[vm.Incarnation]string {
	return map[vm.Incarnation]string{"a-1": a, "b-1": b, "me-1": me, "d-1": d}
}

func incarnationSet(members ...vm.Incarnation) map[vm.Incarnation]bool {
	all := make(map[vm.Incarnation]bool)
	for _, m := range members {
		all[m] = true
	}
	return all
}

// Guards against a successor outside a partitioned data centre that stops polling while it
// must not take over, and takes the shard from the leader inside once the partition has ended.
func TestSuccessorKeepsPollingWhileItMustNotTakeOver(t *testing.T) {
	m := NewMonitor("me-1", "centro", start)
	m.Update(replicaSet(5, "a-1", "b-1", "me-1"), start)
	f := fleet{state: states("unresponsive", "unresponsive", "", ""), claimDelay: -1}
	f.run(m, start, 3000)
	f.state, f.mayLead = states("leader", "standby", "", ""), false
	f.run(m, start+3000, 900)
	f.mayLead = true
	if got, _ := f.run(m, start+3900, 500); got != "leader is a-1" {
		t.Errorf("got %q, want the leader inside", got)
	}
}

// Guards against a VM that lost its shard under a replica set and takes it back under the same
// one, with a lower token than the present leader.
func TestLostShardIsNotTakenBackUnderTheSameReplicaSet(t *testing.T) {
	m := NewMonitor("me-1", "centro", start)
	m.Update(replicaSet(5, "me-1", "b-1"), start)
	f := fleet{state: states("", "leader", "", ""), mayLead: true, claimDelay: -1}
	if got, _ := f.run(m, start, 100); got != "take over at rank 0" {
		t.Fatalf("got %q, want the first member to take over", got)
	}
	m.BecameLeader(1280, start+100)
	m.LostLeadership(start + 200)
	if got, _ := f.run(m, start+200, 500); got != "leader is b-1" {
		t.Errorf("got %q, want the member that took over", got)
	}
}

// Guards against a successor that takes over from a leader that has just claimed the shard, as
// after a restart of all VMs, because one heartbeat failed.
func TestNewLeaderIsGivenThreeHeartbeats(t *testing.T) {
	m := NewMonitor("me-1", "centro", start)
	f := fleet{state: states("unresponsive", "", "", ""), mayLead: true, claimDelay: -1}
	m.Update(replicaSet(5, "a-0", "b-0"), start)
	f.run(m, start, 50)
	m.Update(replicaSet(6, "a-1", "me-1"), start+50)
	if got, _ := f.run(m, start+50, 2*HeartbeatTimeout); got != "no leader" {
		t.Errorf("after one failed heartbeat: got %q, want no takeover", got)
	}
	if got, _ := f.run(m, start+50+2*HeartbeatTimeout, 500); got != "take over at rank 1" {
		t.Errorf("after three failed heartbeats: got %q, want a takeover", got)
	}
}

// Guards against a delayed message that restores an older replica set.
func TestOlderReplicaSetsAreIgnored(t *testing.T) {
	m := NewMonitor("me-1", "centro", start)
	for _, c := range []struct {
		revision int64
		want     bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		if got := m.Update(replicaSet(c.revision, "a-1"), start); got != c.want {
			t.Errorf("revision %d: got %v, want %v", c.revision, got, c.want)
		}
	}
}

// Guards against heartbeats that cost more bandwidth than the jobs of a VM that has none at the leader,
// and against leases of new jobs that are renewed late.
func TestIdleVMsSendFewerHeartbeats(t *testing.T) {
	for _, tt := range []struct {
		name string
		idle bool
		want int
	}{{"waits for jobs", false, 10}, {"idle", true, 4}} {
		m := NewMonitor("me-1", "centro", start)
		m.Update(replicaSet(5, "a-1"), start)
		f := fleet{state: states("leader", "", "", ""), claimDelay: -1, idle: tt.idle}
		f.run(m, start, 500)
		got := 0
		for now := start + 500; now < start+1500; now += 10 {
			if _, ok := m.Next(now, f.environment()).(Heartbeat); ok {
				got++
				m.HandleAnswer(Answer{From: "a-1", OK: true, Leader: true, Token: 7, LeaderClock: now}, now)
			}
			if _, _, _, ok := m.Leader(now); !ok {
				t.Fatalf("%s: got no leader after %d ms, want it all the time", tt.name, now-start)
			}
		}
		if got != tt.want {
			t.Errorf("%s: got %d heartbeats in a second, want %d", tt.name, got, tt.want)
		}
	}
	m := NewMonitor("me-1", "centro", start)
	m.Update(replicaSet(5, "a-1"), start)
	f := fleet{state: states("leader", "", "", ""), claimDelay: -1, idle: true}
	f.run(m, start, 500)
	last := m.heartbeatSentAt
	f.idle = false
	if _, ok := m.Next(last+HeartbeatInterval, f.environment()).(Heartbeat); !ok {
		t.Errorf("got no heartbeat %d ms after the last one with a new job, want one", HeartbeatInterval)
	}
}

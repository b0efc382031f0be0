package failover

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const start = clock.Millis(100_000)

func lineup(revision int64, members ...string) shard.ReplicaSet {
	l := shard.ReplicaSet{Cell: "centro", Revision: revision}
	for _, m := range members {
		l.Members = append(l.Members, shard.Member{Incarnation: vm.Incarnation(m), Address: m})
	}
	return l
}

// fleet answers the beats of one view.
type fleet struct {
	// state tells how each member answers: home, standby, silent, refusing or draining.
	state    map[vm.Incarnation]string
	replaced map[vm.Incarnation]bool
	mayTake  bool
	pause    clock.Millis
	// under are answers on their way.
	under []answer
}

type answer struct {
	at clock.Millis
	Answer
}

func (f *fleet) surroundings() Environment {
	return Environment{
		ClaimDelay: func() clock.Millis { return f.pause },
		MayLead:    func() bool { return f.mayTake },
		Replaced:   func(m shard.Member) bool { return f.replaced[m.Incarnation] },
	}
}

// run lets the view act until it takes over or claims, or until the time is over. It returns
// what happened and when.
func (f *fleet) run(v *Monitor, from, limit clock.Millis) (string, clock.Millis) {
	for now := from; now < from+limit; now += 10 {
		for len(f.under) > 0 && f.under[0].at <= now {
			v.HandleAnswer(f.under[0].Answer, now)
			f.under = f.under[1:]
		}
		switch s := v.Next(now, f.surroundings()).(type) {
		case TakeOver:
			return fmt.Sprintf("take over at rank %d", s.Rank), now - from
		case Claim:
			return "claim", now - from
		case Heartbeat:
			a := Answer{From: s.To.Incarnation, OK: true, LeaderClock: now}
			took := clock.Millis(2)
			switch f.state[s.To.Incarnation] {
			case "home":
				a.Leader, a.Token = true, 7
			case "standby":
			case "draining":
				a.Draining = true
			case "refusing":
				a.OK, a.ConnectionRefused = false, true
			default:
				a.OK, took = false, HeartbeatTimeout
			}
			f.under = append(f.under, answer{now + took, a})
		}
	}
	if m, _, _, ok := v.Leader(from + limit); ok {
		return "home is " + string(m.Incarnation), limit
	}
	return "no home", limit
}

// Guards against cells without a home, against homes that are replaced although they answer,
// and against take-overs that come later than jobs can wait.
func TestWhoIsHome(t *testing.T) {
	full := lineup(5, "a-1", "b-1", "me-1", "d-1")
	cases := map[string]struct {
		fleet  fleet
		lineup shard.ReplicaSet
		want   string
		within clock.Millis
	}{
		"home answers":                {fleet{state: states("home", "standby", "", "standby"), mayTake: true}, full, "home is a-1", 2000},
		"home's process is gone":      {fleet{state: states("refusing", "home", "", "standby"), mayTake: true}, full, "home is b-1", 2000},
		"home and first silent":       {fleet{state: states("silent", "silent", "", "standby"), mayTake: true}, full, "take over at rank 2", 1000},
		"first drains":                {fleet{state: states("refusing", "draining", "", "standby"), mayTake: true}, full, "take over at rank 2", 400},
		"first still hears the home":  {fleet{state: states("silent", "standby", "", "standby"), mayTake: true}, full, "no home", 3000},
		"replaced members":            {fleet{state: states("silent", "silent", "", ""), replaced: set("a-1", "b-1"), mayTake: true}, full, "take over at rank 2", 50},
		"no lineup yet":               {fleet{pause: 60}, lineup(0), "claim", 100},
		"no lineup, must not claim":   {fleet{pause: -1}, lineup(0), "no home", 1000},
		"all others gone":             {fleet{state: states("refusing", "refusing", "", "refusing")}, lineup(5, "a-1", "b-1", "d-1"), "claim", 500},
		"all others silent":           {fleet{state: states("silent", "silent", "", "silent")}, lineup(5, "a-1", "b-1", "d-1"), "claim", 1600},
		"may not take, home returns":  {fleet{state: states("home", "silent", "", "silent")}, full, "home is a-1", 2000},
		"may not take, others silent": {fleet{state: states("silent", "silent", "", "silent"), pause: -1}, full, "no home", 3000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := NewMonitor("me-1", "centro", start)
			v.Update(c.lineup, start)
			got, after := c.fleet.run(v, start, c.within+10)
			if got != c.want || after > c.within+10 {
				t.Errorf("got %q after %d ms, want %q within %d ms", got, after, c.want, c.within)
			}
		})
	}
}

func states(a, b, me, d string) map[vm.Incarnation]string {
	return map[vm.Incarnation]string{"a-1": a, "b-1": b, "me-1": me, "d-1": d}
}

func set(members ...vm.Incarnation) map[vm.Incarnation]bool {
	all := make(map[vm.Incarnation]bool)
	for _, m := range members {
		all[m] = true
	}
	return all
}

// Guards against a successor outside a partitioned data centre that stops asking while it
// must not take over, and takes the cell from the home inside after the heal.
func TestSuccessorAsksOnWhileItMustNotTakeOver(t *testing.T) {
	v := NewMonitor("me-1", "centro", start)
	v.Update(lineup(5, "a-1", "b-1", "me-1"), start)
	f := fleet{state: states("silent", "silent", "", ""), pause: -1}
	f.run(v, start, 3000)
	f.state, f.mayTake = states("home", "standby", "", ""), false
	f.run(v, start+3000, 900)
	f.mayTake = true
	if got, _ := f.run(v, start+3900, 500); got != "home is a-1" {
		t.Errorf("got %q, want the home inside", got)
	}
}

// Guards against a VM that lost its cell under a lineup and takes it back under the same one,
// with a lower token than the home that has it now.
func TestLostCellIsNotTakenBackUnderTheSameLineup(t *testing.T) {
	v := NewMonitor("me-1", "centro", start)
	v.Update(lineup(5, "me-1", "b-1"), start)
	f := fleet{state: states("", "home", "", ""), mayTake: true, pause: -1}
	if got, _ := f.run(v, start, 100); got != "take over at rank 0" {
		t.Fatalf("got %q, want the first member to take over", got)
	}
	v.BecameLeader(1280, start+100)
	v.LostLeadership(start + 200)
	if got, _ := f.run(v, start+200, 500); got != "home is b-1" {
		t.Errorf("got %q, want the member that took over", got)
	}
}

// Guards against a successor that takes over from a home that has just claimed the cell, as
// after a restart of all VMs, because one beat failed.
func TestNewHomeIsGivenThreeBeats(t *testing.T) {
	v := NewMonitor("me-1", "centro", start)
	f := fleet{state: states("silent", "", "", ""), mayTake: true, pause: -1}
	v.Update(lineup(5, "a-0", "b-0"), start)
	f.run(v, start, 50)
	v.Update(lineup(6, "a-1", "me-1"), start+50)
	if got, _ := f.run(v, start+50, 2*HeartbeatTimeout); got != "no home" {
		t.Errorf("after one failed beat: got %q, want no take-over", got)
	}
	if got, _ := f.run(v, start+50+2*HeartbeatTimeout, 500); got != "take over at rank 1" {
		t.Errorf("after three failed beats: got %q, want a take-over", got)
	}
}

// Guards against a lineup that an old message brings back.
func TestOlderLineupsAreIgnored(t *testing.T) {
	v := NewMonitor("me-1", "centro", start)
	for _, c := range []struct {
		revision int64
		want     bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		if got := v.Update(lineup(c.revision, "a-1"), start); got != c.want {
			t.Errorf("revision %d: got %v, want %v", c.revision, got, c.want)
		}
	}
}

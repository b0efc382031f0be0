package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// centro and norte are the first leaders of the shards.
var (
	centro = Responder{Shard: "centro", VM: "c-1"}
	norte  = Responder{Shard: "norte", VM: "n-1"}
)

// fakeLeaders implements Leaders. A shard without an entry in byShard has no responsive leader.
type fakeLeaders struct {
	preference []shard.ID
	byShard    map[shard.ID]vm.Incarnation
	// listedSince is the answer of ListedSince for each shard.
	listedSince map[shard.ID]clock.Millis
}

func (f *fakeLeaders) Available(clock.Millis) []shard.ID {
	var all []shard.ID
	for _, id := range f.preference {
		if f.byShard[id] != "" {
			all = append(all, id)
		}
	}
	return all
}

func (f *fakeLeaders) Destination(_ job.ID, now clock.Millis) (shard.ID, bool) {
	if all := f.Available(now); len(all) > 0 {
		return all[0], true
	}
	return "", false
}

func (f *fakeLeaders) Leader(id shard.ID, _ clock.Millis) (vm.Incarnation, bool) {
	return f.byShard[id], f.byShard[id] != ""
}

func (f *fakeLeaders) ListedSince(id shard.ID) clock.Millis { return f.listedSince[id] }

func newGateway() (*Gateway, *fakeLeaders) {
	leaders := &fakeLeaders{preference: []shard.ID{"centro", "norte"}, byShard: map[shard.ID]vm.Incarnation{"centro": "c-1", "norte": "n-1"}}
	return New(Config{Self: "me-1", Leaders: leaders, FailoverTimeout: 700}), leaders
}

func jobOf(tasks int) job.Job {
	return job.Job{ID: "0000000000000001", Queue: "swap", Steps: []job.Step{{Tasks: tasks, Estimate: 50}}}
}

// describeActions describes the actions since the last call.
func describeActions(g *Gateway) string {
	var all []string
	for _, a := range g.TakeActions() {
		switch a := a.(type) {
		case Submit:
			s := fmt.Sprintf("submit %d tasks from %d to %s", a.Submission.Job.Tasks(), a.Submission.First, a.To)
			if a.Submission.Adopt {
				s += " adopting"
			}
			all = append(all, s)
		case Reply:
			s := strings.TrimPrefix(fmt.Sprintf("reply %T", a.Outcome), "reply job.")
			if r, ok := a.Outcome.(job.Refused); ok {
				s += " " + string(r.Reason)
			}
			if r, ok := a.Outcome.(job.Stopped); ok {
				s += " " + string(r.Reason)
			}
			all = append(all, s)
		case ReleaseLease:
			all = append(all, "release lease at "+string(a.Shard))
		}
	}
	return strings.Join(all, "; ")
}

// Guards against wrong replies to callers: a refusal although tasks may have run, a success when
// only a part is done, or no reply at all.
func TestOutcomes(t *testing.T) {
	const now = clock.Millis(1000)
	refused := job.Refused{Reason: job.NoCapacityInTime}
	cases := map[string]struct {
		act  func(g *Gateway, leaders *fakeLeaders, k job.Key)
		want string
	}{
		"completed": {func(g *Gateway, _ *fakeLeaders, k job.Key) { g.HandleAnswer(k, centro, job.Completed{}, now) }, "Completed"},
		"failed":    {func(g *Gateway, _ *fakeLeaders, k job.Key) { g.HandleAnswer(k, centro, job.Failed{}, now) }, "Failed"},
		"refused":   {func(g *Gateway, _ *fakeLeaders, k job.Key) { g.HandleAnswer(k, centro, refused, now) }, "Refused noRoomInTime"},
		"redirected": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Redirected{To: "norte"}, now)
		}, "submit 8 tasks from 0 to norte"},
		"not the leader, another shard has one": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Refused{Reason: job.NotLeader}, now)
		}, "submit 8 tasks from 0 to norte"},
		"leader moved": {func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Moved{}, now)
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 40)
		}, "submit 8 tasks from 0 to centro adopting"},
		"leader moved, new one refuses": {func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Moved{}, now)
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 40)
			g.TakeActions()
			g.HandleAnswer(k, Responder{Shard: "centro", VM: "c-2"}, refused, now+50)
		}, "Stopped noRoomInTime"},
		"leader replaced, former one completes": {func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 10)
			g.Tick(now + 40)
			g.TakeActions()
			g.HandleAnswer(k, centro, job.Completed{}, now+50)
		}, "release lease at centro; Completed"},
		"leader replaced, call to former one fails": {func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 10)
			g.Tick(now + 40)
			g.TakeActions()
			g.HandleAnswer(k, centro, job.Unanswered{}, now+50)
			g.Tick(now + 90)
		}, ""},
		"leader lost, no successor": {func(g *Gateway, leaders *fakeLeaders, _ job.Key) {
			leaders.byShard["centro"] = ""
			g.Tick(now + 10)
			g.Tick(now + 500)
			g.Tick(now + 710)
		}, "Stopped cellLost"},
		"no answer, same leader": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Unanswered{}, now)
			g.Tick(now + 10)
			g.Tick(now + 40)
		}, "submit 8 tasks from 0 to centro adopting"},
		"answer of another shard": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, norte, job.Completed{}, now)
		}, ""},
		"caller disconnected": {func(g *Gateway, _ *fakeLeaders, k job.Key) { g.CallerDisconnected(k, now) }, "release lease at centro; Stopped callerGone"},
		"time limit passed":   {func(g *Gateway, _ *fakeLeaders, _ job.Key) { g.Tick(now + 3000) }, "release lease at centro; Stopped timeLimit"},
		"divided": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now)
		}, "submit 3 tasks from 0 to centro; submit 5 tasks from 3 to norte"},
		"divided, shares do not add up": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 4), now)
		}, "Refused noRoomInTime"},
		"divided, one part done": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now)
			g.TakeActions()
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, centro, job.Completed{}, now+50)
		}, ""},
		"divided, all parts done": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now)
			g.TakeActions()
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, centro, job.Completed{}, now+50)
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, norte, job.Completed{}, now+60)
		}, "Completed"},
		"divided, one part refused": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now)
			g.TakeActions()
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, centro, refused, now+50)
		}, "release lease at norte; Stopped noRoomInTime"},
		"divided, one part failed": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now)
			g.TakeActions()
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, norte, job.Failed{}, now+50)
		}, "release lease at centro; Failed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, leaders := newGateway()
			k := g.Accept(jobOf(8), 3000, 90, now)
			if got, want := describeActions(g), "submit 8 tasks from 0 to centro"; got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
			c.act(g, leaders, k)
			if got := describeActions(g); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against two parts of a job in one shard, whose leader would let each of them have as many tasks at an
// endpoint as the step allows: a VM that has just handed over the shard refuses the part.
func TestRefusedPartStaysApartFromTheOthers(t *testing.T) {
	for name, tt := range map[string]struct {
		next vm.Incarnation
		wait clock.Millis
		want string
	}{
		"the shard has its next leader": {"n-2", 30, "submit 5 tasks from 3 to norte"},
		"still the VM that refused":     {"n-1", 30, "submit 5 tasks from 3 to norte"},
		"at once":                       {"n-2", 10, ""},
		"no leader":                     {"", 30, "submit 5 tasks from 3 to sur"},
	} {
		t.Run(name, func(t *testing.T) {
			g, leaders := newGateway()
			leaders.preference, leaders.byShard["sur"] = append(leaders.preference, "sur"), "s-1"
			k := g.Accept(jobOf(8), 3000, 90, 1_000)
			g.HandleAnswer(k, centro, divided(3, 5), 1_010)
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, norte, job.Refused{Reason: job.NotLeader}, 1_020)
			g.TakeActions()
			leaders.byShard["norte"] = tt.next
			g.Tick(1_020 + tt.wait)
			if got := describeActions(g); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
	g, leaders := newGateway()
	k := g.Accept(jobOf(8), 3000, 90, 1_000)
	g.HandleAnswer(k, centro, divided(3, 5), 1_010)
	g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, norte, job.Refused{Reason: job.NotLeader}, 1_020)
	g.TakeActions()
	delete(leaders.byShard, "norte")
	g.Tick(1_710)
	if got := describeActions(g); got != "" {
		t.Errorf("got %q while a failover may be under way, want nothing", got)
	}
	g.Tick(1_720)
	if got, want := describeActions(g), "release lease at centro; Stopped cellLost"; got != want {
		t.Errorf("got %q after the failover, want %q", got, want)
	}
}

// Guards against a job that takes the place of another one of its ID, whose caller then gets an error.
func TestJobsOfOneIDFromTwoOrigins(t *testing.T) {
	g, _ := newGateway()
	first, second := jobOf(8), jobOf(8)
	first.Origin, second.Origin = "h/a/", "h/b/"
	k := g.Accept(first, 3000, 90, 1_000)
	g.TakeActions()
	g.Accept(second, 3000, 90, 1_010)
	if got, want := describeActions(g), "Refused idInUse"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if g.Cancel(job.Cancellation{Job: second.ID, Origin: second.Origin}, 1_020) {
		t.Errorf("got the refused job cancelled, want nothing to cancel")
	}
	g.HandleAnswer(k, centro, job.Completed{}, 1_050)
	if got, want := describeActions(g), "Completed"; got != want {
		t.Errorf("got %q for the first job, want %q", got, want)
	}
	g.Accept(second, 3000, 90, 1_060)
	if got, want := describeActions(g), "submit 8 tasks from 0 to centro"; got != want {
		t.Errorf("got %q once the first job has ended, want %q", got, want)
	}
}

func divided(centro, norte int) job.Divided {
	return job.Divided{Shares: []job.Share{{Cell: "centro", Tasks: centro}, {Cell: "norte", Tasks: norte}}}
}

// Guards against jobs that are refused although a leader becomes available in time, as after a
// restart of all VMs, and against jobs that wait beyond their limit.
func TestJobsWaitForALeader(t *testing.T) {
	for name, c := range map[string]struct {
		availableAfter clock.Millis
		want           string
	}{
		"in time":  {80, "submit 8 tasks from 0 to centro"},
		"too late": {120, "Refused noHome"},
	} {
		t.Run(name, func(t *testing.T) {
			g, leaders := newGateway()
			leaders.byShard = map[shard.ID]vm.Incarnation{}
			g.Accept(jobOf(8), 3000, 90, 1000)
			for now := clock.Millis(1000); now <= 1200; now += 10 {
				if now == 1000+c.availableAfter {
					leaders.byShard["centro"] = "c-1"
				}
				g.Tick(now)
			}
			if got := describeActions(g); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against connections that end without a reply when the VM has to exit, and against a reply
// that says that a job has not run although it has been submitted to a leader.
func TestAllJobsAreAnsweredAtTheEnd(t *testing.T) {
	g, _ := newGateway()
	other := jobOf(4)
	other.ID = "0000000000000002"
	g.Accept(jobOf(2), 3000, 100, 1000)
	g.Accept(other, 3000, 100, 1000)
	describeActions(g)
	g.EndAll(job.Draining, 1500)
	got := describeActions(g)
	if strings.Count(got, "Stopped draining") != 2 || g.Len() != 0 {
		t.Errorf("got %q and %d remaining jobs, want both stopped", got, g.Len())
	}
}

// Guards against a job that its new leader stops, because the answer of its former leader is taken
// for that of the new one: the gateway then leaves it out of its heartbeats.
func TestLateAnswerOfAFormerLeaderIsIgnored(t *testing.T) {
	g, leaders := newGateway()
	k := g.Accept(jobOf(8), 1500, 90, 1000)
	leaders.byShard["centro"] = "c-2"
	for now := clock.Millis(1400); now <= 1450; now += 10 {
		g.Tick(now)
	}
	if got, want := describeActions(g), "submit 8 tasks from 0 to centro; submit 8 tasks from 0 to centro adopting"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	// The former leader steps down after a freeze and answers all jobs.
	g.HandleAnswer(k, centro, job.Moved{}, 1460)
	if seqs, _ := g.Outstanding("centro"); len(seqs) != 1 {
		t.Errorf("got %d submissions outstanding, want the one to the new leader", len(seqs))
	}
}

// Guards against two submissions of a job at the same time: the caller has resent it on another
// connection, and the first submission, which another shard runs, has not ended.
func TestResentJobWaitsForItsFirstSubmission(t *testing.T) {
	g, _ := newGateway()
	k := g.Accept(jobOf(8), 1500, 90, 1000)
	g.HandleAnswer(k, centro, job.Redirected{To: "norte"}, 1010)
	describeActions(g)
	g.Accept(jobOf(8), 1500, 90, 2300)
	if got := describeActions(g); strings.Contains(got, "submit 8 tasks from 0 to centro") {
		t.Errorf("got %q while norte runs the job, want no submission to centro", got)
	}
}

// Guards against a resent job that is lost, or that runs beside its first submission: each case says
// where that one is.
func TestResentJobGoesWhereItMayRun(t *testing.T) {
	const now = clock.Millis(1000)
	const stopped = "Stopped superseded"
	for name, c := range map[string]struct {
		before func(g *Gateway, leaders *fakeLeaders, k job.Key)
		want   string
	}{
		"at a leader": {func(*Gateway, *fakeLeaders, job.Key) {}, "release lease at centro; " + stopped + "; submit 8 tasks from 0 to centro"},
		"at a leader that has moved": {func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Moved{}, now+10)
			leaders.byShard["centro"] = "c-2"
		}, stopped + "; submit 8 tasks from 0 to centro adopting"},
		"at a leader that has been replaced": {func(_ *Gateway, leaders *fakeLeaders, _ job.Key) {
			leaders.byShard["centro"] = "c-2"
		}, "release lease at centro; " + stopped + "; submit 8 tasks from 0 to centro adopting"},
		"at a shard without a leader": {func(_ *Gateway, leaders *fakeLeaders, _ job.Key) {
			leaders.byShard["centro"] = ""
		}, "release lease at centro; " + stopped},
		"divided": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now+10)
		}, "release lease at centro; release lease at norte; " + stopped + "; " + stopped},
		"divided, one part done": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, divided(3, 5), now+10)
			g.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, centro, job.Completed{}, now+20)
		}, "release lease at norte; " + stopped + "; submit 8 tasks from 0 to norte"},
		"answered": {func(g *Gateway, _ *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Stopped{}, now+10)
		}, "submit 8 tasks from 0 to centro"},
	} {
		t.Run(name, func(t *testing.T) {
			g, leaders := newGateway()
			k := g.Accept(jobOf(8), 3000, 90, now)
			c.before(g, leaders, k)
			describeActions(g)
			g.Accept(jobOf(8), 3000, 90, now+100)
			if got := describeActions(g); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a job that its leader abandons, because a heartbeat leaves it out while the gateway
// waits to submit it again after a call without an answer.
func TestJobsToBeSubmittedAgainKeepTheirLeases(t *testing.T) {
	g, _ := newGateway()
	k := g.Accept(jobOf(8), 1500, 90, 1000)
	g.HandleAnswer(k, centro, job.Unanswered{}, 1100)
	if seqs, _ := g.Outstanding("centro"); len(seqs) != 1 {
		t.Errorf("got %d jobs in heartbeats to the leader that may be running one, want 1", len(seqs))
	}
	g.Tick(1140)
	g.HandleAnswer(k, centro, job.Completed{}, 1150)
	if seqs, _ := g.Outstanding("centro"); len(seqs) != 0 {
		t.Errorf("got %d jobs in heartbeats after the job has ended, want none", len(seqs))
	}
}

// Guards against a leader that relies on the list of endpoints of the one that handed over to it,
// although yet another leader may have started tasks of the job.
func TestSubmissionNamesTheOnlyEarlierLeader(t *testing.T) {
	const now = clock.Millis(1000)
	for _, tt := range []struct {
		name string
		act  func(g *Gateway, leaders *fakeLeaders, k job.Key)
		want vm.Incarnation
	}{
		{"first submission", func(*Gateway, *fakeLeaders, job.Key) {}, ""},
		{"leader moved", func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Moved{}, now)
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 40)
		}, "c-1"},
		{"two leaders moved", func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Moved{}, now)
			leaders.byShard["centro"] = "c-2"
			g.Tick(now + 40)
			g.HandleAnswer(k, Responder{Shard: "centro", VM: "c-2"}, job.Moved{}, now+50)
			leaders.byShard["centro"] = "c-3"
			g.Tick(now + 100)
		}, ""},
		{"refused by one, the other moved", func(g *Gateway, leaders *fakeLeaders, k job.Key) {
			g.HandleAnswer(k, centro, job.Refused{Reason: job.NotLeader}, now)
			g.HandleAnswer(k, norte, job.Moved{}, now)
			leaders.byShard["norte"] = "n-2"
			g.Tick(now + 40)
		}, "n-1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, leaders := newGateway()
			k := g.Accept(jobOf(8), 5000, 1000, now)
			tt.act(g, leaders, k)
			var last job.Submission
			for _, a := range g.TakeActions() {
				if s, ok := a.(Submit); ok {
					last = s.Submission
				}
			}
			if last.Earlier != tt.want {
				t.Errorf("got %q as the only earlier leader, want %q", last.Earlier, tt.want)
			}
		})
	}
}

// Guards against a leader that takes its list of endpoints for complete although an earlier leader of
// the job uses endpoints that have left it: the job says how old the oldest list of its leaders is.
func TestResubmittedJobSaysHowOldTheListsOfItsLeadersAre(t *testing.T) {
	g, leaders := newGateway()
	leaders.listedSince = map[shard.ID]clock.Millis{"centro": 600}
	k := g.Accept(jobOf(1), 5000, 90, 1000)
	g.TakeActions()
	now := clock.Millis(1000)
	for _, tt := range []struct {
		leader      vm.Incarnation
		listedSince clock.Millis
		want        clock.Millis
	}{
		{"c-2", 1100, 500},
		{"c-3", 400, 600},
		{"c-4", 1300, 900},
		{"c-5", 0, 1000},
		{"c-6", 1500, 0},
	} {
		now += 100
		g.HandleAnswer(k, Responder{Shard: "centro", VM: leaders.byShard["centro"]}, job.Moved{}, now-resendDelay)
		leaders.byShard["centro"], leaders.listedSince["centro"] = tt.leader, tt.listedSince
		g.Tick(now)
		submitted := 0
		for _, a := range g.TakeActions() {
			if s, ok := a.(Submit); ok {
				submitted++
				if got := s.Submission.EarlierListAge; got != tt.want {
					t.Errorf("%s: got lists that are %d ms old, want %d ms", tt.leader, got, tt.want)
				}
			}
		}
		if submitted != 1 {
			t.Errorf("%s: got %d submissions, want one", tt.leader, submitted)
		}
	}
}

// Guards against callers whose jobs take the memory of a VM, or every connection for as long as they run, and against
// a refusal of a job that was sent again.
func TestJobsWithoutRoom(t *testing.T) {
	leaders := &fakeLeaders{preference: []shard.ID{"centro"}, byShard: map[shard.ID]vm.Incarnation{"centro": "c-1"}}
	withID := func(id job.ID, payload int) job.Job {
		j := jobOf(1)
		j.ID, j.Payload = id, job.Payload(strings.Repeat("x", payload))
		return j
	}
	for _, tt := range []struct {
		name    string
		maxJobs int
		memory  link.Bytes
		payload int
	}{
		{"as many jobs as there may be", 2, 0, 0},
		{"no memory for another one", 0, 50 << 10, 16 << 10},
		{"no memory for another large one", 0, 200 << 10, 64 << 10},
	} {
		budget := job.NewMemoryBudget(tt.memory)
		g := New(Config{Self: "me-1", Leaders: leaders, FailoverTimeout: 700, MaxJobs: tt.maxJobs, Memory: budget})
		var keys []job.Key
		for i, id := range []job.ID{"a", "b", "c", "b"} {
			keys = append(keys, g.Accept(withID(id, tt.payload), clock.Minute, 0, clock.Millis(i)))
		}
		got := describeActions(g)
		want := "submit 1 tasks from 0 to centro; submit 1 tasks from 0 to centro; Refused tooManyJobs; " +
			"release lease at centro; Stopped superseded; submit 1 tasks from 0 to centro"
		if got != want {
			t.Errorf("%s: got %q, want %q", tt.name, got, want)
		}
		for _, k := range keys {
			g.CallerDisconnected(k, clock.Second)
		}
		if got := budget.Taken(); got != 0 {
			t.Errorf("%s: got %d bytes taken after the last job, want 0", tt.name, got)
		}
	}
}

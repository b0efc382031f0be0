package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against jobs that are not served although nothing is wrong, and against times that
// callers would count as late.
func TestQuietCell(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.addHome(1, 256)
	w.advance(50)
	w.interest(1, "a-1", 1, 2)
	w.tell(1, Submitted{Submission: submission("a-1", 1, 8)})
	w.tell(1, Submitted{Submission: submission("a-1", 2, 2)})
	w.advance(200)
	for seq := uint64(1); seq <= 2; seq++ {
		k := job.Key{Entry: "a-1", Seq: seq}
		if got, want := outcomeOf(w.outcomes[k]), "job.Completed"; got != want {
			t.Errorf("job %d: got %s, want %s", seq, got, want)
		}
		if got, want := w.endedAt[k]-1_000_050, clock.Millis(70); got > want {
			t.Errorf("job %d: got an answer after %d ms, want at most %d ms", seq, got, want)
		}
	}
}

// Guards against two runs of a task at the same time, against jobs that are called complete
// though they are not, and against jobs that nobody ends, with an order that fails in every
// way that the platform describes.
func TestOrdersThatFail(t *testing.T) {
	faults := map[string]func(a Action) delivery{
		"start lost":               func(a Action) delivery { _, ok := a.(Start); return delivery{lost: ok} },
		"start's answer lost":      func(a Action) delivery { _, ok := a.(Start); return delivery{answerLost: ok} },
		"start carried out late":   func(a Action) delivery { return laterStart(a, 2000) },
		"start late, before lapse": func(a Action) delivery { return laterStart(a, 300) },
		"start's answer late":      func(a Action) delivery { return lateAnswer(a, 60) },
		"hold's answer lost":       func(a Action) delivery { _, ok := a.(Hold); return delivery{answerLost: ok} },
		"everything lost":          func(Action) delivery { return delivery{lost: true} },
		"all answers lost":         func(Action) delivery { return delivery{answerLost: true} },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 4)
			w.addHome(1, 256)
			w.advance(50)
			w.interest(1, "a-1", 1)
			from := w.now
			w.fault = func(_ int, e datacentre.EndpointID, a Action) delivery {
				if e != "e00" || w.now-from > 1000 {
					return delivery{}
				}
				return fault(a)
			}
			w.tell(1, Submitted{Submission: submission("a-1", 1, 8)})
			w.advance(3500)
			if got, want := outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := w.mostRuns, 1; got != want {
				t.Errorf("got %d runs of a task at the same time, want %d", got, want)
			}
		})
	}
}

func laterStart(a Action, span clock.Millis) delivery {
	if _, ok := a.(Start); ok {
		return delivery{later: span}
	}
	return delivery{}
}

// lateAnswer delays the answer to a start that is carried out at once.
func lateAnswer(a Action, span clock.Millis) delivery {
	if _, ok := a.(Start); ok {
		return delivery{answerLater: span}
	}
	return delivery{}
}

// Guards against runs that are stopped, or started elsewhere, although only the answer to their
// start is late.
func TestLateAnswersToStartsStopNothing(t *testing.T) {
	for _, late := range []clock.Millis{25, 40, 200} {
		w := newWorld(t, 3, 4)
		w.addHome(1, 256)
		w.advance(50)
		w.interest(1, "a-1", 1)
		w.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery { return lateAnswer(a, late) }
		w.tell(1, Submitted{Submission: submission("a-1", 1, 8)})
		w.advance(400)
		if got, want := len(w.starts), 8; got != want {
			t.Fatalf("answers %d ms late: got %d tasks started, want %d", late, got, want)
		}
		for name, n := range w.starts {
			if n != 1 {
				t.Errorf("answers %d ms late: got %d starts of %s, want 1", late, n, name)
			}
		}
		k := job.Key{Entry: "a-1", Seq: 1}
		if got, want := w.endedAt[k]-1_000_050, clock.Millis(90); outcomeOf(w.outcomes[k]) != "job.Completed" || got > want {
			t.Errorf("answers %d ms late: got %s after %d ms, want it completed within %d ms", late, outcomeOf(w.outcomes[k]), got, want)
		}
	}
}

// Guards against tasks that wait for an endpoint that has crashed, stands still or fails all
// that it starts.
func TestEndpointsThatFail(t *testing.T) {
	faults := map[string]func(w *world, e *fakeEndpoint){
		"down for good": func(_ *world, e *fakeEndpoint) { e.down = true },
		"restarted":     func(_ *world, e *fakeEndpoint) { e.crash() },
		"stalling": func(_ *world, e *fakeEndpoint) {
			for _, r := range e.runs {
				r.stalled = true
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3, 4)
			w.addHome(1, 256)
			w.advance(50)
			w.interest(1, "a-1", 1)
			w.tell(1, Submitted{Submission: submission("a-1", 1, 4)})
			w.advance(20)
			for _, id := range []datacentre.EndpointID{"e00", "e01"} {
				fault(w, w.endpoints[id])
			}
			w.advance(1500)
			if got, want := outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := w.mostRuns, 1; got != want {
				t.Errorf("got %d runs of a task at the same time, want %d", got, want)
			}
		})
	}
}

// Guards against an endpoint that fails everything at once and therefore always has room.
func TestFailingEndpointIsEjected(t *testing.T) {
	w := newWorld(t, 4, 6)
	w.endpoints["e00"].failing = true
	w.addHome(1, 256)
	w.advance(50)
	var seqs []uint64
	for seq := uint64(1); seq <= 40; seq++ {
		seqs = append(seqs, seq)
	}
	w.interest(1, "a-1", seqs...)
	for _, seq := range seqs {
		w.tell(1, Submitted{Submission: submission("a-1", seq, 2)})
		w.advance(20)
	}
	w.advance(500)
	for _, seq := range seqs {
		if got, want := outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: seq}]), "job.Completed"; got != want {
			t.Errorf("job %d: got %s, want %s", seq, got, want)
		}
	}
	if got := w.notes[EndpointEjected]; got == 0 {
		t.Errorf("got no ejection, want one")
	}
	if got, want := w.notes[AttemptFailed], 6; got > want {
		t.Errorf("got %d failed runs, want at most %d", got, want)
	}
}

// Guards against speeds that are learnt by half, so that long tasks go to slow endpoints.
func TestSpeedsAreLearnt(t *testing.T) {
	w := newWorld(t, 12, 4)
	want := map[datacentre.EndpointID]float64{"e00": 0.55, "e01": 1.2, "e02": 1.2, "e03": 1.2}
	for id, s := range want {
		w.endpoints[id].speed = s
	}
	h := w.addHome(1, 256).home
	w.advance(50)
	for seq := uint64(1); seq <= 60; seq++ {
		w.interest(1, "a-1", seq)
		w.tell(1, Submitted{Submission: submission("a-1", seq, 8)})
		w.advance(150)
	}
	ratio := h.places["e01"].speed.factor() / h.places["e00"].speed.factor()
	if want := 1.2 / 0.55; ratio < 0.8*want || ratio > 1.2*want {
		t.Errorf("got a ratio of %.2f between the speeds of two endpoints, want %.2f", ratio, want)
	}
}

// Guards against urgent jobs that are late because one answer of an endpoint was lost: of a
// start that was carried out, of one that was not, or of the watch that tells of the end.
func TestLostAnswersAreNoticedInTime(t *testing.T) {
	lose := map[string]func(a Action) delivery{
		"start":          func(a Action) delivery { _, ok := a.(Start); return delivery{lost: ok} },
		"start's answer": func(a Action) delivery { _, ok := a.(Start); return delivery{answerLost: ok} },
		"watch's answer": func(a Action) delivery {
			hold, ok := a.(Hold)
			return delivery{answerLost: ok && hold.Kind == Watch}
		},
	}
	for name, fault := range lose {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 13, 6)
			w.addHome(1, 256)
			w.advance(50)
			w.interest(1, "a-1", 1)
			lost := false
			w.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				d := fault(a)
				if lost || !d.lost && !d.answerLost {
					return delivery{}
				}
				lost = true
				return d
			}
			from := w.now
			w.tell(1, Submitted{Submission: submission("a-1", 1, 8)})
			w.advance(1000)
			k := job.Key{Entry: "a-1", Seq: 1}
			if got, want := w.endedAt[k]-from, testState().Queue(testQueue).Objective(50); got > want || w.outcomes[k] == nil {
				t.Errorf("got %s after %d ms, want an answer within %d ms", outcomeOf(w.outcomes[k]), got, want)
			}
		})
	}
}

// Guards against an endless retry of a task that can never be done.
func TestTaskThatAlwaysFails(t *testing.T) {
	w := newWorld(t, 5, 4)
	for _, e := range w.endpoints {
		e.failing = true
	}
	w.addHome(1, 256)
	w.advance(50)
	w.interest(1, "a-1", 1)
	w.tell(1, Submitted{Submission: submission("a-1", 1, 1)})
	w.advance(500)
	if got, want := outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Failed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := w.starts[TaskName("0000000000000001", 0, 0)], 3; got != want {
		t.Errorf("got %d starts, want the queue's %d attempts", got, want)
	}
}

// Guards against runs that outlive their caller: after a broken connection the caller sends
// the job again, and a run of the first time must be gone by then.
func TestRunsEndWithTheirEntryVM(t *testing.T) {
	for name, freeze := range map[string]bool{"entry VM falls silent": false, "home freezes as well": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 6, 2)
			w.takes = func(job.TaskName) clock.Millis { return 5000 }
			f := w.addHome(1, 256)
			w.advance(50)
			w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: w.now, Waiting: []uint64{1}, LastSeq: 1})
			w.tell(1, Submitted{Submission: submission("a-1", 1, 2)})
			w.advance(200)
			w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: w.now, Waiting: []uint64{1}, LastSeq: 1})
			silent := w.now
			if freeze {
				w.advance(testTimes().JobLease - 20)
				f.frozen = w.now + 5000
			}
			w.advance(silent + testTimes().AttemptsExpireAfter() - w.now)
			for id, e := range w.endpoints {
				if got := len(e.runs); got != 0 {
					t.Errorf("%s: got %d runs, want none", id, got)
				}
			}
		})
	}
}

// Guards against a sum of waits that is longer than the time after which callers send a job
// again.
func TestRunsAreGoneBeforeJobsAreSentAgain(t *testing.T) {
	for _, resend := range []clock.Millis{1300, 2000} {
		times := DefaultTimeouts(1000, 50, resend)
		if got, want := times.AttemptsExpireAfter(), resend-100; got > want {
			t.Errorf("resend after %d ms: got runs for %d ms, want at most %d ms", resend, got, want)
		}
	}
}

// Guards against a job that the caller has left and that runs on, and against one that is
// dropped because a message about others was under way when it came.
func TestInterest(t *testing.T) {
	w := newWorld(t, 7, 4)
	w.takes = func(job.TaskName) clock.Millis { return 1000 }
	w.addHome(1, 256)
	w.advance(50)
	early := w.now
	w.advance(5)
	w.tell(1, Submitted{Submission: submission("a-1", 1, 2)})
	w.tell(1, Submitted{Submission: submission("a-1", 2, 2)})
	w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: early, Waiting: nil, LastSeq: 2})
	w.advance(10)
	if got := len(w.outcomes); got != 0 {
		t.Errorf("a message sent before the jobs came: got %d ended, want none", got)
	}
	w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: w.now, Waiting: []uint64{2}, LastSeq: 2})
	w.advance(80)
	if got, want := outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "stopped callerGone"; got != want {
		t.Errorf("job that nobody waits for: got %s, want %s", got, want)
	}
	if got := w.outcomes[job.Key{Entry: "a-1", Seq: 2}]; got != nil {
		t.Errorf("job that is waited for: got %s, want none yet", outcomeOf(got))
	}
}

// Guards against a message that was held up in the network and would run a job that its
// caller has long sent again.
func TestHeldUpSubmissionIsRefused(t *testing.T) {
	w := newWorld(t, 8, 2)
	w.addHome(1, 256)
	w.advance(50)
	s := submission("a-1", 1, 2)
	s.Expires = w.now - 1
	w.tell(1, Submitted{Submission: s})
	w.advance(100)
	if got, want := outcomeOf(w.outcomes[s.Key]), "refused messageHeldUp"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := len(w.starts); got != 0 {
		t.Errorf("got %d tasks started, want none", got)
	}
}

// Guards against a repeated message that runs a job again.
func TestRepeatedSubmissionGetsTheSameAnswer(t *testing.T) {
	w := newWorld(t, 9, 2)
	w.addHome(1, 256)
	w.advance(50)
	w.interest(1, "a-1", 1)
	s := submission("a-1", 1, 2)
	w.tell(1, Submitted{Submission: s})
	w.tell(1, Submitted{Submission: s})
	w.advance(100)
	delete(w.outcomes, s.Key)
	w.tell(1, Submitted{Submission: s})
	w.advance(100)
	if got, want := outcomeOf(w.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	for name, got := range w.starts {
		if want := 1; got != want {
			t.Errorf("%s: got %d starts, want %d", name, got, want)
		}
	}
}

// Guards against a run that is started beside itself because a look that was taken before
// the start does not list it.
func TestLookOfTheSameMomentProvesNothing(t *testing.T) {
	w := newWorld(t, 10, 2)
	h := w.addHome(1, 256).home
	w.advance(50)
	w.interest(1, "a-1", 1)
	w.tell(1, Submitted{Submission: submission("a-1", 1, 1)})
	w.advance(3)
	var p *place
	for _, o := range h.ordered {
		if len(o.tasks) > 0 {
			p = o
		}
	}
	w.tell(1, HoldEnded{Endpoint: p.ID, Kind: Renewal, Sequence: h.moment - 3, Report: &endpoint.StatusReport{Incarnation: p.Born, Clock: p.clockNow(w.now)}})
	w.advance(100)
	if got, want := w.starts[TaskName("0000000000000001", 0, 0)], 1; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
}

// Guards against starts that cannot be joined to the job's trace.
func TestStartsCarryTheTrace(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addHome(1, 256)
	w.advance(50)
	s := submission("a-1", 1, 1)
	s.Job.Trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	started := false
	for _, a := range w.homes[1].home.Handle(w.now, Submitted{Submission: s}) {
		if start, ok := a.(Start); ok {
			started = true
			if got, want := start.Trace, s.Job.Trace; got != want {
				t.Errorf("got trace %q, want %q", got, want)
			}
		}
	}
	if !started {
		t.Errorf("got no start, want one")
	}
}

package leader

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against tasks that run twice, or not at all, when a home is replaced: by another
// that knows nothing, while the old one goes on, in the middle of a partition, or with an
// endpoint that the new home cannot reach at first.
func TestTakeOver(t *testing.T) {
	cases := map[string]struct {
		oldGoesOn, oldCutOff bool
		// blocked cannot be reached by the new home for so long.
		blocked clock.Millis
		// claim is how long after the take-over the entry VM claims its job.
		claim clock.Millis
	}{
		"old home dead":                         {claim: 30},
		"claimed before anything is listed":     {claim: 0},
		"old home goes on":                      {oldGoesOn: true, claim: 30},
		"endpoint out of reach":                 {oldGoesOn: true, blocked: 500, claim: 30},
		"endpoint out of reach for long":        {oldGoesOn: true, blocked: 2500, claim: 30},
		"claimed late":                          {claim: 400},
		"claimed late, old home goes on":        {oldGoesOn: true, claim: 400},
		"old home has lost the entry VM before": {oldGoesOn: true, oldCutOff: true, blocked: 600, claim: 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 11, 4)
			w.takes = func(n job.TaskName) clock.Millis { return 120 + 40*clock.Millis(n[len(n)-1]-'0') }
			old := w.addHome(1, 256)
			w.advance(50)
			if !c.oldCutOff {
				w.interest(1, "a-1", 1)
			}
			s := submission("a-1", 1, 6)
			w.tell(1, Submitted{Submission: s})
			w.advance(60)
			if !c.oldGoesOn {
				old.gone = true
			}
			taken := w.now
			w.fault = func(n int, e datacentre.EndpointID, _ Action) delivery {
				return delivery{lost: n == 2 && e == "e01" && w.now-taken < c.blocked}
			}
			w.addHome(2, 257)
			w.advance(c.claim)
			s.Adopt, s.Waited = true, w.now-1_000_050
			w.tell(2, Submitted{Submission: s})
			w.interest(2, "a-1", 1)
			w.advance(4000)
			if got, want := w.mostRuns, 1; got != want {
				t.Errorf("got %d runs of a task at the same time, want %d", got, want)
			}
			if got, want := outcomeOf(w.outcomes[s.Key]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// Guards against tasks that run twice because an earlier home has them at an endpoint whose
// entry has lapsed, so that the new home does not know of it.
func TestTakeOverWithAnIncompleteList(t *testing.T) {
	w := newWorld(t, 14, 5)
	w.takes = func(job.TaskName) clock.Millis { return 700 }
	w.addHome(1, 256)
	w.advance(50)
	s := submission("a-1", 1, 6)
	w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: w.now, Waiting: []uint64{1}, LastSeq: 1})
	w.tell(1, Submitted{Submission: s})
	w.advance(60)
	w.addHome(2, 257)
	known := slices.DeleteFunc(w.listed(), func(e endpoint.Endpoint) bool { return e.ID == "e01" })
	w.homes[2] = &fakeHome{home: New(Config{Shard: "centro", Token: 258, Timeouts: testTimes(), FarFactor: 1.5, Desired: testState(), Now: w.now})}
	w.tell(2, EndpointsListed{Endpoints: known})
	s.Adopt = true
	w.advance(10)
	w.tell(2, Submitted{Submission: s})
	w.interest(2, "a-1", 1)
	w.advance(3000)
	if got, want := w.mostRuns, 1; got != want {
		t.Errorf("got %d runs of a task at the same time, want %d", got, want)
	}
	if got, want := outcomeOf(w.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

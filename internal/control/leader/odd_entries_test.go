package leader

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against an entry of another writer, at whose address nothing answers, that delays a takeover
// for longer than the attempts of earlier leaders can last, or delays jobs that have had none.
func TestEntryThatCannotAnswerDelaysOnlyResubmittedJobs(t *testing.T) {
	c := newCluster(t, 51, 4)
	c.sortedEndpoints[3].down = true
	old := c.addLeader(1, 256)
	c.advance(50)
	old.stopped = true
	c.addLeader(2, 257)
	c.advance(20)
	takenOver := c.now
	resubmitted := submission("a-1", 1, 2)
	resubmitted.Adopt, resubmitted.Part = true, true
	c.deliver(2, Submitted{Submission: resubmitted})
	c.renewLeases(2, "a-1", 1)
	fresh := submission("b-1", 2, 2)
	c.deliver(2, Submitted{Submission: fresh})
	c.renewLeases(2, "b-1", 2)
	c.advance(2000)
	for _, tt := range []struct {
		s     job.Submission
		limit clock.Millis
	}{{fresh, 80}, {resubmitted, testTimeouts().EarlierAttemptsExpireAfter() + 80}} {
		if got := c.endedAt[tt.s.Key] - takenOver; outcomeName(c.outcomes[tt.s.Key]) != "job.Completed" || got > tt.limit {
			t.Errorf("job %d: got %s after %d ms, want it completed within %d ms", tt.s.Key.Seq, outcomeName(c.outcomes[tt.s.Key]), got, tt.limit)
		}
	}
}

// Guards against attempts that run twice, or an endpoint that stays out of use, after another writer
// has given it an incarnation far in the future for some reads of the list.
func TestImplausibleIncarnationInTheList(t *testing.T) {
	for _, reads := range []int{1, 5} {
		c := newCluster(t, 52, 3)
		c.duration = func(job.TaskName) clock.Millis { return 150 }
		c.addLeader(1, 256)
		c.advance(50)
		c.leaders[1].relists = false
		odd := c.endpointList()
		odd[0].Born += 1_000_000_000
		c.submitPart(1, 1, 6)
		c.advance(20)
		for range reads {
			c.deliver(1, EndpointsListed{Endpoints: odd, Complete: true, List: EndpointList{ReadAt: c.now}})
			c.advance(100)
		}
		c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
		c.advance(3000)
		if c.maxConcurrentAttempts != 1 || len(c.outcomes) != 1 {
			t.Errorf("%d reads: got %d concurrent attempts and %d jobs answered, want 1 and 1", reads, c.maxConcurrentAttempts, len(c.outcomes))
		}
		if ep := c.leaders[1].leader.endpoints["e00"]; !ep.usable(c.now) || ep.Born != c.sortedEndpoints[0].Born {
			t.Errorf("%d reads: got incarnation %d, usable %v, want the real one in use", reads, ep.Born, ep.usable(c.now))
		}
	}
}

// Guards against attempts that run twice because two entries have the same address: only one of the
// instances answers there.
func TestTwoEntriesWithOneAddress(t *testing.T) {
	c := newCluster(t, 53, 3)
	c.duration = func(job.TaskName) clock.Millis { return 150 }
	second := c.sortedEndpoints[2]
	second.Address, second.replaced = c.sortedEndpoints[0].Address, true
	old := c.addLeader(1, 256)
	c.advance(50)
	s := c.submitPart(1, 1, 4)
	c.advance(40)
	old.stopped = true
	c.addLeader(2, 257)
	s.Adopt = true
	c.deliver(2, Submitted{Submission: s})
	c.renewLeases(2, "a-1", 1)
	c.advance(3000)
	if c.maxConcurrentAttempts != 1 || outcomeName(c.outcomes[s.Key]) != "job.Completed" {
		t.Errorf("got %d concurrent attempts and %s, want one and the job completed", c.maxConcurrentAttempts, outcomeName(c.outcomes[s.Key]))
	}
	if slices.ContainsFunc(c.leaders[2].leader.Endpoints(), func(e endpoint.Endpoint) bool { return e.ID == second.ID && len(second.attempts) > 0 }) {
		t.Errorf("got attempts at the instance that does not answer, want none")
	}
}

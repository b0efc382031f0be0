package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// homes lists the cells that have a home, in the order in which they are preferred.
type homes struct {
	order []shard.ID
	at    map[shard.ID]vm.Incarnation
}

func (h *homes) Available(clock.Millis) []shard.ID {
	var all []shard.ID
	for _, c := range h.order {
		if h.at[c] != "" {
			all = append(all, c)
		}
	}
	return all
}

func (h *homes) Leader(c shard.ID, _ clock.Millis) (vm.Incarnation, bool) {
	return h.at[c], h.at[c] != ""
}

func newFront() (*Gateway, *homes) {
	h := &homes{order: []shard.ID{"centro", "norte"}, at: map[shard.ID]vm.Incarnation{"centro": "c-1", "norte": "n-1"}}
	return New(Config{Self: "me-1", Leaders: h, FailoverTimeout: 700}), h
}

func wide(tasks int) job.Job {
	return job.Job{ID: "0000000000000001", Queue: "swap", Steps: []job.Step{{Tasks: tasks, Estimate: 50}}}
}

// took describes what the front wants done since the last time.
func took(f *Gateway) string {
	var all []string
	for _, a := range f.TakeActions() {
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
			all = append(all, "withdraw from "+string(a.Shard))
		}
	}
	return strings.Join(all, "; ")
}

// Guards against answers to callers that are not true: a refusal although something may have
// run, a success of a part, or an answer that never comes.
func TestOutcomes(t *testing.T) {
	const now = clock.Millis(1000)
	refused := job.Refused{Reason: job.NoCapacityInTime}
	cases := map[string]struct {
		do   func(f *Gateway, h *homes, k job.Key)
		want string
	}{
		"completed": {func(f *Gateway, _ *homes, k job.Key) { f.HandleAnswer(k, "centro", job.Completed{}, now) }, "Completed"},
		"failed":    {func(f *Gateway, _ *homes, k job.Key) { f.HandleAnswer(k, "centro", job.Failed{}, now) }, "Failed"},
		"refused":   {func(f *Gateway, _ *homes, k job.Key) { f.HandleAnswer(k, "centro", refused, now) }, "Refused noRoomInTime"},
		"redirected": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", job.Redirected{To: "norte"}, now)
		}, "submit 8 tasks from 0 to norte"},
		"not home, another cell has one": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", job.Refused{Reason: job.NotLeader}, now)
		}, "submit 8 tasks from 0 to norte"},
		"home moved": {func(f *Gateway, h *homes, k job.Key) {
			f.HandleAnswer(k, "centro", job.Moved{}, now)
			h.at["centro"] = "c-2"
			f.Tick(now + 40)
		}, "submit 8 tasks from 0 to centro adopting"},
		"home moved, new one refuses": {func(f *Gateway, h *homes, k job.Key) {
			f.HandleAnswer(k, "centro", job.Moved{}, now)
			h.at["centro"] = "c-2"
			f.Tick(now + 40)
			f.TakeActions()
			f.HandleAnswer(k, "centro", refused, now+50)
		}, "Stopped noRoomInTime"},
		"home lost, no other comes": {func(f *Gateway, h *homes, _ job.Key) {
			h.at["centro"] = ""
			f.Tick(now + 10)
			f.Tick(now + 500)
			f.Tick(now + 710)
		}, "Stopped cellLost"},
		"no answer, same home": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", job.Unanswered{}, now)
			f.Tick(now + 10)
			f.Tick(now + 40)
		}, "submit 8 tasks from 0 to centro adopting"},
		"answer of another cell": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "norte", job.Completed{}, now)
		}, ""},
		"caller left": {func(f *Gateway, _ *homes, k job.Key) { f.CallerDisconnected(k, now) }, "withdraw from centro; Stopped callerGone"},
		"time is up":  {func(f *Gateway, _ *homes, _ job.Key) { f.Tick(now + 3000) }, "withdraw from centro; Stopped timeLimit"},
		"divided": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 5), now)
		}, "submit 3 tasks from 0 to centro; submit 5 tasks from 3 to norte"},
		"divided, shares do not add up": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 4), now)
		}, "Refused noRoomInTime"},
		"divided, one part done": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 5), now)
			f.TakeActions()
			f.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, "centro", job.Completed{}, now+50)
		}, ""},
		"divided, all parts done": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 5), now)
			f.TakeActions()
			f.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, "centro", job.Completed{}, now+50)
			f.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, "norte", job.Completed{}, now+60)
		}, "Completed"},
		"divided, one part refused": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 5), now)
			f.TakeActions()
			f.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 1}, "centro", refused, now+50)
		}, "withdraw from norte; Stopped noRoomInTime"},
		"divided, one part failed": {func(f *Gateway, _ *homes, k job.Key) {
			f.HandleAnswer(k, "centro", divided(3, 5), now)
			f.TakeActions()
			f.HandleAnswer(job.Key{Entry: "me-1", Seq: k.Seq + 2}, "norte", job.Failed{}, now+50)
		}, "withdraw from centro; Failed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, h := newFront()
			k := f.Accept(wide(8), 3000, 90, now)
			if got, want := took(f), "submit 8 tasks from 0 to centro"; got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
			c.do(f, h, k)
			if got := took(f); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func divided(here, there int) job.Divided {
	return job.Divided{Shares: []job.Share{{Cell: "centro", Tasks: here}, {Cell: "norte", Tasks: there}}}
}

// Guards against jobs that are refused although a home comes in time, as after a restart of
// all VMs, and against jobs that wait longer than they can.
func TestJobsWaitForAHome(t *testing.T) {
	for name, c := range map[string]struct {
		comes clock.Millis
		want  string
	}{
		"in time":  {80, "submit 8 tasks from 0 to centro"},
		"too late": {120, "Refused noHome"},
	} {
		t.Run(name, func(t *testing.T) {
			f, h := newFront()
			h.at = map[shard.ID]vm.Incarnation{}
			f.Accept(wide(8), 3000, 90, 1000)
			for now := clock.Millis(1000); now <= 1200; now += 10 {
				if now == 1000+c.comes {
					h.at["centro"] = "c-1"
				}
				f.Tick(now)
			}
			if got := took(f); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against connections that end without an answer when the VM has to exit, and against an
// answer that says not run for a job that is at a home.
func TestAllJobsAreAnsweredAtTheEnd(t *testing.T) {
	f, _ := newFront()
	f.Accept(wide(2), 3000, 100, 1000)
	f.Accept(wide(4), 3000, 100, 1000)
	took(f)
	f.EndAll(job.Draining, 1500)
	got := took(f)
	if strings.Count(got, "Stopped draining") != 2 || f.Len() != 0 {
		t.Errorf("got %q and %d jobs left, want both ended as stopped", got, f.Len())
	}
}

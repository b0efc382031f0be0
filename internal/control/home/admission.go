package home

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/cell"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// retryAfter is what refused callers are told: demand swings within seconds, and the
	// shortest time that the header can name is a second.
	retryAfter = clock.Second
	// hopsMost bounds how often a job is passed on; the figures that homes have of each
	// other are a tenth of a second old.
	hopsMost = 2
	// roomFactor is how much more room than the job needs another cell must have, since
	// others see the same room.
	roomFactor = 2
)

// submit takes a job, passes it on or refuses it.
func (h *Home) submit(s job.Submission) {
	if o, ok := h.answers.of(&s); ok {
		h.do(Answer{Key: s.Key, Outcome: o})
		return
	}
	if h.works[s.Key] != nil {
		return
	}
	if s.Expires != 0 && h.now > s.Expires {
		h.do(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.LateMessage, RetryAfter: retryAfter}})
		return
	}
	q := h.state.Queue(s.Job.Queue)
	if q == nil {
		h.do(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.NoDesiredState, RetryAfter: retryAfter}})
		return
	}
	w := newWork(s, h.now)
	h.setTimes(w)
	for _, earlier := range slices.Clone(h.byID[s.Job.ID]) {
		if earlier.Key.Entry != s.Key.Entry || earlier.Attempt != s.Attempt {
			// The caller has sent the job again.
			h.abandon(earlier, job.Superseded)
		}
	}
	if s.Adopt {
		h.adopt(w)
	}
	if !w.started && !s.Adopt {
		if o := h.admit(w); o != nil {
			h.noteAdmission(w, o)
			h.answers.keep(&w.Submission, o, h.now)
			h.do(Answer{Key: w.Key, Outcome: o})
			return
		}
	}
	h.works[w.Key] = w
	h.byID[w.Job.ID] = append(h.byID[w.Job.ID], w)
	en := h.entry(w.Key.Entry)
	en.works[w.Key.Seq] = w
	en.until = max(en.until, h.now+h.config.Times.Interest)
	h.noteAdmission(w, nil)
	h.enqueue(w)
	h.completeAdopted(w)
}

// noteAdmission logs what became of a submission and the figures that decided it.
func (h *Home) noteAdmission(w *work, o job.Outcome) {
	n := Note{What: JobTaken, Job: w.Job.ID}
	switch o := o.(type) {
	case job.Refused:
		n.What, n.Detail = JobRefused, string(o.Reason)+" "
	case job.Redirected:
		n.What, n.Detail = JobPassedOn, "to "+string(o.To)+" "
	case job.Divided:
		n.What, n.Detail = JobPassedOn, fmt.Sprintf("divided %v ", o.Shares)
	default:
		if w.Adopt {
			n.What = JobAdopted
		}
	}
	oldest, fresh := clock.Millis(0), h.spareCells()
	for _, l := range fresh {
		oldest = max(oldest, h.now-l.At)
	}
	load := h.Load(h.now)
	n.Detail += fmt.Sprintf("tasks %d demand %d free %d waiting %d of %d mCPU, starts by %d ms, hops %d, cells with room %d told up to %d ms ago, desired state %d",
		len(w.tasks), w.demand(), load.FreeCPU, load.WaitingCPU, load.TotalCPU, w.startBy-h.now, w.Hops, len(fresh), oldest, h.state.Version)
	h.do(n)
}

// completeAdopted answers a job whose last task had already ended when it was adopted.
func (h *Home) completeAdopted(w *work) {
	if w.open == 0 {
		h.answer(w, job.Completed{})
	}
}

// setTimes derives the points in time that matter to a job from its longest chain.
func (h *Home) setTimes(w *work) {
	chain := h.chain(w)
	span := h.state.Queue(w.queue).Objective(chain)
	w.objective = w.arrived + span
	w.startBy = w.objective - lateStart - clock.Millis(float64(chain)*startMargin/h.fastest())
	w.turn = w.startBy + clock.Millis(h.state.Queue(w.queue).Priority)*headStart
}

// headStart is by how much a job comes before one of the next lower priority that has to start
// at the same time. It is shorter than the 75 ms that the tightest jobs can wait, so that a job
// of a lower priority comes first in the last moments before it has to start, and none starves.
const headStart = clock.Millis(50)

// startMargin is how much longer than expected the tasks of a job are allowed to take. Declared
// times are off by 40 %, and a job that ends late is worth a fifth of one in time.
const startMargin = 1.15

// chain is the longest chain of expected work.
func (h *Home) chain(w *work) clock.Millis {
	return w.Job.Chain(func(s *job.Step) clock.Millis { return h.expect(w, s) })
}

// fastest is the speed of the faster endpoints.
func (h *Home) fastest() float64 {
	best := 0.0
	for _, p := range h.ordered {
		if p.usable(h.now) {
			best = max(best, p.speed.factor())
		}
	}
	if best == 0 {
		return 1
	}
	return best
}

// adopt gives a job the runs that an earlier home started for it. Runs are found one
// endpoint after the other, so this is done again before each start.
func (h *Home) adopt(w *work) {
	for _, t := range w.tasks {
		if t.state != waiting || h.tasks[t.name] != nil {
			continue
		}
		t.run = max(t.run, h.found.lastRun(t.name))
		f, ok := h.found.claim(t.name)
		if !ok {
			continue
		}
		h.found.forget(t.name, f.place)
		w.started = true
		if f.ended {
			h.markDoneQuietly(t)
			continue
		}
		t.run, t.place = f.run, f.place
		h.confirm(t)
		t.startedAt = f.at
		t.base = h.baseAt(t, f.place)
		t.expected = f.place.speed.takes(t.base)
		t.percent, t.percentAt = f.percent, h.now
		h.occupy(t, f.place)
	}
}

func (h *Home) markDoneQuietly(t *task) {
	t.state = done
	t.work.open--
	t.work.stepsOpen[t.step]--
}

// admit returns nil for a job that is to run here, or else its outcome.
func (h *Home) admit(w *work) job.Outcome {
	if w.Part || h.settling() {
		return nil
	}
	if !h.fits(w) {
		if o := h.elsewhere(w, 0); o != nil {
			return o
		}
		return job.Refused{Reason: job.NoSuchEndpoint, RetryAfter: retryAfter}
	}
	wait, here := h.projectedWait(w)
	if wait == 0 {
		return nil
	}
	if o := h.elsewhere(w, here); o != nil {
		return o
	}
	if h.now+wait > w.startBy {
		return job.Refused{Reason: job.NoRoomInTime, RetryAfter: retryAfter}
	}
	return nil
}

// fits reports whether each step fits on some usable endpoint at all.
func (h *Home) fits(w *work) bool {
	q := h.state.Queue(w.queue)
	for i := range w.Job.Steps {
		s := &w.Job.Steps[i]
		if !slices.ContainsFunc(h.ordered, func(p *place) bool {
			return p.Service == q.Service && !p.Draining && !p.missing && p.HasLabel(s.Requires) && p.Capacity.Holds(s.Demand)
		}) {
			return false
		}
	}
	return true
}

// settling reports whether the home is too young to know its endpoints.
func (h *Home) settling() bool {
	return h.now < h.config.Now+settleTime && (len(h.ordered) == 0 || !h.allFenced())
}

// settleTime is how long the list of endpoints and their first answers may take; a round trip
// takes 2 ms, and reading the list some 20 ms.
const settleTime = clock.Millis(120)

// demand is the processor capacity that the waiting tasks of the job's first steps need.
func (w *work) demand() job.MilliCores {
	var sum job.MilliCores
	for _, t := range w.tasks {
		if t.state == waiting && len(t.stepOf().After) == 0 {
			sum += t.stepOf().Demand.CPU
		}
	}
	return sum
}

// freeing is room that a running task is expected to give back.
type freeing struct {
	at  clock.Millis
	cpu job.MilliCores
}

// projectedWait is how long it takes until the job's tasks have room, behind the jobs that
// come before it, and how many of them have room now. Room that is too small for another task
// is left out.
func (h *Home) projectedWait(w *work) (wait clock.Millis, now int) {
	need := w.demand()
	unit := w.tasks[0].stepOf().Demand
	for _, o := range h.queue {
		if o.turn <= w.turn {
			need += o.demand()
		}
	}
	var frees []freeing
	for _, p := range h.ordered {
		if p.usable(h.now) {
			need -= unit.CPU * times(p.free, unit)
		}
	}
	if need <= 0 {
		return 0, len(w.tasks)
	}
	if unit.CPU > 0 {
		now = max(0, len(w.tasks)-int((need+unit.CPU-1)/unit.CPU))
	}
	for _, p := range h.ordered {
		if p.Draining || p.missing || p.unanswered > 0 {
			continue
		}
		for _, t := range p.tasks {
			frees = append(frees, freeing{at: max(t.startedAt+t.expected, h.now+1), cpu: t.stepOf().Demand.CPU})
		}
	}
	slices.SortFunc(frees, func(a, b freeing) int { return cmp.Compare(a.at, b.at) })
	var last clock.Millis
	for _, f := range frees {
		need -= f.cpu
		last = f.at - h.now
		if need <= 0 {
			return last, now
		}
	}
	if last == 0 {
		return clock.Minute, now
	}
	// All that runs now has to end and more: the rest takes its share of further rounds.
	return 2*last + 1, now
}

// times is how many tasks of the demand fit into the room.
func times(room, demand job.Room) job.MilliCores {
	n := math.MaxInt32
	if demand.CPU > 0 {
		n = min(n, int(max(room.CPU, 0)/demand.CPU))
	}
	if demand.Memory > 0 {
		n = min(n, int(max(room.Memory, 0)/demand.Memory))
	}
	if demand.Accelerators > 0 {
		n = min(n, int(max(room.Accelerators, 0)/demand.Accelerators))
	}
	if n == math.MaxInt32 {
		return 0
	}
	return job.MilliCores(n)
}

// elsewhere finds room for a job in other cells: in one of them for the whole job, or else
// for what has no room here. Nothing is returned unless all tasks can start at once.
func (h *Home) elsewhere(w *work, here int) job.Outcome {
	if w.Hops >= hopsMost || w.started {
		return nil
	}
	cells := h.spareCells()
	unit := w.tasks[0].stepOf().Demand.CPU
	if len(cells) == 0 || unit <= 0 {
		return nil
	}
	if cells[0].spare() >= int64(w.demand())*roomFactor {
		cells[0].FreeCPU -= int64(w.demand())
		return job.Redirected{To: cells[0].Cell}
	}
	if len(w.Job.Steps) != 1 {
		return nil
	}
	var shares []job.Share
	if here > 0 {
		shares = append(shares, job.Share{Cell: h.config.Cell, Tasks: here})
	}
	left := len(w.tasks) - here
	for _, c := range cells {
		n := min(left, int(float64(c.spare())*divideShare/float64(unit)))
		if n <= 0 {
			continue
		}
		shares = append(shares, job.Share{Cell: c.Cell, Tasks: n})
		left -= n
	}
	if left > 0 {
		return nil
	}
	for _, s := range shares {
		if l := h.others[s.Cell]; l != nil {
			l.FreeCPU -= int64(unit) * int64(s.Tasks)
		}
	}
	return job.Divided{Shares: shares}
}

// divideShare is the part of another cell's free room that tasks can use: endpoints have
// rests that are too small for a task, and others see the same room.
const divideShare = 0.6

// otherLoad is the load of another cell.
type otherLoad struct{ *cell.Load }

func (l otherLoad) spare() int64 { return l.FreeCPU - l.WaitingCPU }

// spareCells lists the other cells with fresh figures, those with most room first.
func (h *Home) spareCells() []otherLoad {
	var cells []otherLoad
	for _, l := range h.others {
		if h.now-l.At <= loadFresh && l.FreeCPU > l.WaitingCPU {
			cells = append(cells, otherLoad{l})
		}
	}
	slices.SortFunc(cells, func(a, b otherLoad) int {
		return cmp.Or(cmp.Compare(b.spare(), a.spare()), cmp.Compare(a.Cell, b.Cell))
	})
	return cells
}

// loadFresh is how old the figures of another cell may be; they come every 100 ms.
const loadFresh = clock.Millis(350)

// Load returns what other homes need to know.
func (h *Home) Load(now clock.Millis) cell.Load {
	l := cell.Load{Cell: h.config.Cell, At: now}
	for _, p := range h.ordered {
		if p.Draining || p.missing {
			continue
		}
		l.TotalCPU += int64(p.Capacity.CPU)
		if p.usable(now) {
			l.FreeCPU += int64(p.free.CPU)
		}
	}
	for _, w := range h.queue {
		l.WaitingCPU += int64(w.demand())
	}
	return l
}

// Endpoints returns all endpoints where this home may have runs, those that have vanished
// from the list among them.
func (h *Home) Endpoints() []endpoint.Endpoint {
	all := make([]endpoint.Endpoint, len(h.ordered))
	for i, p := range h.ordered {
		all[i] = p.Endpoint
	}
	return all
}

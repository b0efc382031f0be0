package home

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/cell"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
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
	if earlier := h.byID[s.Job.ID]; earlier != nil {
		h.abandon(earlier, job.Superseded)
	}
	if s.Adopt {
		h.adopt(w)
	}
	if !w.started && !s.Adopt {
		if o := h.admit(w); o != nil {
			h.answers.keep(&w.Submission, o, h.now)
			h.do(Answer{Key: w.Key, Outcome: o})
			return
		}
	}
	h.works[w.Key] = w
	h.byID[w.Job.ID] = w
	en := h.entry(w.Key.Entry)
	en.works[w.Key.Seq] = w
	en.until = max(en.until, h.now+h.config.Times.Interest)
	h.enqueue(w)
	h.completeAdopted(w)
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
	w.startBy = w.objective - clock.Millis(float64(chain)/h.fastest())
}

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
		f, ok := h.found[t.name]
		if !ok || t.state != waiting || f.stoppedAt != 0 || h.tasks[t.name] != nil {
			continue
		}
		t.run = max(t.run, f.run)
		delete(h.found, t.name)
		w.started = true
		if f.ended {
			if f.how == endpoint.EndDone {
				h.markDoneQuietly(t)
			}
			continue
		}
		t.state, t.place = running, f.place
		t.startedAt, t.confirmedAt = f.at, f.at
		t.expected = clock.Millis(float64(h.expect(w, t.stepOf())) / f.place.speed.factor())
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
	if !h.fits(w) {
		if to, ok := h.roomier(w); ok {
			return job.Redirected{To: to}
		}
		return job.Refused{Reason: job.NoSuchEndpoint, RetryAfter: retryAfter}
	}
	wait := h.projectedWait(w)
	if wait == 0 || h.settling() {
		return nil
	}
	inTime := h.now+wait <= w.startBy
	if to, ok := h.roomier(w); ok {
		return job.Redirected{To: to}
	}
	if !inTime {
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
	return h.now < h.config.Now+settleTime && !h.allFenced()
}

// settleTime is how long the first answers of the endpoints may take; a round trip takes 2 ms.
const settleTime = clock.Millis(60)

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
// come before it. Room that is too small for another task is left out.
func (h *Home) projectedWait(w *work) clock.Millis {
	need := w.demand()
	unit := w.tasks[0].stepOf().Demand
	for _, o := range h.queue {
		if o.startBy <= w.startBy {
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
		return 0
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
			return last
		}
	}
	if last == 0 {
		return clock.Minute
	}
	// All that runs now has to end and more: the rest takes its share of further rounds.
	return 2*last + 1
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

// roomier finds the cell with the most free room for the job, which must be able to start
// it at once.
func (h *Home) roomier(w *work) (cell.ID, bool) {
	if w.Hops >= hopsMost || w.started {
		return "", false
	}
	need := int64(w.demand()) * roomFactor
	var best *cell.Load
	for _, id := range h.otherCells() {
		l := h.others[id]
		if h.now-l.At > loadFresh || l.FreeCPU-l.WaitingCPU < need {
			continue
		}
		if best == nil || l.FreeCPU-l.WaitingCPU > best.FreeCPU-best.WaitingCPU {
			best = l
		}
	}
	if best == nil {
		return "", false
	}
	best.FreeCPU -= int64(w.demand())
	return best.Cell, true
}

// loadFresh is how old the figures of another cell may be; they come every 100 ms.
const loadFresh = clock.Millis(350)

func (h *Home) otherCells() []cell.ID {
	ids := make([]cell.ID, 0, len(h.others))
	for id := range h.others {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

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

// Endpoints returns the endpoints of the cell that are not known to be gone.
func (h *Home) Endpoints() []datacentre.EndpointID {
	ids := make([]datacentre.EndpointID, len(h.ordered))
	for i, p := range h.ordered {
		ids[i] = p.ID
	}
	return ids
}

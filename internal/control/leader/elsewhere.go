package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// elsewhere finds room for a job in other cells: in one of them for the whole job, or else
// for what has no room here. Nothing is returned unless all tasks can start at once.
func (h *Leader) elsewhere(w *work, here int) job.Outcome {
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
	return h.divide(w, here, cells, otherLoad.spare)
}

// elsewhereSoon divides a job of which some tasks cannot start here in time among cells that
// have room for them in time, counting what is about to be given back. Wide urgent jobs fit
// into no cell at the crest of demand, while all cells together give back enough room.
func (h *Leader) elsewhereSoon(w *work, here int) job.Outcome {
	if w.Hops >= hopsMost || w.started || len(w.Job.Steps) != 1 || w.startBy-h.now < shard.ForecastHorizon+transit {
		return nil
	}
	priority := h.state.Queue(w.queue).Priority
	soon := func(l otherLoad) int64 { return l.soon(priority) }
	cells := h.freshCells()
	slices.SortFunc(cells, func(a, b otherLoad) int {
		return cmp.Or(cmp.Compare(soon(b), soon(a)), cmp.Compare(a.Cell, b.Cell))
	})
	return h.divide(w, here, cells, soon)
}

// transit is how long a job takes to another cell: answer, submission and start, each a message
// of 1 ms inside a region.
const transit = clock.Millis(5)

// divide gives the tasks that have no room here to other cells, in the order given. Nothing is
// returned unless there is room for all of them.
func (h *Leader) divide(w *work, here int, cells []otherLoad, room func(otherLoad) int64) job.Outcome {
	unit := w.tasks[0].stepOf().Demand.CPU
	if unit <= 0 {
		return nil
	}
	var shares []job.Share
	if here > 0 {
		shares = append(shares, job.Share{Cell: h.config.Cell, Tasks: here})
	}
	left := len(w.tasks) - here
	for _, c := range cells {
		n := min(left, int(float64(room(c))*divideShare/float64(unit)))
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
type otherLoad struct{ *shard.Load }

// spare is the room that no queued task takes.
func (l otherLoad) spare() int64 { return l.FreeCPU - l.WaitingCPU() }

// soon is the room that tasks of a priority find within cell.SoonSpan. Free room beside queued
// tasks is in pieces that are too small for them.
func (l otherLoad) soon(priority int) int64 {
	room := l.SoonCPU - l.WaitingBefore(priority)
	if l.WaitingCPU() == 0 || l.FreeCPU < 0 {
		room += l.FreeCPU
	}
	return room
}

// freshCells lists the other cells with fresh figures.
func (h *Leader) freshCells() []otherLoad {
	var cells []otherLoad
	for _, l := range h.others {
		if h.now-l.At <= loadFresh {
			cells = append(cells, otherLoad{l})
		}
	}
	return cells
}

// spareCells lists the other cells with unused room, those with most first.
func (h *Leader) spareCells() []otherLoad {
	cells := slices.DeleteFunc(h.freshCells(), func(l otherLoad) bool { return l.spare() <= 0 })
	slices.SortFunc(cells, func(a, b otherLoad) int {
		return cmp.Or(cmp.Compare(b.spare(), a.spare()), cmp.Compare(a.Cell, b.Cell))
	})
	return cells
}

// loadFresh is how old the figures of another cell may be; they come every 100 ms.
const loadFresh = clock.Millis(350)

// Load returns what other homes need to know.
func (h *Leader) Load(now clock.Millis) shard.Load {
	l := shard.Load{Cell: h.config.Cell, At: now}
	for _, p := range h.ordered {
		if p.Draining || p.missing {
			continue
		}
		l.TotalCPU += int64(p.Capacity.CPU)
		if p.usable(now) {
			l.FreeCPU += int64(p.free.CPU)
		}
	}
	for f := range h.ending() {
		if f.at <= now+shard.ForecastHorizon {
			l.SoonCPU += int64(f.cpu)
		}
	}
	for _, w := range h.queue {
		if q := h.state.Queue(w.queue); q != nil {
			l.AddWaiting(q.Priority, int64(w.demand()))
		}
	}
	return l
}

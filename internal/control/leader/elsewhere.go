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
func (l *Leader) elsewhere(w *work, here int) job.Outcome {
	if w.Hops >= hopsMost || w.started {
		return nil
	}
	cells := l.spareCells()
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
	return l.divide(w, here, cells, otherLoad.spare)
}

// elsewhereSoon divides a job of which some tasks cannot start here in time among cells that
// have room for them in time, counting what is about to be given back. Wide urgent jobs fit
// into no cell at the crest of demand, while all cells together give back enough room.
func (l *Leader) elsewhereSoon(w *work, here int) job.Outcome {
	if w.Hops >= hopsMost || w.started || len(w.Job.Steps) != 1 || w.startBy-l.now < shard.ForecastHorizon+transit {
		return nil
	}
	priority := l.state.Queue(w.queue).Priority
	soon := func(load otherLoad) int64 { return load.soon(priority) }
	cells := l.freshCells()
	slices.SortFunc(cells, func(a, b otherLoad) int {
		return cmp.Or(cmp.Compare(soon(b), soon(a)), cmp.Compare(a.Cell, b.Cell))
	})
	return l.divide(w, here, cells, soon)
}

// transit is how long a job takes to another cell: answer, submission and start, each a message
// of 1 ms inside a region.
const transit = clock.Millis(5)

// divide gives the tasks that have no room here to other cells, in the order given. Nothing is
// returned unless there is room for all of them.
func (l *Leader) divide(w *work, here int, cells []otherLoad, room func(otherLoad) int64) job.Outcome {
	unit := w.tasks[0].stepOf().Demand.CPU
	if unit <= 0 {
		return nil
	}
	var shares []job.Share
	if here > 0 {
		shares = append(shares, job.Share{Cell: l.config.Shard, Tasks: here})
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
		if load := l.others[s.Cell]; load != nil {
			load.FreeCPU -= int64(unit) * int64(s.Tasks)
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
func (l *Leader) freshCells() []otherLoad {
	var cells []otherLoad
	for _, load := range l.others {
		if l.now-load.At <= loadFresh {
			cells = append(cells, otherLoad{load})
		}
	}
	return cells
}

// spareCells lists the other cells with unused room, those with most first.
func (l *Leader) spareCells() []otherLoad {
	cells := slices.DeleteFunc(l.freshCells(), func(load otherLoad) bool { return load.spare() <= 0 })
	slices.SortFunc(cells, func(a, b otherLoad) int {
		return cmp.Or(cmp.Compare(b.spare(), a.spare()), cmp.Compare(a.Cell, b.Cell))
	})
	return cells
}

// loadFresh is how old the figures of another cell may be; they come every 100 ms.
const loadFresh = clock.Millis(350)

// Load returns what other homes need to know.
func (l *Leader) Load(now clock.Millis) shard.Load {
	load := shard.Load{Cell: l.config.Shard, At: now}
	for _, p := range l.ordered {
		if p.Draining || p.missing {
			continue
		}
		load.TotalCPU += int64(p.Capacity.CPU)
		if p.usable(now) {
			load.FreeCPU += int64(p.free.CPU)
		}
	}
	for f := range l.ending() {
		if f.at <= now+shard.ForecastHorizon {
			load.SoonCPU += int64(f.cpu)
		}
	}
	for _, w := range l.queue {
		if q := l.state.Queue(w.queue); q != nil {
			load.AddWaiting(q.Priority, int64(w.demand()))
		}
	}
	return load
}

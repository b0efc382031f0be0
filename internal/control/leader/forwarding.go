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
func (l *Leader) forward(j *jobState, here int) job.Outcome {
	if j.Hops >= maxForwardHops || j.started {
		return nil
	}
	cells := l.loadsWithSpareCPU()
	unit := j.tasks[0].stepSpec().Demand.CPU
	if len(cells) == 0 || unit <= 0 {
		return nil
	}
	if cells[0].spareCPU() >= int64(j.demand())*capacityFactor {
		cells[0].FreeCPU -= int64(j.demand())
		return job.Redirected{To: cells[0].Cell}
	}
	if len(j.Job.Steps) != 1 {
		return nil
	}
	return l.divide(j, here, cells, shardLoad.spareCPU)
}

// elsewhereSoon divides a job of which some tasks cannot start here in time among cells that
// have room for them in time, counting what is about to be given back. Wide urgent jobs fit
// into no cell at the crest of demand, while all cells together give back enough room.
func (l *Leader) divideByForecast(j *jobState, here int) job.Outcome {
	if j.Hops >= maxForwardHops || j.started || len(j.Job.Steps) != 1 || j.latestStart-l.now < shard.ForecastHorizon+forwardingDelay {
		return nil
	}
	priority := l.desired.Queue(j.queue).Priority
	soon := func(load shardLoad) int64 { return load.forecastCPU(priority) }
	cells := l.freshLoads()
	slices.SortFunc(cells, func(a, b shardLoad) int {
		return cmp.Or(cmp.Compare(soon(b), soon(a)), cmp.Compare(a.Cell, b.Cell))
	})
	return l.divide(j, here, cells, soon)
}

// transit is how long a job takes to another cell: answer, submission and start, each a message
// of 1 ms inside a region.
const forwardingDelay = clock.Millis(5)

// divide gives the tasks that have no room here to other cells, in the order given. Nothing is
// returned unless there is room for all of them.
func (l *Leader) divide(j *jobState, here int, cells []shardLoad, room func(shardLoad) int64) job.Outcome {
	unit := j.tasks[0].stepSpec().Demand.CPU
	if unit <= 0 {
		return nil
	}
	var shares []job.Share
	if here > 0 {
		shares = append(shares, job.Share{Cell: l.config.Shard, Tasks: here})
	}
	left := len(j.tasks) - here
	for _, c := range cells {
		n := min(left, int(float64(room(c))*usableShare/float64(unit)))
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
		if load := l.otherLoads[s.Cell]; load != nil {
			load.FreeCPU -= int64(unit) * int64(s.Tasks)
		}
	}
	return job.Divided{Shares: shares}
}

// divideShare is the part of another cell's free room that tasks can use: endpoints have
// rests that are too small for a task, and others see the same room.
const usableShare = 0.6

// otherLoad is the load of another cell.
type shardLoad struct{ *shard.Load }

// spare is the room that no queued task takes.
func (l shardLoad) spareCPU() int64 { return l.FreeCPU - l.WaitingCPU() }

// soon is the room that tasks of a priority find within cell.SoonSpan. Free room beside queued
// tasks is in pieces that are too small for them.
func (l shardLoad) forecastCPU(priority int) int64 {
	room := l.SoonCPU - l.WaitingBefore(priority)
	if l.WaitingCPU() == 0 || l.FreeCPU < 0 {
		room += l.FreeCPU
	}
	return room
}

// freshCells lists the other cells with fresh figures.
func (l *Leader) freshLoads() []shardLoad {
	var cells []shardLoad
	for _, load := range l.otherLoads {
		if l.now-load.At <= maxLoadAge {
			cells = append(cells, shardLoad{load})
		}
	}
	return cells
}

// spareCells lists the other cells with unused room, those with most first.
func (l *Leader) loadsWithSpareCPU() []shardLoad {
	cells := slices.DeleteFunc(l.freshLoads(), func(load shardLoad) bool { return load.spareCPU() <= 0 })
	slices.SortFunc(cells, func(a, b shardLoad) int {
		return cmp.Or(cmp.Compare(b.spareCPU(), a.spareCPU()), cmp.Compare(a.Cell, b.Cell))
	})
	return cells
}

// loadFresh is how old the figures of another cell may be; they come every 100 ms.
const maxLoadAge = clock.Millis(350)

// Load returns what other homes need to know.
func (l *Leader) Load(now clock.Millis) shard.Load {
	load := shard.Load{Cell: l.config.Shard, At: now}
	for _, ep := range l.sortedEndpoints {
		if ep.Draining || ep.unlisted {
			continue
		}
		load.TotalCPU += int64(ep.Capacity.CPU)
		if ep.usable(now) {
			load.FreeCPU += int64(ep.free.CPU)
		}
	}
	for f := range l.expectedReleases() {
		if f.at <= now+shard.ForecastHorizon {
			load.SoonCPU += int64(f.cpu)
		}
	}
	for _, j := range l.queue {
		if q := l.desired.Queue(j.queue); q != nil {
			load.AddWaiting(q.Priority, int64(j.demand()))
		}
	}
	return load
}

package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// forward finds capacity for a job in other shards: in one of them for the whole job, or else for
// the tasks that have no capacity here. It returns nil unless all tasks can start at once.
func (l *Leader) forward(j *jobState, localTasks int) job.Outcome {
	if j.Hops >= maxForwardHops || j.started {
		return nil
	}
	loads := l.loadsWithSpareCPU()
	taskCPU := j.Job.Steps[0].Demand.CPU
	if len(loads) == 0 || taskCPU <= 0 {
		return nil
	}
	if loads[0].spareCPU() >= int64(j.demand())*capacityFactor {
		loads[0].FreeCPU -= int64(j.demand())
		return job.Redirected{To: loads[0].Cell}
	}
	if len(j.Job.Steps) != 1 {
		return nil
	}
	return l.divide(j, localTasks, loads, shardLoad.spareCPU)
}

// divideByForecast divides a job of which some tasks cannot start here in time among shards that
// can start them in time, including the capacity that is about to be freed. At peak demand wide
// urgent jobs fit no single shard, while all shards together free enough capacity.
func (l *Leader) divideByForecast(j *jobState, localTasks int) job.Outcome {
	if j.Hops >= maxForwardHops || j.started || len(j.Job.Steps) != 1 || j.latestStart-l.now < shard.ForecastHorizon+forwardingDelay {
		return nil
	}
	priority := l.queueOf(j).Priority
	forecast := func(load shardLoad) int64 { return load.forecastCPU(priority) }
	loads := l.freshLoads()
	slices.SortFunc(loads, func(a, b shardLoad) int {
		return cmp.Or(cmp.Compare(forecast(b), forecast(a)), cmp.Compare(a.Cell, b.Cell))
	})
	return l.divide(j, localTasks, loads, forecast)
}

// forwardingDelay is how long it takes to forward a job: answer, submission and start are messages
// of 1 ms each inside a region.
const forwardingDelay = clock.Millis(5)

// divide assigns the tasks that have no capacity here to other shards, in the given order. It
// returns nil unless there is capacity for all of them.
func (l *Leader) divide(j *jobState, localTasks int, loads []shardLoad, capacity func(shardLoad) int64) job.Outcome {
	taskCPU := j.Job.Steps[0].Demand.CPU
	if taskCPU <= 0 {
		return nil
	}
	var shares []job.Share
	if localTasks > 0 {
		shares = append(shares, job.Share{Cell: l.config.Shard, Tasks: localTasks})
	}
	remaining := j.Job.Tasks() - localTasks
	for _, load := range loads {
		n := min(remaining, int(float64(capacity(load))*usableShare/float64(taskCPU)))
		if n <= 0 {
			continue
		}
		shares = append(shares, job.Share{Cell: load.Cell, Tasks: n})
		remaining -= n
	}
	if remaining > 0 {
		return nil
	}
	for _, s := range shares {
		if load := l.otherLoads[s.Cell]; load != nil {
			load.FreeCPU -= int64(taskCPU) * int64(s.Tasks)
		}
	}
	return job.Divided{Shares: shares}
}

// usableShare is the part of another shard's free capacity that tasks can use: endpoints have
// remainders that are too small for a task, and other leaders forward jobs to the same shard.
const usableShare = 0.6

// shardLoad is the load of another shard.
type shardLoad struct{ *shard.Load }

// spareCPU is the free CPU beyond the demand of the queued tasks.
func (s shardLoad) spareCPU() int64 { return s.FreeCPU - s.WaitingCPU() }

// forecastCPU is the CPU that is available to tasks of a priority within shard.ForecastHorizon.
// Free CPU does not count while tasks are queued: it is in pieces that are too small for them.
// A deficit, from jobs that were forwarded there since the report, always counts.
func (s shardLoad) forecastCPU(priority int) int64 {
	cpu := s.SoonCPU - s.WaitingBefore(priority)
	if s.WaitingCPU() == 0 || s.FreeCPU < 0 {
		cpu += s.FreeCPU
	}
	return cpu
}

// freshLoads lists the other shards whose load was reported recently.
func (l *Leader) freshLoads() []shardLoad {
	var loads []shardLoad
	for _, load := range l.otherLoads {
		if l.now-load.At <= maxLoadAge && !load.Evacuated {
			loads = append(loads, shardLoad{load})
		}
	}
	return loads
}

// loadsWithSpareCPU lists the other shards with spare CPU, in descending order.
func (l *Leader) loadsWithSpareCPU() []shardLoad {
	loads := slices.DeleteFunc(l.freshLoads(), func(load shardLoad) bool { return load.spareCPU() <= 0 })
	slices.SortFunc(loads, func(a, b shardLoad) int {
		return cmp.Or(cmp.Compare(b.spareCPU(), a.spareCPU()), cmp.Compare(a.Cell, b.Cell))
	})
	return loads
}

// maxLoadAge is how old the load of another shard may be; reports arrive every 100 ms.
const maxLoadAge = clock.Millis(350)

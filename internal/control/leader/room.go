package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// fillRoom returns the forecast of the capacity for the tasks of a service.
func (l *Leader) fillRoom(s queue.ServiceName) *forecast.Room {
	l.room.Reset(l.now)
	l.roomEndpoints = l.roomEndpoints[:0]
	for _, ep := range l.sortedEndpoints {
		from, ok := ep.takesTasksFrom(l.now)
		if !ok || ep.Service != s {
			continue
		}
		l.roomEndpoints = append(l.roomEndpoints, ep)
		l.attemptBuffer = l.attemptBuffer[:0]
		for _, t := range ep.tasks {
			l.attemptBuffer = append(l.attemptBuffer, l.forecastAttempt(t))
		}
		l.room.Add(forecast.Endpoint{Free: ep.offers(l.now), Speed: l.speedOf(ep), From: from, Rack: ep.Rack, Labels: ep.Labels}, l.attemptBuffer)
	}
	return &l.room
}

func (l *Leader) forecastAttempt(t *task) forecast.Attempt {
	a := forecast.Attempt{Demand: t.stepSpec().Demand, StartedAt: t.startedAt, Expected: t.expectedDuration, Percent: t.percent, PercentAt: t.percentAt}
	if t.phase == stopping {
		a.Expected, a.Percent = t.stopBegunAt+l.config.Timeouts.StopDuration-t.startedAt, 0
	}
	return a
}

// takesTasksFrom returns when an endpoint takes new tasks, if it is expected to.
func (ep *endpointState) takesTasksFrom(now clock.Millis) (clock.Millis, bool) {
	if ep.usable(now) {
		return now, true
	}
	from := max(ep.usableFrom, ep.blockedUntil, ep.cappedLeaseEnd, ep.health.ejectedUntil)
	return from, from > now && ep.releases() && !ep.isolated() && !ep.unguarded
}

// releases reports whether other tasks can use what is released here.
func (ep *endpointState) releases() bool {
	return !ep.Draining && !ep.unlisted && ep.unansweredHolds == 0
}

// hasCapacityNow reports whether all waiting tasks of a job can start at once and end in time.
func (l *Leader) hasCapacityNow(j *jobState) bool {
	tasks := &j.plan.Tasks
	minSpeed, service, n := j.plan.MinSpeed(l.now), l.queueOf(j).Service, 0
	for _, ep := range l.sortedEndpoints {
		if ep.Service != service || !ep.takes(tasks.Demand, l.now) || !ep.usable(l.now) || !ep.HasLabel(tasks.Requires) {
			continue
		}
		if speed := tasks.SpeedAt(l.speedOf(ep), ep.Rack); speed < minSpeed {
			continue
		}
		if n += ep.tasksThatFit(tasks.Demand, l.now); n >= tasks.Count {
			return true
		}
	}
	return false
}

// Load returns the load of this shard, for the leaders of other shards.
func (l *Leader) Load(now clock.Millis) shard.Load {
	free, total := l.capacity(now)
	load := shard.Load{Cell: l.config.Shard, LinkDelay: l.linkDelay(), Evacuated: l.isEvacuated(), At: now, FreeCPU: int64(free), TotalCPU: int64(total)}
	for _, ep := range l.sortedEndpoints {
		if ep.releases() {
			load.SoonCPU += int64(l.releasedSoon(ep, now))
		}
	}
	for _, j := range l.queue {
		load.AddWaiting(l.queueOf(j).Priority, int64(j.demand()))
	}
	return load
}

// capacity is the free and the total CPU of the endpoints of the shard.
func (l *Leader) capacity(now clock.Millis) (free, total job.MilliCores) {
	for _, ep := range l.sortedEndpoints {
		if ep.Draining || ep.unlisted {
			continue
		}
		total += ep.Capacity.CPU
		if ep.usable(now) {
			free += max(ep.usableCPU(now), 0)
		}
	}
	return free, total
}

// releasedSoon is the CPU that an endpoint is expected to free within shard.ForecastHorizon. Other tasks
// cannot use what exceeds its capacity, if that has shrunk.
func (l *Leader) releasedSoon(ep *endpointState, now clock.Millis) job.MilliCores {
	sum := min(ep.free.CPU, 0)
	for _, t := range ep.tasks {
		if a := l.forecastAttempt(t); a.End(now).At <= now+shard.ForecastHorizon {
			sum += a.Demand.CPU
		}
	}
	return max(sum, 0)
}

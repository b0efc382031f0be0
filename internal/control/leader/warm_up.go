package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// warmUpSteps is the number of steps in which the load of a cold endpoint grows to its capacity.
	warmUpSteps = 4
	// initialColdSpeed is the speed of cold endpoints that is assumed before any was measured. A low one only sends
	// jobs elsewhere that may be late.
	initialColdSpeed = 0.5
)

// warmUp is the time for which an endpoint is cold, as its entries say.
type warmUp struct {
	// from is when the leader learned of it, and until when it is expected to end.
	from, until clock.Millis
	// reported is what the latest entry said, and reportedIn the incarnation that said it.
	reported   clock.Millis
	reportedIn endpoint.Incarnation
}

// update applies an entry of the list and reports whether a warm-up begins. An entry that is read again has said the
// same before.
func (w *warmUp) update(coldFor clock.Millis, in endpoint.Incarnation, now clock.Millis) (begins bool) {
	if in != w.reportedIn {
		*w = warmUp{reportedIn: in}
	}
	if coldFor == w.reported {
		return false
	}
	begins = now >= w.until && coldFor > 0
	if begins {
		w.from = now
	}
	w.reported, w.until = coldFor, now+coldFor
	return begins
}

// share is the part of the capacity that may be used.
func (w *warmUp) share(now clock.Millis) float64 {
	if now >= w.until {
		return 1
	}
	step := 1 + (now-w.from)*warmUpSteps/(w.until-w.from)
	return float64(min(step, warmUpSteps)) / warmUpSteps
}

// isCold reports whether tasks take longer here for a while.
func (ep *endpointState) isCold(now clock.Millis) bool { return now < ep.warmUp.until }

// takes reports whether there is capacity for a task. A cold endpoint that is empty takes any task that fits.
func (ep *endpointState) takes(demand job.Resources, now clock.Millis) bool {
	return ep.free.Fits(demand) && (!ep.isCold(now) || ep.empty() || demand.CPU <= ep.usableCPU(now))
}

// usableCPU is the free CPU that new tasks may use. It is negative if the capacity has shrunk below what runs here.
func (ep *endpointState) usableCPU(now clock.Millis) job.MilliCores {
	if !ep.isCold(now) {
		return ep.free.CPU
	}
	heldBack := float64(ep.Capacity.CPU) * (1 - ep.warmUp.share(now))
	return min(ep.free.CPU, max(ep.free.CPU-job.MilliCores(heldBack), 0))
}

// tasksThatFit is how many tasks of the demand there is capacity for.
func (ep *endpointState) tasksThatFit(demand job.Resources, now clock.Millis) int {
	usable := ep.free
	usable.CPU = ep.usableCPU(now)
	n := usable.Count(demand)
	if n == 0 && ep.takes(demand, now) {
		return 1
	}
	return n
}

// offers is what a forecast may count on. An empty cold endpoint takes a task of any size.
func (ep *endpointState) offers(now clock.Millis) job.Resources {
	r := ep.free
	if !ep.empty() {
		r.CPU = ep.usableCPU(now)
	}
	return r
}

// newColdSpeed returns the estimate of the speed of cold endpoints, as a factor of their speed when they are warm.
func newColdSpeed() speed { return speed{logMean: math.Log(initialColdSpeed)} }

// speedOf is the expected speed of an endpoint for a task that starts now.
func (l *Leader) speedOf(ep *endpointState) float64 {
	if !ep.isCold(l.now) {
		return ep.speed.factor()
	}
	return ep.speed.factor() * min(l.coldSpeed.factor(), 1)
}

// durationAt is the expected duration at an endpoint of work that takes base at speed 1.
func (l *Leader) durationAt(ep *endpointState, base clock.Millis) clock.Millis {
	return clock.Millis(float64(base) / l.speedOf(ep))
}

// recordSpeed adds the duration of an attempt to the estimate of its endpoint's speed, or to that of cold ones.
func (l *Leader) recordSpeed(t *task, ep *endpointState, measured clock.Millis) {
	if t.startedCold {
		l.coldSpeed.record(ep.speed.duration(t.baseDuration), measured)
		return
	}
	ep.speed.record(t.baseDuration, measured)
}

// avoidCold sends a job to where there is capacity if it would be late here because the usable endpoints are cold.
func (l *Leader) avoidCold(j *jobState) job.Outcome {
	cold := false
	for _, ep := range l.sortedEndpoints {
		if ep.usable(l.now) {
			if !ep.isCold(l.now) {
				return nil
			}
			cold = true
		}
	}
	if !cold || l.now <= j.latestStart {
		return nil
	}
	return l.forward(j, 0)
}

package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// applyHolds takes over what the latest plan keeps free at the endpoints of its room. The first hold of
// an endpoint is that of the job that ranks highest.
func (l *Leader) applyHolds() {
	for _, ep := range l.roomEndpoints {
		ep.hold = admission.Hold{}
	}
	for _, h := range l.planner.Holds() {
		if ep := l.roomEndpoints[h.Endpoint]; ep.hold.For == nil {
			ep.hold = h
		}
	}
}

// releaseHolds removes what is held for a job.
func (l *Leader) releaseHolds(j *jobState) {
	for _, ep := range l.sortedEndpoints {
		if ep.hold.For == &j.plan {
			ep.hold = admission.Hold{}
		}
	}
}

// allows reports whether a task may take resources of the endpoint that may be held for another job.
func (ep *endpointState) allows(t *task, until clock.Millis) bool {
	return ep.hold.For == nil || ep.hold.Allows(&t.job.plan, until)
}

// useHeld records that a task starts at an endpoint.
func (ep *endpointState) useHeld(t *task) {
	switch ep.hold.For {
	case nil:
	case &t.job.plan:
		ep.hold = admission.Hold{}
	default:
		ep.hold.Spare = ep.hold.Spare.Minus(t.stepSpec().Demand)
	}
}

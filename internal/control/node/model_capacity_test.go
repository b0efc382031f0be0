package node_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// capacityReport is a capacity that an endpoint has reported to the store.
type capacityReport struct {
	at       micros
	capacity job.MilliCores
}

// capacityGrace is how long after a report a smaller capacity binds: the time after which a VM is in
// touch and one heartbeat.
const capacityGrace = 3*second + modelHeartbeat

// chooseCapacity sets the capacity of a new life, which may be of another size.
func (e *modelEndpoint) chooseCapacity() {
	e.capacity = modelCapacity
	if e.world.options.enabled(faultShrink) && e.life > 1 {
		e.capacity = modelDemand * job.MilliCores(1+e.random.IntN(int(modelCapacity/modelDemand)))
	}
	e.reported = []capacityReport{{e.world.now, e.capacity}}
}

// injectShrink lets the capacity of an endpoint shrink or grow. Its next row shows that.
func injectShrink(w *world, random *rand.Rand) {
	if e := w.pickEndpoint(random); e != nil {
		e.capacity = modelDemand * job.MilliCores(random.IntN(int(modelCapacity/modelDemand)+1))
		w.trace.add(record{endpoint: e.id, format: "FAULT capacity is %d", args: []any{e.capacity}})
	}
}

// recordReport records that the store has a row of the endpoint.
func (e *modelEndpoint) recordReport(row endpoint.Endpoint) {
	if row.Born == e.born && row.Capacity.CPU != e.reported[len(e.reported)-1].capacity {
		e.reported = append(e.reported, capacityReport{e.world.now, row.Capacity.CPU})
		e.world.trace.add(record{endpoint: e.id, format: "reports capacity %d", args: []any{row.Capacity.CPU}})
	}
}

// allowedCapacity is the largest capacity that a leader may take the endpoint to have.
func (e *modelEndpoint) allowedCapacity() job.MilliCores {
	allowed := e.capacity
	for i := len(e.reported) - 1; i >= 0; i-- {
		allowed = max(allowed, e.reported[i].capacity)
		if e.reported[i].at <= e.world.now-capacityGrace {
			break
		}
	}
	return allowed
}

// hasCapacityFor reports whether the endpoint accepts a start. One that does not guard its capacity
// does, and the start breaks a rule if it brings the endpoint over its capacity. What an earlier life
// was meant to start does not count, since its leader knows nothing of this one.
func (e *modelEndpoint) hasCapacityFor(s leader.Start) bool {
	needed := job.MilliCores(len(e.attempts)+1) * modelDemand
	if !e.world.options.enabled(faultShrink) {
		return needed <= modelCapacity
	}
	if allowed := e.allowedCapacity(); needed > allowed && s.Endpoint.Born == e.born && e.world.violation == "" {
		a := &modelAttempt{endpoint: e, life: e.life, task: s.Task, number: s.Attempt, token: s.Token, startedAt: e.world.now}
		e.world.violation = fmt.Sprintf("a start brings an endpoint to %d of %d: %v", needed, allowed, a)
		e.world.trace.fail(a, a)
	}
	return true
}

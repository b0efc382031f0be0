package node_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// world is a simulated deployment: entry VMs, endpoints, a store, callers and the network between
// them. It has a clock of its own and is deterministic for a seed.
type world struct {
	options      modelOptions
	seed         uint64
	now          micros
	order        int
	pending      eventHeap
	network      *network
	store        *modelStore
	endpoints    []*modelEndpoint
	vms          []*modelVM
	callers      *modelCallers
	deadly       *modelDeadly
	requirements *modelRequirements

	cancellations *modelCancellations
	trace         modelTrace
	// live holds the attempts of each task that have started and are not known to have ended.
	live map[job.TaskName][]*modelAttempt
	// violation describes the first broken rule.
	violation string
	stats     modelStats
}

const (
	modelService = queue.ServiceName("playout")
	modelQueue   = queue.Name("swap")
)

var modelDataCentres = []datacentre.ID{"centro", "norte", "sur"}

// newWorld returns a deployment at rest. The numbers of data centres, VMs and endpoints depend on
// the seed.
func newWorld(seed uint64, o modelOptions) *world {
	w := &world{options: o, seed: seed, live: make(map[job.TaskName][]*modelAttempt)}
	w.trace.world = w
	w.network = newNetwork(w)
	w.store = newModelStore(w)
	w.callers = newModelCallers(w)
	w.deadly = newModelDeadly(w)
	w.requirements = newModelRequirements(w)
	w.cancellations = newModelCancellations(w)
	random := w.random("layout")
	dataCentres := modelDataCentres[:2+random.IntN(2)]
	w.store.put(tableOperator, "config", queue.NewState(1, []queue.Queue{
		{Name: modelQueue, Host: "h", Path: "/q/", Service: modelService, MaxAttempts: modelMaxAttempts, Stretch: 3, Allowance: 400},
	}, map[queue.ServiceName]queue.Service{modelService: {Name: modelService, GuardsRoom: !o.enabled(faultShrink)}}, queue.Limits{}), -1)
	for _, dc := range dataCentres {
		for i := range o.shape.vms + random.IntN(o.shape.moreVMs) {
			w.vms = append(w.vms, newModelVM(w, fmt.Sprintf("%s%d", dc, i), dc, 300+random.IntN(3)*100))
		}
		for range o.shape.endpoints + random.IntN(o.shape.moreEndpoints) {
			w.addEndpoint(dc)
		}
	}
	for _, e := range w.endpoints {
		e.start(micros(random.Int64N(100_000)) * ms)
	}
	for _, v := range w.vms {
		w.after(micros(random.Int64N(300))*ms, v.start)
	}
	return w
}

func (w *world) addEndpoint(dc datacentre.ID) *modelEndpoint {
	e := newModelEndpoint(w, datacentre.EndpointID(fmt.Sprintf("e-%s-%d", dc, len(w.endpoints))), dc)
	w.endpoints = append(w.endpoints, e)
	return e
}

// random returns a generator for one purpose, so that the draws for one do not depend on the order
// of events of another.
func (w *world) random(purpose string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

// after calls do after a delay.
func (w *world) after(delay micros, do func()) {
	w.order++
	heap.Push(&w.pending, simEvent{at: w.now + max(delay, 0), order: w.order, do: do})
}

// run executes the events up to a point in time, or until a rule is broken.
func (w *world) run(until micros) {
	for w.violation == "" && len(w.pending) > 0 && w.pending[0].at <= until {
		e := heap.Pop(&w.pending).(simEvent)
		w.now = e.at
		w.stats.events++
		e.do()
	}
	w.now = max(w.now, until)
}

// attemptStarted checks that no other attempt of the task is running on an endpoint that is up. The
// number of simultaneous attempts grows only here.
func (w *world) attemptStarted(a *modelAttempt) {
	w.stats.starts++
	var running []*modelAttempt
	for _, other := range w.live[a.task] {
		other.endpoint.refresh()
		if other.running() {
			running = append(running, other)
		}
	}
	if len(running) > 0 && w.violation == "" {
		w.violation = fmt.Sprintf("two attempts of %s at the same time: %v and %v", a.task, running[0], a)
		w.trace.fail(a, running[0])
	}
	w.live[a.task] = append(running, a)
	w.deadly.attemptStarted(a)
}

// crashFound checks that an incarnation that a leader takes for crashed is not up.
func (w *world) crashFound(v *modelVM, d *leader.LogDecision) {
	w.stats.crashes++
	crash := d.Details.(*leader.EndpointCrash)
	if e := w.endpoint(d.Endpoint.ID); e != nil && e.up && e.born == crash.Incarnation && w.violation == "" {
		w.violation = fmt.Sprintf("%s takes %s for crashed, which is up, at %s: %+v", v.name, e.id, formatTime(w.now), crash)
	}
}

package node_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// modelVM is an entry VM: its control state, and what the daemon does around it.
type modelVM struct {
	world  *world
	name   string
	dc     datacentre.ID
	cpu    int
	random *rand.Rand
	// endpointsFollower follows the list of endpoints, and operatorFollower the operator's table.
	endpointsFollower, operatorFollower *modelFollower

	up bool
	// gone means that the VM does not start any more.
	gone bool
	// silent means that a VM that is down does not refuse connections either.
	silent bool
	life   int
	self   shard.VM
	// clockOffset is the difference between the VM's clock and that of the world.
	clockOffset micros
	control     *node.Control
	frozenUntil micros
	// pausedAt is when the latest freeze began.
	pausedAt micros
	// freezeAtStart freezes the VM right after the next event that starts an attempt.
	freezeAtStart micros
	slowUntil     micros
	// storeLost is the latest report on the store, and storeFoundAt when it last became false.
	storeLost    bool
	storeFoundAt micros
	// startedAt is when the process started, and terminatedAt when it was last told to end.
	startedAt, terminatedAt micros
	drain                   modelDrain

	// What the traffic goroutines read, as of the last publication.
	publishedEndpoints                                []endpoint.Endpoint
	publishedVersion                                  int64
	publishedMember, publishedLeading, publishedReady bool

	// tracedList is the list of endpoints as of the last record of its changes.
	tracedList []endpoint.Endpoint

	// waiters are the requests that the control state has received and not answered.
	waiters []modelWaiter
	// open are the peers' calls that this VM has received and not answered.
	open map[*exchange]bool
	// callers are the requests of callers that are connected.
	callers map[*callerRequest]bool
}

const (
	tickBusy       = 10 * ms
	tickIdle       = 40 * ms
	modelGrace     = 6 * second
	acceptShare    = 0.5
	finishShare    = 0.9
	modelHandOver  = clock.Millis(4200)
	modelSuccessor = 3
)

func newModelVM(w *world, name string, dc datacentre.ID, cpu int) *modelVM {
	return &modelVM{world: w, name: name, dc: dc, cpu: cpu, random: w.random("vm " + name)}
}

// start starts a process with a new incarnation and no state.
func (v *modelVM) start() {
	if v.up || v.gone {
		return
	}
	v.life++
	v.up, v.silent, v.frozenUntil, v.freezeAtStart, v.startedAt = true, false, 0, 0, v.world.now
	v.clockOffset = second * micros(1000+v.random.IntN(100_000))
	v.publishedEndpoints, v.publishedVersion, v.publishedMember, v.publishedLeading, v.publishedReady = nil, 0, false, false, false
	v.storeLost, v.storeFoundAt = false, v.world.now
	v.drain = modelDrain{}
	v.tracedList, v.waiters, v.open, v.callers = nil, nil, make(map[*exchange]bool), make(map[*callerRequest]bool)
	v.self = shard.VM{
		Member:     shard.Member{Incarnation: vm.NewIncarnation(vm.ID(v.name), fmt.Sprintf("%04d", v.life)), Address: v.name},
		DataCentre: v.dc, CPU: v.cpu,
	}
	dcs, shape := make(map[datacentre.ID]bool), v.world.options.shape
	config := node.Config{
		Self: v.self, Timeouts: leader.DefaultTimeouts(shape.longestLease, shape.stop, shape.resend, shape.drainNotice), FarFactor: 1.5,
		Successors: modelSuccessor, HandOverTimeout: modelHandOver, Now: v.clock(),
	}
	for _, o := range v.world.vms {
		if !dcs[o.dc] {
			dcs[o.dc] = true
			config.DataCentres = append(config.DataCentres, o.dc)
			config.Seeds = append(config.Seeds, o.name)
		}
	}
	operatorFeedWait := desiredFeedWait
	if v.world.options.enabled(faultEvacuate) {
		config.Timeouts.EvacuationNotice = shape.evacuationNotice
		operatorFeedWait = min(operatorFeedWait, fromMillis(config.Timeouts.MaxEvacuationAge())*3/10)
	}
	v.world.options.shape.applyBounds(&config)
	v.control = node.New(config)
	v.world.trace.add(record{vm: v.name, format: "VM starts: %s", args: []any{v.self.Incarnation}})
	v.follow(tableOperator, operatorFeedWait, func() micros { return noPause })
	v.follow(tableVMs, feedWait, func() micros { return noPause })
	v.follow(tableReplicaSets, feedWait, func() micros { return noPause })
	v.follow(tableEndpoints, endpointsFeedWait, v.endpointsPause)
	v.loadAllCrashes()
	v.tick(v.life)
}

// kill ends the process. Unless the VM becomes silent, those that are connected notice it.
func (v *modelVM) kill(silent bool) {
	if !v.up {
		return
	}
	v.up, v.silent = false, silent
	v.life++
	v.world.trace.add(record{vm: v.name, format: "VM killed, silent %v", args: []any{silent}})
	for _, r := range sortedRequests(v.callers) {
		if !silent {
			v.world.network.send(v.name, callerName, r.broken)
		}
	}
	for _, x := range sortedExchanges(v.open) {
		if !silent {
			x.breakFrom(v.name)
		}
	}
}

// shutDown ends the process within the grace period. It is told so once.
func (v *modelVM) shutDown() {
	if v.drain.terminated {
		return
	}
	v.world.trace.add(record{vm: v.name, format: "VM shuts down"})
	life := v.life
	v.terminatedAt, v.drain.terminated = v.world.now, true
	v.world.after(modelGrace, func() { v.end(life) })
	v.post(life, node.ShutdownRequested{FinishBy: v.clock() + clock.Millis(micros(float64(modelGrace)*finishShare)/ms)})
	v.later(micros(float64(modelGrace)*acceptShare), func() { v.awaitIdle(life) })
	v.later(micros(float64(modelGrace)*finishShare), func() { v.exit(life) })
}

func (v *modelVM) awaitIdle(life int) {
	if v.control.Idle() && len(v.callers) == 0 {
		v.exit(life)
		return
	}
	v.later(25*ms, func() { v.awaitIdle(life) })
}

func (v *modelVM) exit(life int) {
	v.whenRunning(life, func() {
		v.handle(node.ShutdownOverdue{})
		v.later(50*ms, func() { v.end(life) })
	})
}

// end ends a process that has been told to end.
func (v *modelVM) end(life int) {
	if v.life != life {
		return
	}
	v.kill(false)
	if next := v.drain.next; next != nil {
		next()
	}
}

func (v *modelVM) clock() clock.Millis { return clock.Millis((v.world.now + v.clockOffset) / ms) }

// whenRunning calls do at once, or when the VM is no longer frozen, unless the life has ended.
func (v *modelVM) whenRunning(life int, do func()) {
	switch {
	case v.life != life || !v.up:
	case v.world.now < v.frozenUntil:
		// Goroutines that wake up together run in any order.
		v.world.after(v.frozenUntil-v.world.now+1+micros(v.random.Int64N(2000)), func() { v.whenRunning(life, do) })
	default:
		do()
	}
}

// later calls do after a delay, if the process still runs then.
func (v *modelVM) later(delay micros, do func()) {
	life := v.life
	v.world.after(delay, func() { v.whenRunning(life, do) })
}

// executionDelay is how long a goroutine takes from an action to its first call.
func (v *modelVM) executionDelay() micros {
	delay := micros(20 + v.random.Int64N(150))
	if v.world.now < v.slowUntil {
		delay += micros(v.random.Int64N(40)) * ms
	}
	return delay
}

// post passes an event to the control state.
func (v *modelVM) post(life int, e node.Event) {
	v.whenRunning(life, func() { v.handle(e) })
}

func (v *modelVM) handle(e node.Event) {
	actions := v.control.Handle(v.clock(), e)
	// The requests of one event are sent by goroutines that run in any order. A fixed one keeps the
	// simulation reproducible.
	slices.SortStableFunc(actions, func(a, b node.Action) int { return cmp.Compare(requestName(a), requestName(b)) })
	if v.freezeAtStart > 0 && slices.ContainsFunc(actions, isStart) {
		v.freeze(v.freezeAtStart)
		v.freezeAtStart = 0
	}
	v.traceList()
	for _, a := range actions {
		v.execute(a)
	}
	v.waiters = slices.DeleteFunc(v.waiters, func(w modelWaiter) bool { return w.answered() })
	v.drain.record(e)
	v.checkAnswered()
	switch e.(type) {
	case node.Tick:
		v.publish()
		v.publishedMember, v.publishedLeading = v.control.InReplicaSet()
		v.publishedReady = v.control.Ready()
	case node.DesiredStateLoaded, node.EndpointsLoaded:
		v.publish()
	default:
	}
}

// traceList records which endpoints the VM has learnt of or dropped.
func (v *modelVM) traceList() {
	list, _ := v.control.Endpoints()
	if len(list) == len(v.tracedList) && (len(list) == 0 || &list[0] == &v.tracedList[0]) {
		return
	}
	for _, e := range list {
		if !containsEndpoint(v.tracedList, e.ID) {
			v.world.trace.add(record{vm: v.name, endpoint: e.ID, format: "%s lists the endpoint", args: []any{v.name}})
		}
	}
	for _, e := range v.tracedList {
		if !containsEndpoint(list, e.ID) {
			v.world.trace.add(record{vm: v.name, endpoint: e.ID, format: "%s drops the endpoint from its list", args: []any{v.name}})
		}
	}
	v.tracedList = list
}

func containsEndpoint(list []endpoint.Endpoint, id datacentre.EndpointID) bool {
	return slices.ContainsFunc(list, func(e endpoint.Endpoint) bool { return e.ID == id })
}

func (v *modelVM) publish() {
	if e, version := v.control.Endpoints(); version != v.publishedVersion {
		v.publishedEndpoints, v.publishedVersion = e, version
	}
}

func (v *modelVM) tick(life int) {
	if v.life != life || !v.up {
		return
	}
	if v.world.now < v.frozenUntil {
		delay := v.frozenUntil - v.world.now
		if v.world.options.enabled(faultThawOrder) {
			delay += micros(v.random.Int64N(2000))
		}
		v.world.after(delay, func() { v.tick(life) })
		return
	}
	v.handle(node.Tick{})
	next := tickIdle
	if v.control.Busy() {
		next = tickBusy
	}
	v.world.after(next+micros(v.random.Int64N(1000)), func() { v.tick(life) })
}

func (v *modelVM) freeze(duration micros) {
	if v.world.now >= v.frozenUntil {
		v.pausedAt = v.world.now
	}
	v.frozenUntil = max(v.frozenUntil, v.world.now+duration)
	v.world.trace.add(record{vm: v.name, format: "VM frozen until %s", args: []any{formatTime(v.frozenUntil)}})
}

// waitsSince returns the earliest time at which a request that is read now may have arrived.
func (v *modelVM) waitsSince() clock.Millis {
	if paused := v.frozenUntil - v.pausedAt; paused <= maxEventInterval || v.world.now >= v.frozenUntil+requestSettlePeriod {
		return v.clock()
	}
	return clock.Millis((v.pausedAt + v.clockOffset) / ms)
}

func isStart(a node.Action) bool {
	l, ok := a.(node.LeaderAction)
	if !ok {
		return false
	}
	_, ok = l.Action.(leader.Start)
	return ok
}

// requestName identifies a request to an endpoint among those of one event; other actions have none.
func requestName(a node.Action) string {
	l, ok := a.(node.LeaderAction)
	if !ok {
		return ""
	}
	switch r := l.Action.(type) {
	case leader.Start:
		return fmt.Sprint("start ", l.Shard, r.Endpoint.ID, r.Task, r.Attempt)
	case leader.Stop:
		return fmt.Sprint("stop ", l.Shard, r.Endpoint.ID, r.Task, r.Attempt)
	case leader.Hold:
		return fmt.Sprint("hold ", l.Shard, r.Endpoint.ID, r.Kind)
	default:
		return ""
	}
}

// await answers a peer's call once the control state has replied.
func await[T any](v *modelVM, x *exchange, replies <-chan T, result func(T)) {
	v.open[x] = true
	v.waiters = append(v.waiters, modelWaiter{call: x, answered: poll(replies, func(reply T) {
		delete(v.open, x)
		x.answer(func() { result(reply) })
	})})
}

// awaitOutcome passes on the outcome of a caller's request once the control state has it.
func awaitOutcome[T any](v *modelVM, id job.ID, request string, outcomes <-chan T, do func(T)) {
	v.waiters = append(v.waiters, modelWaiter{request: request, job: id, answered: poll(outcomes, do)})
}

// poll returns a function that passes on the answer of a channel and reports whether there was one.
func poll[T any](answers <-chan T, do func(T)) func() bool {
	return func() bool {
		select {
		case a := <-answers:
			do(a)
			return true
		default:
			return false
		}
	}
}

package node_test

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// exchange is a call of a VM to an endpoint, a peer or the store. Exactly one result reaches the VM:
// the answer, a failure or a timeout.
type exchange struct {
	// id orders calls by when they were made.
	id   int
	vm   *modelVM
	life int
	to   string
	done bool
	// resets means that the connection is reset when the call ends.
	resets bool
	// submission is that which the call passes on, or empty; replaced means that a later call has passed it on again and
	// waits for its outcome.
	submission job.Submission
	replaced   bool
	// beforeSend is called when the request is due, and reports whether it may still be sent; it may
	// be nil.
	beforeSend func() bool
	// fail receives why there was no answer.
	fail func(exchangeFailure)
}

// exchangeFailure is why a call had no answer.
type exchangeFailure int

const (
	callTimedOut exchangeFailure = iota
	// callBroken means that the connection broke after the request had been sent.
	callBroken
	// callNotSent means that no connection could be opened in time.
	callNotSent
	// callRefused means that no process listens at the address, or that the link resets connections.
	callRefused
	// callOtherInstance means that another instance listens at the address.
	callOtherInstance
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 60 * ms

// newExchange sends a request on a goroutine of its own, so that a freeze may delay it. life numbers
// the processes at the other end: what a connection to one of them holds does not reach the next.
func (v *modelVM) newExchange(to string, limit micros, life func() int, arrive func(*exchange), fail func(exchangeFailure)) *exchange {
	v.world.order++
	x := &exchange{id: v.world.order, vm: v, life: v.life, to: to, fail: fail}
	v.later(v.executionDelay(), func() {
		if x.beforeSend != nil && !x.beforeSend() {
			x.finish(func() { fail(callNotSent) })
			return
		}
		v.later(limit, func() { x.finish(func() { fail(callTimedOut) }) })
		if v.world.network.resets(v.name, to) {
			v.later(ms, func() { x.finish(func() { fail(callRefused) }) })
			return
		}
		sentAt, connectedTo := v.world.now, life()
		// Connections to endpoints are reset when a call has ended or its VM has.
		reset := func() bool { return x.resets && (x.done || v.life != x.life) }
		sent := v.world.network.sendUnlessReset(v.name, to, func() {
			// A connection that is being opened may reach the next process.
			if life() != connectedTo && v.world.now > sentAt+dialTimeout {
				x.answer(func() { fail(callBroken) })
				return
			}
			arrive(x)
		}, reset)
		if !sent && v.world.network.link(v.name, to).random.IntN(2) == 0 {
			v.later(min(dialTimeout, limit), func() { x.finish(func() { fail(callNotSent) }) })
		}
	})
	return x
}

// answer returns a result over the network to the VM.
func (x *exchange) answer(result func()) {
	x.vm.world.network.send(x.to, x.vm.name, func() { x.receive(result) })
}

// receive lets the VM process a result once it runs.
func (x *exchange) receive(result func()) {
	if x.vm.life == x.life {
		x.vm.whenRunning(x.life, func() { x.finish(result) })
	}
}

func (x *exchange) finish(result func()) {
	if !x.done {
		x.done = true
		result()
	}
}

// breakFrom tells the VM that the process at the other end has ended.
func (x *exchange) breakFrom(from string) {
	x.vm.world.network.send(from, x.vm.name, func() { x.receive(func() { x.fail(callBroken) }) })
}

// refuse tells the VM that no process listens at the address.
func (x *exchange) refuse() { x.answer(func() { x.fail(callRefused) }) }

// sortedExchanges returns calls in a fixed order.
func sortedExchanges(open map[*exchange]bool) []*exchange {
	return slices.SortedFunc(maps.Keys(open), func(a, b *exchange) int { return cmp.Compare(a.id, b.id) })
}

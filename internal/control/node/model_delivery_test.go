package node_test

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

func (w *world) endpoint(id datacentre.EndpointID) *modelEndpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// lifeOf returns the life of an endpoint at the time of the call. Nothing is at the addresses of the
// rows that other writers add.
func (v *modelVM) lifeOf(id datacentre.EndpointID) func() int {
	e := v.world.endpoint(id)
	if e == nil {
		return onlyLife
	}
	return func() int { return e.life }
}

// onlyLife is that of the store, which never restarts.
func onlyLife() int { return 1 }

// atEndpoint carries out an order at an endpoint when it arrives, or seconds later and without an
// answer.
func (v *modelVM) atEndpoint(id datacentre.EndpointID, carryOut func(e *modelEndpoint, respond func(func()))) func(*exchange) {
	return func(x *exchange) {
		e := v.world.endpoint(id)
		switch {
		case e != nil && e.successor != nil && e.successor.up:
			x.answer(func() { x.fail(callOtherInstance) })
			return
		case e == nil || e.gone:
			return
		case !e.up:
			x.refuse()
			return
		case v.world.now < e.lateUntil && e.random.IntN(2) == 0:
			e.carryOutLate(carryOut)
			return
		}
		e.open[x] = true
		carryOut(e, func(result func()) {
			delete(e.open, x)
			x.answer(result)
		})
	}
}

// carryOutLate carries out an order 2 to 12 seconds later. A life that began meanwhile does so only if
// faultNextLife is enabled.
func (e *modelEndpoint) carryOutLate(carryOut func(e *modelEndpoint, respond func(func()))) {
	life := e.life
	e.world.after(2*second+micros(e.random.Int64N(int64(10*second))), func() {
		if !e.up || e.life != life && !e.world.options.enabled(faultNextLife) {
			return
		}
		e.world.trace.add(record{endpoint: e.id, format: "carries out a late order of life %d in life %d", args: []any{life, e.life}})
		carryOut(e, func(func()) {})
	})
}

package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// faultCancel lets callers cancel some jobs. Copies of their submissions arrive later.
	faultCancel faultKind = "cancel"
	// cancelledJobs is how many jobs there are for each one that is cancelled.
	cancelledJobs = 6
	// maxCancelDelay and maxCopyDelay bound how long after its submission a job is cancelled, and how long after
	// the answer a copy of the submission is sent.
	maxCancelDelay = 1500 * ms
	maxCopyDelay   = 9 * second
	cancelCopies   = 2
	// cancelResend is how long after a cancellation without a confirmation the next one is sent.
	cancelResend = 500 * ms
	maxCancels   = 8
	// cancelGrace is how long after the confirmation a task may still be started.
	cancelGrace = 3 * second
	cancelLimit = 2 * second
)

// modelCancellations cancels jobs.
type modelCancellations struct {
	// inTouchOnly leaves out the starts by VMs that are not in touch, which the rule allows.
	inTouchOnly bool
	world       *world
	random      *rand.Rand
	// requestedAt is when a caller first cancelled a job, and confirmedAt when a VM confirmed that.
	requestedAt, confirmedAt map[job.ID]micros
}

func newModelCancellations(w *world) *modelCancellations {
	return &modelCancellations{world: w, random: w.random("cancel"), requestedAt: make(map[job.ID]micros), confirmedAt: make(map[job.ID]micros)}
}

// choose has some jobs cancelled.
func (c *modelCancellations) choose(j job.Job, limit micros) {
	if !c.world.options.enabled(faultCancel) || c.random.IntN(cancelledJobs) != 0 {
		return
	}
	c.world.after(micros(c.random.Int64N(int64(maxCancelDelay))), func() { c.send(j, limit, 1) })
}

// send sends a cancellation to a VM, again if it is not confirmed, and copies of the submission if it is.
func (c *modelCancellations) send(j job.Job, limit micros, sends int) {
	w := c.world
	left := slices.DeleteFunc(slices.Clone(w.vms), func(v *modelVM) bool { return v.gone })
	v := left[c.random.IntN(len(left))]
	if sends == 1 {
		c.requestedAt[j.ID] = w.now
	}
	w.trace.add(record{job: j.ID, vm: v.name, format: "caller cancels job %s at %s, send %d", args: []any{j.ID, v.name, sends}})
	v.cancelJob(j, func(o node.CancelOutcome) { c.handleOutcome(v, j, limit, o) })
	w.after(cancelLimit+cancelResend, func() {
		if _, confirmed := c.confirmedAt[j.ID]; !confirmed && sends < maxCancels {
			c.send(j, limit, sends+1)
		}
	})
}

// cancelJob sends a cancellation to a VM.
func (v *modelVM) cancelJob(j job.Job, do func(node.CancelOutcome)) {
	v.world.network.send(callerName, v.name, func() {
		if !v.up {
			return
		}
		v.whenRunning(v.life, func() {
			done := make(chan node.CancelOutcome, 1)
			awaitOutcome(v, j.ID, "cancellation", done, do)
			v.handle(node.CancelRequested{Cancellation: job.Cancellation{Job: j.ID, Origin: j.Origin}, Limit: clock.Millis(cancelLimit / ms), Done: done})
		})
	})
}

func (c *modelCancellations) handleOutcome(v *modelVM, j job.Job, limit micros, o node.CancelOutcome) {
	if _, confirmed := o.(node.CancelConfirmed); !confirmed || c.confirmedAt[j.ID] != 0 {
		return
	}
	w := c.world
	c.confirmedAt[j.ID] = w.now
	w.stats.cancelled++
	w.trace.add(record{job: j.ID, vm: v.name, format: "%s confirms the cancellation of %s", args: []any{v.name, j.ID}})
	for range cancelCopies {
		w.after(micros(c.random.Int64N(int64(maxCopyDelay))), func() { w.callers.send(j, maxSends-1, limit) })
	}
}

// checkStart checks that no VM starts a task of a job whose cancellation was confirmed.
func (c *modelCancellations) checkStart(v *modelVM, s leader.Start) {
	id, _, _ := strings.Cut(string(s.Task), ".")
	at, confirmed := c.confirmedAt[job.ID(id)]
	if !confirmed || c.world.now < at+cancelGrace || c.world.violation != "" || c.inTouchOnly && !v.isInTouch() {
		return
	}
	c.world.violation = fmt.Sprintf("%s starts %s, whose cancellation was confirmed at %s (in touch %v)", v.name, s.Task, formatTime(at), v.isInTouch())
	a := &modelAttempt{task: s.Task, endpoint: &modelEndpoint{id: s.Endpoint.ID}}
	c.world.trace.fail(a, a)
}

func (v *modelVM) saveCancellations(a node.SaveCancellations) {
	store := v.world.store
	end := func(ok bool) { v.post(v.life, node.CancellationsSaved{Row: a.Row, OK: ok}) }
	write := func() { store.put(tableCancellations, string(a.Row), a.All, -1) }
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			if v.world.options.enabled(faultStoreLate) && store.random.IntN(6) == 0 {
				store.world.after(micros(store.random.Int64N(4000))*ms, write)
				return
			}
			write()
			if v.world.options.enabled(faultStoreLate) && store.random.IntN(6) == 0 {
				return
			}
			x.answer(func() { end(true) })
		})
	}, func(exchangeFailure) { end(false) })
}

func (v *modelVM) loadCancellations(a node.LoadCancellations) {
	store := v.world.store
	end := func(rows map[node.CancellationRow][]job.Cancellation) {
		v.post(v.life, node.CancellationsLoaded{Load: a.Load, Rows: rows, OK: rows != nil})
	}
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			rows := make(map[node.CancellationRow][]job.Cancellation)
			for _, row := range store.all(tableCancellations) {
				rows[node.CancellationRow(row.key)] = row.value.([]job.Cancellation)
			}
			x.answer(func() { end(rows) })
		})
	}, func(exchangeFailure) { end(nil) })
}

func (v *modelVM) removeCancellations(a node.RemoveCancellations) {
	store := v.world.store
	end := func(ok bool) { v.post(v.life, node.CancellationsRemoved{Rows: a.Rows, OK: ok}) }
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			for _, row := range a.Rows {
				store.remove(tableCancellations, string(row))
			}
			x.answer(func() { end(true) })
		})
	}, func(exchangeFailure) { end(false) })
}

package node_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// modelCallers sends jobs to the VMs, and sends a job again if its answer allows that or is missing.
type modelCallers struct {
	world  *world
	random *rand.Rand
	// work is how long the tasks of each job take.
	work map[job.ID]micros
	// drainJobs counts the jobs that are sent to VMs because they shut down.
	drainJobs int
	// burstUntil is until when jobs arrive at a multiple of the usual rate.
	burstUntil micros
}

// callerRequest is one submission of a job by its caller.
type callerRequest struct {
	id      int
	callers *modelCallers
	job     job.Job
	// sends counts the earlier submissions of the job.
	sends int
	limit micros
	vm    *modelVM
	// life is the VM's when it processed the request; key is valid from then on.
	life    int
	key     job.Key
	arrived bool
	// ended means that the caller has an answer or does not wait any more.
	ended bool
	// gone means that the VM's machine has received the disconnection, and settled that the request
	// has waited for it after a freeze.
	gone, settled bool
	// waitsSince is the earliest time at which it may have been sent, as far as the VM knows.
	waitsSince clock.Millis
	// inDrain means that the VM was shutting down when it processed the request, answersAtOnce that it is processing
	// it, and expectedBy is by when, on the VM's clock, the job is expected to end.
	inDrain, answersAtOnce bool
	expectedBy             clock.Millis
}

const (
	modelDemand       = job.MilliCores(2000)
	jobInterval       = 90 * ms
	maxSends          = 3
	duplicateInterval = 4 * second
	// callerAnswered is the record of what a caller got.
	callerAnswered = "caller of %s at %s got %s"
)

func newModelCallers(w *world) *modelCallers {
	return &modelCallers{world: w, random: w.random("callers"), work: make(map[job.ID]micros)}
}

// submitJobs sends jobs until a point in time.
func (c *modelCallers) submitJobs(until micros) {
	if c.world.now >= until {
		return
	}
	c.submitNew()
	interval := jobInterval
	if c.world.now < c.burstUntil {
		interval /= 5
	}
	c.world.after(micros(float64(interval)*2*c.random.Float64()), func() { c.submitJobs(until) })
}

func (c *modelCallers) submitNew() {
	c.world.stats.jobs++
	work := []micros{51, 170, 760, 1400}[c.random.IntN(4)] * ms
	step := job.Step{Tasks: 1 + c.random.IntN(6), Demand: job.Resources{CPU: modelDemand, Memory: 64}, Estimate: clock.Millis(work / ms)}
	j := job.Job{ID: job.ID(fmt.Sprintf("%016x", c.world.stats.jobs)), Queue: modelQueue, Steps: []job.Step{step}}
	if c.random.IntN(4) == 0 {
		step.Tasks, step.After = 1, []int{0}
		j.Steps = append(j.Steps, step)
	}
	c.work[j.ID] = work
	c.world.deadly.choose(j)
	c.world.requirements.choose(j)
	limit := 1500 * ms
	if c.random.IntN(2) == 0 {
		limit = 4 * second
	}
	c.world.cancellations.choose(j, limit)
	c.send(j, 0, limit)
}

// workOf is how long a task takes at an endpoint of usual speed.
func (c *modelCallers) workOf(t job.TaskName) micros {
	id, _, _ := strings.Cut(string(t), ".")
	return c.work[job.ID(id)]
}

// send submits a job to a VM, usually one that is ready.
func (c *modelCallers) send(j job.Job, sends int, limit micros) {
	w := c.world
	ready := slices.DeleteFunc(slices.Clone(w.vms), func(v *modelVM) bool { return !v.publishedReady || !v.up })
	if len(ready) == 0 || c.random.IntN(6) == 0 {
		ready = w.vms
	}
	c.sendTo(ready[c.random.IntN(len(ready))], j, sends, limit)
}

// sendTo submits a job to a VM.
func (c *modelCallers) sendTo(v *modelVM, j job.Job, sends int, limit micros) {
	w := c.world
	w.order++
	r := &callerRequest{id: w.order, callers: c, job: j, sends: sends, limit: limit, vm: v}
	w.trace.add(record{job: j.ID, vm: r.vm.name, format: "caller sends job %s to %s, send %d, limit %s", args: []any{j.ID, r.vm.name, sends + 1, formatTime(limit)}})
	w.network.send(callerName, r.vm.name, r.arrive)
	patience := limit
	givesUp := w.options.enabled(faultGiveUp) && c.random.IntN(8) == 0
	if givesUp {
		patience = micros(c.random.Int64N(int64(limit)))
	}
	w.after(patience, func() {
		if !r.ended {
			r.disconnect()
			r.end("no answer", !givesUp)
		}
	})
}

// arrive passes the request to the VM's process.
func (r *callerRequest) arrive() {
	v := r.vm
	switch {
	case v.up:
		v.callers[r] = true
		v.whenRunning(v.life, r.process)
	case !v.silent:
		r.callers.world.network.send(v.name, callerName, r.broken)
	}
}

const (
	// requestSettlePeriod is how long after a freeze a VM waits for settleDelay with a request.
	requestSettlePeriod = 200 * ms
	settleDelay         = 20 * ms
	// maxEventInterval is the time without an event from which a VM counts as paused.
	maxEventInterval = 300 * ms
)

// process submits the job to the control state, unless the caller's disconnection has arrived
// before. After a freeze the VM gives it time to arrive.
func (r *callerRequest) process() {
	v, w := r.vm, r.callers.world
	if !r.settled {
		r.waitsSince = v.waitsSince()
	}
	if !r.settled && v.frozenUntil > 0 && w.now < v.frozenUntil+requestSettlePeriod {
		r.settled = true
		v.later(settleDelay, r.process)
		return
	}
	if r.gone {
		delete(v.callers, r)
		return
	}
	if v.control.Desired() == nil {
		r.reply(job.Refused{Reason: job.NoDesiredState})
		return
	}
	accepted, ended := make(chan job.Key, 1), make(chan job.Outcome, 1)
	awaitOutcome(v, r.job.ID, "job", ended, r.reply)
	r.enterDrain()
	r.answersAtOnce = true
	v.handle(node.JobArrived{Job: r.job, Limit: clock.Millis(r.limit / ms), WaitsSince: r.waitsSince, Accepted: accepted, Ended: ended})
	r.answersAtOnce = false
	key, ok := <-accepted
	if !ok {
		return
	}
	r.arrived, r.life, r.key = true, v.life, key
	w.trace.add(record{job: r.job.ID, vm: v.name, format: "%s takes job as %v", args: []any{v.name, r.key}})
}

// disconnect tells the VM that the caller does not wait any more.
func (r *callerRequest) disconnect() {
	r.callers.world.network.send(callerName, r.vm.name, func() {
		r.gone = true
		if r.arrived && r.life == r.vm.life {
			r.vm.post(r.life, node.CallerDisconnected{Key: r.key})
		}
	})
}

// reply sends the outcome to the caller.
func (r *callerRequest) reply(o job.Outcome) {
	delete(r.vm.callers, r)
	r.checkGivenUp(o)
	r.callers.world.network.send(r.vm.name, callerName, func() {
		if r.ended {
			return
		}
		if failed, ok := o.(job.Failed); ok {
			r.callers.world.deadly.checkFailed(failed)
		}
		switch o := o.(type) {
		case job.Completed, job.Failed:
			r.callers.world.stats.completed++
			r.end("200", false)
			r.sendDuplicate()
		case job.Cancelled:
			r.end("200 cancelled", false)
		case job.Refused:
			r.callers.world.stats.refused++
			r.end("503 "+string(o.Reason), false)
		case job.Stopped:
			r.end("502 or 504 "+string(o.Reason), true)
		default:
			r.end(fmt.Sprintf("502 %T", o), true)
		}
	})
}

// sendDuplicate sends some jobs again although they have been answered.
func (r *callerRequest) sendDuplicate() {
	c := r.callers
	if r.sends+1 < maxSends && c.world.options.enabled(faultDuplicate) && c.random.IntN(20) == 0 {
		c.world.after(micros(c.random.Int64N(int64(duplicateInterval))), func() { c.send(r.job, r.sends+1, r.limit) })
	}
}

// broken ends a request whose connection has broken.
func (r *callerRequest) broken() {
	if !r.ended {
		r.end("connection broken", true)
	}
}

// end records the answer and sends the job again where the protocol says so.
func (r *callerRequest) end(answer string, again bool) {
	r.ended = true
	c := r.callers
	c.world.trace.add(record{job: r.job.ID, vm: r.vm.name, format: callerAnswered, args: []any{r.job.ID, r.vm.name, answer}})
	if again && r.sends+1 < maxSends {
		c.world.stats.resent++
		c.world.after(fromMillis(c.world.options.shape.resend), func() { c.send(r.job, r.sends+1, r.limit) })
	}
}

// sortedRequests returns requests in a fixed order.
func sortedRequests(requests map[*callerRequest]bool) []*callerRequest {
	return slices.SortedFunc(maps.Keys(requests), func(a, b *callerRequest) int { return cmp.Compare(a.id, b.id) })
}

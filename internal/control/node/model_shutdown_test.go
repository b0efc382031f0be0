package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// faultShutdowns shuts VMs down soon after each other. Callers send jobs and cancellations to each of them until
	// its process is gone, and its next process starts then.
	faultShutdowns faultKind = "shutdowns"
	// maxShutdownGap bounds the time from one SIGTERM to the next, and maxDrainFreeze the freezes in between.
	maxShutdownGap = 700 * ms
	maxDrainFreeze = 2 * second
	// drainInterval is the mean time between the requests to a VM that shuts down, and overdueInterval that after its
	// last answers.
	drainInterval   = 120 * ms
	overdueInterval = 5 * ms
	maxRestartDelay = 20 * ms
	// firstDrainJob is the number of the first job that is sent to a VM because it shuts down.
	firstDrainJob = 1 << 32
	// longestObjectives is how many times its objective a job is expected to take at most.
	longestObjectives = 2
)

// modelDrain is how far the shutdown of a process has come.
type modelDrain struct {
	// terminated means that the process has been told to end, begun that its control state knows, and overdue that
	// it has given the last answers.
	terminated, begun, overdue bool
	// next is called at the end of the process; it may be nil.
	next func()
}

func (d *modelDrain) record(e node.Event) {
	switch e.(type) {
	case node.ShutdownRequested:
		d.begun = true
	case node.ShutdownOverdue:
		d.overdue = true
	default:
	}
}

// modelWaiter is a request that waits for an answer of a VM's control state.
type modelWaiter struct {
	// request is what a caller has sent for a job.
	request string
	job     job.ID
	// call is that of a peer, or nil for a caller.
	call *exchange
	// answered passes on the answer and reports whether there was one.
	answered func() bool
}

// isAwaited reports whether the caller or the peer still waits.
func (w modelWaiter) isAwaited() bool {
	return w.call == nil || !w.call.replaced && !w.call.done && w.call.life == w.call.vm.life
}

// replaceCalls lets a call with a submission replace earlier ones with the same, unless it was answered at once.
func (v *modelVM) replaceCalls(x *exchange) {
	if !v.open[x] {
		return
	}
	for o := range v.open {
		o.replaced = o.replaced || o != x && o.submission.Key == x.submission.Key
	}
}

// checkAnswered checks that nothing that the VM has received is without an answer after its last answers.
func (v *modelVM) checkAnswered() {
	if !v.drain.overdue {
		return
	}
	for _, w := range v.waiters {
		switch {
		case !w.isAwaited():
		case w.call != nil:
			v.failDrain(w.call.submission.Job.ID, "the call of %s with submission %v has no answer after the last answers of %s", w.call.vm.name, w.call.submission.Key, v.name)
		default:
			v.failDrain(w.job, "the %s %s has no answer after the last answers of %s", w.request, w.job, v.name)
		}
	}
}

// failDrain records a violation by a VM that shuts down.
func (v *modelVM) failDrain(id job.ID, format string, args ...any) {
	w := v.world
	if w.violation != "" {
		return
	}
	w.violation = fmt.Sprintf(format, args...) + fmt.Sprintf(", at %s, %s after SIGTERM", formatTime(w.now), formatTime(w.now-v.terminatedAt))
	a := &modelAttempt{task: job.TaskName(id + "."), endpoint: &modelEndpoint{id: "-"}}
	w.trace.fail(a, a)
}

// enterDrain records whether the VM is shutting down, and by when the job is expected to end.
func (r *callerRequest) enterDrain() {
	v := r.vm
	r.inDrain = v.drain.begun
	objective := v.control.Desired().Queue(r.job.Queue).Objective(r.job.CriticalPath(func(s *job.Step) clock.Millis { return s.Estimate }))
	r.expectedBy = min(r.waitsSince+clock.Millis(r.limit/ms), v.clock()+longestObjectives*objective)
}

// checkGivenUp checks that a VM which took the job during its shutdown gives it up only after it was expected to end.
func (r *callerRequest) checkGivenUp(o job.Outcome) {
	if !r.inDrain {
		return
	}
	stats := &r.vm.world.stats
	if refused, ok := o.(job.Refused); ok && refused.Reason == job.Draining || r.answersAtOnce {
		stats.refusedInDrain++
		return
	}
	stats.takenInDrain++
	if stopped, ok := o.(job.Stopped); ok && stopped.Reason == job.Draining && r.vm.clock() < r.expectedBy {
		r.vm.failDrain(r.job.ID, "%s takes job %s during its shutdown and gives it up %d ms before it was expected to end", r.vm.name, r.job.ID, r.expectedBy-r.vm.clock())
	}
}

// injectShutdowns shuts some VMs down, so that a shard may be handed over to a VM that shuts down next, or to none.
func injectShutdowns(w *world, random *rand.Rand) {
	at := micros(0)
	for _, i := range random.Perm(len(w.vms))[:1+random.IntN(len(w.vms))] {
		w.after(at, func() { w.vms[i].shutDownUnderLoad(random) })
		at += duration(random, maxShutdownGap)
	}
}

// shutDownUnderLoad shuts the VM down, at times with a freeze, while callers send to it.
func (v *modelVM) shutDownUnderLoad(random *rand.Rand) {
	if !v.up || v.drain.terminated {
		return
	}
	w, life := v.world, v.life
	v.shutDown()
	v.drain.next = func() { w.after(duration(random, maxRestartDelay), v.start) }
	if random.IntN(3) == 0 {
		w.after(duration(random, modelGrace), func() {
			if v.up && v.life == life {
				v.freeze(duration(random, maxDrainFreeze))
			}
		})
	}
	v.sendInDrain(random, life)
}

// sendInDrain sends jobs and cancellations to the VM until its process is gone.
func (v *modelVM) sendInDrain(random *rand.Rand, life int) {
	if !v.up || v.life != life {
		return
	}
	c := v.world.callers
	j, limit := c.newDrainJob(random), pick(random, []micros{300 * ms, 1500 * ms, 4 * second, 10 * second})
	c.sendTo(v, j, 0, limit)
	if random.IntN(4) == 0 {
		v.world.after(micros(random.Int64N(int64(limit))), func() {
			v.cancelJob(j, func(node.CancelOutcome) { v.world.stats.cancelledInDrain++ })
		})
	}
	interval := drainInterval
	if v.drain.overdue {
		interval = overdueInterval
	}
	v.world.after(duration(random, 2*interval), func() { v.sendInDrain(random, life) })
}

// newDrainJob returns a job of one to three steps.
func (c *modelCallers) newDrainJob(random *rand.Rand) job.Job {
	c.drainJobs++
	work := pick(random, []micros{51 * ms, 170 * ms, 760 * ms, 1400 * ms})
	j := job.Job{ID: job.ID(fmt.Sprintf("%016x", firstDrainJob+c.drainJobs)), Queue: modelQueue}
	for i := range 1 + random.IntN(3) {
		step := job.Step{Tasks: 1 + random.IntN(2), Demand: job.Resources{CPU: modelDemand, Memory: 64}, Estimate: clock.Millis(work / ms)}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	c.work[j.ID] = work
	return j
}

// Guards against jobs and cancellations without an answer, and jobs that are taken and given up, by VMs that shut down
// soon after each other.
func TestModelOfShutdowns(t *testing.T) {
	var total modelStats
	for seed := range uint64(4) {
		for _, kinds := range [][]faultKind{{faultShutdowns}, {faultShutdowns, faultFreeze, faultSlow, faultStoreSlow, faultLoss}} {
			w := runModel(seed, kinds)
			if w.violation != "" {
				t.Errorf("seed %d, faults %v: got %s, want no violation\n%s", seed, kinds, w.violation, w.trace.text)
			}
			total.add(w.stats)
		}
	}
	if total.takenInDrain < 100 || total.refusedInDrain < 100 || total.cancelledInDrain < 100 {
		t.Errorf("got %d jobs taken, %d refused and %d cancellations answered during shutdowns, want hundreds", total.takenInDrain, total.refusedInDrain, total.cancelledInDrain)
	}
}

// Guards against a job of several steps that is taken during a shutdown and not answered by the process, whether it
// leads the shard, hands it over while the job runs, or does neither. The last step begins late.
func TestLastStepLateInAShutdown(t *testing.T) {
	const sendAt, limit = 2900 * ms, 2400 * ms
	j := job.Job{ID: "0000000000000001", Queue: modelQueue}
	for i := range 3 {
		step := job.Step{Tasks: 2, Demand: job.Resources{CPU: modelDemand, Memory: 64}, Estimate: 600}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	for seed := range uint64(3) {
		for i := range newWorld(seed, modelOptions{shape: usualShape()}).vms {
			w := newWorld(seed, modelOptions{shape: usualShape()})
			w.callers.work[j.ID] = fromMillis(j.Steps[0].Estimate)
			w.after(longWarmUp, w.vms[i].shutDown)
			w.after(longWarmUp+sendAt, func() { w.callers.sendTo(w.vms[i], j, 0, limit) })
			w.run(longWarmUp + modelGrace)
			if w.violation != "" || w.stats.takenInDrain != 1 || w.stats.completed != 1 || w.stats.resent != 0 {
				t.Errorf("seed %d, VM %s: got %+v, violation %q, want one job taken during the shutdown and completed", seed, w.vms[i].name, w.stats, w.violation)
			}
		}
	}
}

// Guards against jobs of other VMs' callers that are lost when the leader of a shard shuts down, and next the VM that
// has taken the shard over.
func TestJobsSurviveTheShutdownOfTheirLeaders(t *testing.T) {
	adopted := 0
	for seed := range uint64(6) {
		w := newWorld(seed, modelOptions{shape: usualShape()})
		w.after(longWarmUp-second, func() { w.callers.submitJobs(longWarmUp + 3*second) })
		stopped := make(map[string]bool)
		for i := range micros(2) {
			w.after(longWarmUp+i*300*ms, func() {
				for _, v := range w.vms {
					if _, leads := v.control.InReplicaSet(); leads && !v.drain.terminated && len(stopped) <= int(i) {
						stopped[v.name] = true
						v.shutDown()
					}
				}
			})
		}
		w.run(longWarmUp + 2*modelGrace)
		for _, r := range w.trace.records {
			switch {
			case r.format == callerAnswered && !stopped[r.vm] && slices.ContainsFunc([]job.Reason{job.ShardLost, job.NoLeader, job.NotLeader, job.Draining, job.LeaseExpired}, func(reason job.Reason) bool {
				return strings.HasSuffix(r.args[2].(string), string(reason))
			}):
				t.Errorf("seed %d: got %s for job %s at %s, want the next leader to run it", seed, r.args[2], r.job, r.vm)
			case strings.Contains(r.format, "decides") && r.args[1] == decisionNames[leader.JobAdopted]:
				adopted++
			}
		}
		if w.violation != "" {
			t.Errorf("seed %d: got %s, want no violation", seed, w.violation)
		}
	}
	if adopted == 0 {
		t.Error("got no job adopted by a next leader, want some")
	}
}

package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

const (
	// deadlyJobs is how many jobs there are for each one with a deadly task.
	deadlyJobs = 40
	// maxDeadlyDelay is how long a deadly task runs at most before it crashes its endpoint.
	maxDeadlyDelay = 40 * ms
	// minDownTime and maxDownTime bound the time until a crashed endpoint is back.
	minDownTime = second
	maxDownTime = 4 * second
	// maxCrashes is how many endpoints may crash under a deadly task without other faults, and
	// maxCrashesWithFaults with any. The platform's rules count from the sixth start on.
	maxCrashes           = 2
	maxCrashesWithFaults = 5
	modelMaxAttempts     = 3
)

// modelDeadly are the tasks that crash each endpoint that starts them.
type modelDeadly struct {
	world  *world
	random *rand.Rand
	// crashes are the attempts of each deadly task that have crashed their endpoint.
	crashes map[job.TaskName][]*modelAttempt
	// under counts the endpoints that crashed while each task ran there, and unrelated those of them
	// that no deadly task crashed.
	under, unrelated map[job.TaskName]int
	// failures counts the attempts of each task that have ended failed.
	failures map[job.TaskName]int
}

func newModelDeadly(w *world) *modelDeadly {
	return &modelDeadly{world: w, random: w.random("deadly"), crashes: make(map[job.TaskName][]*modelAttempt), under: make(map[job.TaskName]int), unrelated: make(map[job.TaskName]int), failures: make(map[job.TaskName]int)}
}

// choose makes a task of some jobs a deadly one.
func (d *modelDeadly) choose(j job.Job) {
	if d.world.options.enabled(faultDeadly) && d.random.IntN(deadlyJobs) == 0 {
		d.crashes[job.TaskName(fmt.Sprintf("%s.0.0.%d", j.ID, d.random.IntN(j.Steps[0].Tasks)))] = nil
	}
}

// attemptStarted lets a deadly task crash its endpoint, which is back after some seconds: as a new
// incarnation, or as another instance at its address.
func (d *modelDeadly) attemptStarted(a *modelAttempt) {
	if _, deadly := d.crashes[a.task]; !deadly {
		return
	}
	w, e := d.world, a.endpoint
	w.after(ms+micros(d.random.Int64N(int64(maxDeadlyDelay))), func() {
		e.refresh()
		if !a.running() {
			return
		}
		w.trace.add(record{endpoint: e.id, task: a.task, format: "deadly task crashes the endpoint"})
		e.crash()
		for _, other := range e.attempts {
			d.unrelated[other.task]--
		}
		d.count(a)
		w.after(minDownTime+micros(d.random.Int64N(int64(maxDownTime-minDownTime))), func() {
			switch {
			case e.up || e.gone:
			case d.random.IntN(2) == 0:
				e.start(0)
			default:
				e.gone = true
				e.successor = w.addEndpoint(e.dc)
				e.successor.start(0)
			}
		})
	})
}

func (d *modelDeadly) count(a *modelAttempt) {
	d.crashes[a.task] = append(d.crashes[a.task], a)
	n := len(d.crashes[a.task])
	d.world.stats.deadlyCrashes[min(n, len(d.world.stats.deadlyCrashes))-1]++
	limit := maxCrashes
	if len(d.world.options.kinds) > 1 {
		limit = maxCrashesWithFaults
	}
	if n > limit && d.world.violation == "" {
		d.world.violation = fmt.Sprintf("%d endpoints crashed under %s, want at most %d", n, a.task, limit)
		d.world.trace.fail(a, d.crashes[a.task][n-2])
	}
}

// endpointCrashed counts the crash under the tasks there.
func (d *modelDeadly) endpointCrashed(e *modelEndpoint) {
	for _, a := range e.attempts {
		d.under[a.task]++
		d.unrelated[a.task]++
	}
}

// checkFailed checks that a job failed for a deadly task, or for one that failed as often as its queue
// allows. The platform allows to give up a task under which two endpoints crashed. One that is not deadly, and
// ran beside deadly ones alone, must not be given up.
func (d *modelDeadly) checkFailed(o job.Failed) {
	_, deadly := d.crashes[o.Task]
	switch {
	case deadly && d.under[o.Task] >= 2:
		d.world.stats.givenUp++
	case d.failures[o.Task] >= modelMaxAttempts:
	case d.under[o.Task] >= 2 && d.unrelated[o.Task] > 0:
	case d.world.violation == "":
		d.world.violation = fmt.Sprintf("job failed for %s after %d failed attempts and %d crashes, %d of them unrelated to deadly tasks; deadly %v", o.Task, d.failures[o.Task], d.under[o.Task], d.unrelated[o.Task], deadly)
		a := &modelAttempt{task: o.Task, endpoint: &modelEndpoint{id: "-"}}
		d.world.trace.fail(a, a)
	}
}

func (v *modelVM) loadCrashes(a node.LoadCrashes) {
	store := v.world.store
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			row, ok := store.rows[tableCrashes][string(a.Shard)]
			x.answer(func() {
				if ok {
					v.handle(node.CrashesLoaded{Records: row.value.([]crash.Record)})
				}
			})
		})
	}, func(exchangeFailure) {})
}

// loadAllCrashes reads the crashes of all shards, and retries until that succeeds.
func (v *modelVM) loadAllCrashes() {
	store := v.world.store
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			rows := store.all(tableCrashes)
			x.answer(func() {
				for _, row := range rows {
					v.handle(node.CrashesLoaded{Records: row.value.([]crash.Record)})
				}
			})
		})
	}, func(exchangeFailure) { v.later(storeRetryPause, v.loadAllCrashes) })
}

func (v *modelVM) saveCrashes(a node.SaveCrashes) {
	store := v.world.store
	v.newExchange(storeName, storeTimeout, onlyLife, func(x *exchange) {
		store.serve(x, func() {
			store.put(tableCrashes, string(a.Shard), a.Records, -1)
			x.answer(func() {})
		})
	}, func(exchangeFailure) {})
}

// Guards against a deadly task that is started without a bound while crashes are noticed late: messages
// are lost, and other endpoints are cut off or restart.
func TestDeadlyTaskBesideOtherFaults(t *testing.T) {
	for seed, kinds := range map[uint64]string{
		23:  "loss,late,zoneCut,coreCut,slow,roll,storeDown,storeSlow,add,leave,failures,duplicate,callerCut,oddRows,resetCut,deadly",
		201: "loss,late,cut,coreCut,reborn,rebornCut,add,storeLate,failures,stall,giveUp,shrink,deadly",
		550: "loss,late,zoneCut,coreCut,slow,roll,storeDown,storeSlow,add,leave,failures,duplicate,callerCut,oddRows,resetCut,deadly",
		819: "loss,late,cut,zoneCut,endpointCut,coreCut,freeze,slow,kill,storeDown,storeSlow,reborn,rebornCut,add,leave,storeLate,giveUp,callerCut,thawOrder,deadly",
	} {
		if w := runModel(seed, parseKinds(kinds)); w.violation != "" {
			t.Errorf("seed %d: got %s, want no violation", seed, w.violation)
		}
	}
}

package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

const (
	// mostTasks is the largest number of tasks of a job.
	mostTasks = 10_000
	// pipelined is how many requests a client sends on its connection that reads no answer.
	pipelined = 200
	// leaveAfter is how long clients stay that leave before their jobs end.
	leaveAfter = 500 * time.Millisecond
)

// request sends a request with a whole body.
func (c *client) request(method string, id int, body []byte) bool {
	return c.write(append(fmt.Appendf(nil, "%s /swap/%016x HTTP/1.1\r\nHost: swap.example\r\nContent-Type: application/json\r\nSequoiacart-Deadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n",
		method, id, len(body)), body...))
}

// job sends a complete job.
func job(body string) func(*client, []byte) {
	text := []byte(body)
	return func(c *client, _ []byte) { c.request(http.MethodPost, c.id, text) }
}

// stepsOf is a job with the given steps, whose tasks run for a while.
func stepsOf(runMs int, steps string) string {
	return fmt.Sprintf(`{"task_spec":"{\"runMs\":%d,\"milliCores\":1}","best_effort":true,"steps":[%s]}`, runMs, steps)
}

// fill repeats an element, with commas between, up to the size of a body.
func fill(element string) string {
	return strings.TrimSuffix(strings.Repeat(element+",", (bodyBytes-256)/(len(element)+1)), ",")
}

// unread sends many requests and reads no answer.
func unread(method string) func(*client, []byte) {
	return func(c *client, _ []byte) {
		ok := true
		for i := 0; ok && i < pipelined; i++ {
			ok = c.request(method, c.id<<16|i, nil)
		}
	}
}

// mixed sends what the other crowds send, in turn.
func mixed(c *client, b []byte) {
	all := []func(*client, []byte){
		inPieces(bodyBytes), inChunks(64), job(manyTasks), job(manySteps), unread(http.MethodDelete),
		job(stepsOf(10, `{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":10}`)),
	}
	all[c.id%len(all)](c, b)
}

var (
	manyTasks       = stepsOf(1000, fmt.Sprintf(`{"count":%d,"cpu":1,"mem_mb":1,"estimate_ms":1000}`, mostTasks))
	shortTasks      = stepsOf(1, fmt.Sprintf(`{"count":%d,"cpu":1,"mem_mb":1,"estimate_ms":1}`, mostTasks))
	wideTasks       = stepsOf(1, fmt.Sprintf(`{"count":%d,"cpu":1000,"mem_mb":1,"estimate_ms":1}`, mostTasks))
	undemanding     = stepsOf(30_000, fmt.Sprintf(`{"count":%d,"estimate_ms":30000}`, mostTasks))
	waitingSteps    = stepsOf(1000, fmt.Sprintf(`{"count":1,"cpu":1,"estimate_ms":1000},{"count":%d,"cpu":1,"estimate_ms":1000,"after":[0]}`, mostTasks-1))
	manySteps       = stepsOf(1, fill(`{"count":1}`))
	emptySteps      = stepsOf(1, fill(`1`))
	dependencies    = stepsOf(1000, fmt.Sprintf(`{"count":1,"cpu":1,"estimate_ms":1000},{"count":%d,"cpu":1,"estimate_ms":1,"after":[%s]}`, mostTasks-1, fill("0")))
	mostSteps       = stepsOf(1000, strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":1},`, mostTasks), ","))
	mostFollowing   = stepsOf(1000, fmt.Sprintf(`{"count":1,"cpu":1,"estimate_ms":1000},{"count":1,"cpu":1,"estimate_ms":1000,"after":[%s]}`, fill("0")))
	longPayload     = fmt.Sprintf(`{"task_spec":%q,"best_effort":true,"steps":[{"count":8,"cpu":1,"estimate_ms":30000}]}`, `{"runMs":30000,"milliCores":1}`+strings.Repeat(" ", bodyBytes-256))
	smallAndLasting = stepsOf(60_000, `{"count":1,"estimate_ms":60000}`)
)

// Guards against clients whose requests are complete and small, and take the memory, the descriptors or the control
// goroutine of a VM once they are jobs, or keep ordinary callers from being answered.
func TestCrowdsOfJobs(t *testing.T) {
	program := build(t)
	for _, tt := range []struct {
		name string
		send func(*client, []byte)
	}{
		{"jobs of many tasks", job(manyTasks)},
		{"jobs of many short tasks", job(shortTasks)},
		{"jobs of many tasks that start one after the other", job(wideTasks)},
		{"jobs of many tasks without demands", job(undemanding)},
		{"jobs of many tasks that wait for a step", job(waitingSteps)},
		{"jobs of many steps", job(manySteps)},
		{"steps that are no steps", job(emptySteps)},
		{"steps with many dependencies", job(dependencies)},
		{"jobs of as many steps as there may be", job(mostSteps)},
		{"steps with as many dependencies as a body holds", job(mostFollowing)},
		{"long task specifications", job(longPayload)},
		{"small jobs that run for long", job(smallAndLasting)},
		{"queries whose answers are not read", unread(http.MethodGet)},
		{"cancellations whose answers are not read", unread(http.MethodDelete)},
		{"all kinds", mixed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			vm := newDeployment(t, program, 1, fewEndpoints).vms[0]
			atRest := vm.peakMemory(t)
			open := gather(t, vm.callers, tt.send)
			vm.checkAlive(t)
			vm.checkAnswers(t)
			closeAll(open)
			vm.checkServes(t)
			t.Logf("peak %d MB, %d MB before, %d descriptors", vm.peakMemory(t)>>20, atRest>>20, vm.mostDescriptors.Load())
		})
	}
}

// Guards against crowds whose tasks run at many endpoints, whose connections take the descriptors of the VM.
func TestCrowdsBesideManyEndpoints(t *testing.T) {
	program := build(t)
	for _, tt := range []struct {
		name string
		send func(*client, []byte)
	}{
		{"jobs of many tasks", job(manyTasks)},
		{"jobs of many short tasks", job(shortTasks)},
		{"all kinds", mixed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			vm := newDeployment(t, program, 1, manyEndpoints).vms[0]
			open := gather(t, vm.callers, tt.send)
			time.Sleep(leaveAfter)
			vm.checkAlive(t)
			vm.checkAnswers(t)
			closeAll(open)
			vm.checkServes(t)
			t.Logf("peak %d MB, %d descriptors", vm.peakMemory(t)>>20, vm.mostDescriptors.Load())
		})
	}
}

// Guards against crowds that each leave something behind in the VM, and against jobs whose callers leave while their
// tasks run.
func TestCrowdsInTurn(t *testing.T) {
	vm := newDeployment(t, build(t), 1, fewEndpoints).vms[0]
	for round := range 3 {
		for _, send := range []func(*client, []byte){job(manyTasks), inPieces(bodyBytes), job(undemanding), mixed} {
			open := gather(t, vm.callers, send)
			time.Sleep(leaveAfter)
			closeAll(open)
			vm.checkAlive(t)
		}
		vm.checkServes(t)
		t.Logf("peak %d MB, %d descriptors after round %d", vm.peakMemory(t)>>20, vm.mostDescriptors.Load(), round)
	}
}

// Guards against crowds at several VMs at once, all of which send their jobs to the same leader, while VMs end, are
// told to stop, or have no store.
func TestCrowdsAtAllVMs(t *testing.T) {
	program := build(t)
	for _, tt := range []struct {
		name string
		// disturb is called while the crowd is there. It returns the VMs that go on.
		disturb func(t *testing.T, d *deployment) []*node
	}{
		{"calm", func(_ *testing.T, d *deployment) []*node { return d.vms }},
		{"all but one VM end", func(_ *testing.T, d *deployment) []*node {
			for _, n := range d.vms[:2] {
				_ = n.process.Process.Kill()
				<-n.exited
			}
			return d.vms[2:]
		}},
		{"all but one VM are told to stop", func(t *testing.T, d *deployment) []*node {
			for _, n := range d.vms[:2] {
				if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
			}
			for _, n := range d.vms[:2] {
				<-n.exited
				if code := n.process.ProcessState.ExitCode(); code != 0 {
					t.Errorf("got exit code %d after SIGTERM, want 0", code)
				}
			}
			return d.vms[2:]
		}},
		{"the store is away", func(_ *testing.T, d *deployment) []*node {
			d.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(2 * time.Second)
			d.store.SetFaults(standin.StoreFaults{})
			return d.vms
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(t, program, 3, fewEndpoints)
			var open []net.Conn
			for i, n := range d.vms {
				open = append(open, gather(t, n.callers, []func(*client, []byte){mixed, job(manyTasks), job(smallAndLasting)}[i])...)
			}
			left := tt.disturb(t, d)
			for _, n := range left {
				n.checkAlive(t)
				n.checkAnswers(t)
			}
			closeAll(open)
			for i, n := range left {
				n.checkServes(t)
				t.Logf("VM %d: peak %d MB, %d descriptors", i, n.peakMemory(t)>>20, n.mostDescriptors.Load())
			}
		})
	}
}

// Guards against cancellations that nobody can confirm and that keep all connections for as long as they wait.
func TestCrowdOfCancellationsWithoutStore(t *testing.T) {
	d := newDeployment(t, build(t), 1, fewEndpoints)
	vm := d.vms[0]
	d.store.SetFaults(standin.StoreFaults{Down: true})
	open := gather(t, vm.callers, unread(http.MethodDelete))
	for range 5 {
		vm.checkAnswers(t)
	}
	d.store.SetFaults(standin.StoreFaults{})
	closeAll(open)
	vm.checkServes(t)
	t.Logf("peak %d MB, %d descriptors", vm.peakMemory(t)>>20, vm.mostDescriptors.Load())
}

// checkAnswers checks that an ordinary caller gets an answer, which may be a refusal.
func (n *node) checkAnswers(t *testing.T) {
	t.Helper()
	if status := ordinaryRequest(n.callers, func(status int) bool { return status != 0 }); status == 0 {
		t.Error("got no answer to an ordinary request beside the crowd, want one")
	}
}

func closeAll(open []net.Conn) {
	for _, c := range open {
		_ = c.Close()
	}
}

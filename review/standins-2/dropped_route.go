//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// longRun is within the longest tasks of civic-alert, 8.1 s.
	longRun = 8 * time.Second
	// configLimit is config_ms.
	configLimit = 2 * time.Second
	// ackLimit, cancelLimit and stopLimit are ack_ms, cancel_ms and stop_ms.
	ackLimit, cancelLimit, stopLimit = 4 * time.Second, 3 * time.Second, 50 * time.Millisecond
	// routesFormat is a desired state with one route.
	routesFormat = `{"version":7,"routes":[{"name":"r2","hostname":%q,"path_prefix":%q,"route_type":"non_idempotent",
		"timeout_ms":1500,"slo_ms":60,"priority":0,"backend":"playout","max_attempts":3,"stretch":1.6}],
		"services":[{"name":"playout","max_connections":64,"rejects_overload":true}],"limits":{"max_body_bytes":262144}}`
)

// droppedRoute removes the route of a job that runs, and cancels the job.
func droppedRoute(d *deployment) bool {
	return cancelAfterChange(d, fmt.Sprintf(routesFormat, "other.example", "/other/"), 400*time.Millisecond)
}

// replacedRoute replaces the route of a job that runs by one of another name for the same host and path, and
// cancels the job once the change has to be in force.
func replacedRoute(d *deployment) bool {
	return cancelAfterChange(d, fmt.Sprintf(routesFormat, "swap.example", "/swap/"), configLimit+200*time.Millisecond)
}

// cancelAfterChange writes another desired state while a job runs and cancels the job, some time after its
// start. It reports whether the job runs longer than it may.
func cancelAfterChange(d *deployment, desired string, cancelAfter time.Duration) bool {
	const id, task = "000000000000b001", "000000000000b001.0.0.0"
	d.addEndpoints(dataCentre, 6)
	d.addNodes(3, dataCentre)
	d.awaitReady()
	time.Sleep(3 * time.Second)
	go func() {
		d.record.write("job %s sent to %s: one task of %v", id, d.nodes[0].name, longRun)
		status := d.post(d.nodes[0], id, jobBody(1, 14000, longRun), 20*time.Second)
		d.record.write("job %s answered: %d", id, status)
	}()
	begun := d.awaitRun(task)
	if os.Getenv("TROUBLE") != "0" {
		d.store.Put("op", "config", []byte(desired))
		d.record.write("the store acknowledges the operator's next version: %s", desired)
	}
	time.Sleep(time.Until(begun.Add(cancelAfter)))
	cancelled := time.Now()
	acked := d.cancelJob(id, cancelled.Add(ackLimit))
	due := cancelled.Add(ackLimit)
	if !acked.IsZero() {
		due = acked
	}
	due = due.Add(cancelLimit + stopLimit)
	time.Sleep(time.Until(begun.Add(longRun + time.Second)))
	d.attempts.mu.Lock()
	defer d.attempts.mu.Unlock()
	for _, a := range d.attempts.byTask[task] {
		if a.end.IsZero() || a.end.After(due) {
			d.record.write("UNASKED: %s ran until %.3f s (%s); it had to be gone at %.3f s, cancel_ms and stop_ms after its cancelling was acknowledged or had waited ack_ms",
				task, a.end.Sub(d.record.start).Seconds(), a.outcome, due.Sub(d.record.start).Seconds())
			return true
		}
	}
	return false
}

// awaitRun waits until a task runs, and returns since when.
func (d *deployment) awaitRun(task string) time.Time {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		d.attempts.mu.Lock()
		all := d.attempts.byTask[task]
		d.attempts.mu.Unlock()
		if len(all) > 0 {
			return all[0].began
		}
	}
	panic("the job did not run")
}

// cancelJob sends DELETE to one node after another until one acknowledges it, and returns when. It is zero
// if none has until the deadline.
func (d *deployment) cancelJob(id string, deadline time.Time) time.Time {
	for i := 1; time.Now().Before(deadline); i++ {
		n := d.nodes[i%len(d.nodes)]
		ctx, stop := context.WithDeadline(d.ctx, deadline)
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+n.callers+"/swap/"+id, nil)
		if err != nil {
			panic(err)
		}
		r.Host = "swap.example"
		status := 0
		if response, err := http.DefaultClient.Do(r); err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		stop()
		d.record.write("DELETE of %s at %s answered: %d", id, n.name, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			return time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	return time.Time{}
}

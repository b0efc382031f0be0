//go:build review

package main

import (
	"net/http"
	"os"
	"time"
)

const (
	// killedFor is how long killed processes are away, as in the closings of the site file.
	killedFor = 870 * time.Millisecond
	// copyAfter is how long after the acknowledgement the copy of the submission arrives. By then the processes
	// have run again for contact_ms.
	copyAfter = 5500 * time.Millisecond
)

// forgottenCancellation kills all processes after a cancellation has been acknowledged. Then a copy of the
// job's submission arrives.
func forgottenCancellation(d *deployment) bool {
	const id, task = "000000000000c001", "000000000000c001.0.0.0"
	d.addEndpoints(dataCentre, 6)
	d.addNodes(3, dataCentre)
	d.awaitReady()
	time.Sleep(3 * time.Second)
	body := jobBody(1, 14000, 2*time.Second)
	answered := make(chan int, 1)
	go func() {
		d.record.write("job %s sent to %s", id, d.nodes[0].name)
		status := d.post(d.nodes[0], id, body, 8*time.Second)
		d.record.write("job %s answered: %d", id, status)
		answered <- status
	}()
	d.awaitRun(task)
	time.Sleep(300 * time.Millisecond)
	acked := d.cancelJob(id, time.Now().Add(ackLimit))
	if acked.IsZero() {
		panic("the cancellation was not acknowledged")
	}
	if status := <-answered; status != http.StatusOK {
		d.record.write("the submission was answered with %d", status)
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("TROUBLE") != "0" {
		for _, n := range d.nodes {
			n.kill()
		}
		d.record.write("all processes are killed")
		time.Sleep(killedFor)
		for _, n := range d.nodes {
			d.start(n)
		}
	}
	time.Sleep(time.Until(acked.Add(copyAfter)))
	d.record.write("a copy of the submission of %s arrives at %s, %.1f s after the acknowledgement", id, d.nodes[2].name, time.Since(acked).Seconds())
	d.record.write("the copy is answered: %d", d.post(d.nodes[2], id, body, 8*time.Second))
	d.attempts.mu.Lock()
	defer d.attempts.mu.Unlock()
	for _, a := range d.attempts.byTask[task] {
		if a.began.After(acked.Add(cancelLimit)) {
			d.record.write("UNASKED: %s began at %.3f s at %s (%s), %.1f s after its cancelling was acknowledged", task,
				a.began.Sub(d.record.start).Seconds(), a.endpoint, a.outcome, a.began.Sub(acked).Seconds())
			return true
		}
	}
	return false
}

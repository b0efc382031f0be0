//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the users' small deployments.
const (
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 50 * time.Millisecond
	configTime  = 2 * time.Second
)

// cancelCase cancels jobs of ten steps right after the process that leads their shard was killed. The
// cancellation goes to the node that the job was sent to, as the platform's balancer does with the
// channels of one client.
func cancelCase(d *deployment, trouble bool) (found []broken) {
	const jobs, taskMs = 5, 760
	steps := []step{{Count: 1, CPU: 2000, Memory: 64, Estimate: taskMs}}
	for len(steps) < 10 {
		steps = append(steps, step{Count: 1, CPU: 2000, Memory: 64, Estimate: taskMs, After: []int{len(steps) - 1}})
	}
	d.platform.putDesired(3, []route{{"r1", "/swap/", "playout"}}, "playout")
	for _, zone := range d.zones {
		for i := range 4 {
			if _, err := d.platform.addMinion(fmt.Sprintf("m-%s-%d", zone, i), "playout", zone, "a"); err != nil {
				fail("add minion: %v", err)
			}
		}
		for i := range 2 {
			d.addNode(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone)
		}
	}
	d.startAll()
	time.Sleep(3 * time.Second)
	leader, other := d.leaderAndOther("zone-a")
	d.record.log("node %s leads the shard of zone-a; the client's node is %s", leader.name, other.name)
	c := newClient(d.record)
	ids := make([]string, jobs)
	for i := range jobs {
		ids[i] = fmt.Sprintf("00000000000000a%d", i)
		go c.post(other, "/swap/", ids[i], taskMs, steps, 30*time.Second)
	}
	time.Sleep(time.Second)
	begun := make(map[string]bool)
	for _, s := range d.platform.allStarts() {
		id, _, _ := strings.Cut(s.task, ".")
		begun[id] = true
	}
	if len(begun) != jobs {
		fail("%d of %d jobs have begun after a second", len(begun), jobs)
	}
	if trouble {
		leader.kill()
		time.AfterFunc(time.Second, leader.start)
	}
	acked := make(map[string]time.Time)
	for _, id := range ids {
		for acked[id].IsZero() {
			// A client sends a cancellation again until it is acknowledged.
			if a := c.do(http.MethodDelete, other, "/swap/"+id, "", time.Second); a.status/100 == 2 || a.status == http.StatusGone {
				acked[id] = a.at
			} else {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	end := time.Now().Add(16 * time.Second)
	lateRuns := make(map[string]bool)
	for time.Now().Before(end) {
		for _, id := range ids {
			if time.Since(acked[id]) <= cancelTime+stopTime+200*time.Millisecond {
				continue
			}
			for _, task := range d.platform.running(id) {
				if !lateRuns[task] {
					lateRuns[task] = true
					d.record.log("task %s runs %d ms after the cancelling of its job was acknowledged", task, time.Since(acked[id]).Milliseconds())
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range d.platform.allStarts() {
		id, _, _ := strings.Cut(s.task, ".")
		if late := s.at.Sub(acked[id]); !acked[id].IsZero() && late > cancelTime {
			found = append(found, broken(fmt.Sprintf("UNASKED: minion %s started task %s run %d %d ms after the cancelling of its job was acknowledged (cancel_ms %d)", s.minion.id, s.task, s.attempt, late.Milliseconds(), cancelTime.Milliseconds())))
		}
	}
	return found
}

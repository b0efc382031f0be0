//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// configCase moves a queue to another service while the store turns the leader of a shard away and serves
// all others. More changes follow, which concern other queues.
func configCase(d *deployment, trouble bool) (found []broken) {
	const (
		turnedAway = 9 * time.Second
		storm      = 4 * time.Second
		storms     = 2
		gap        = 330 * time.Millisecond
	)
	routes := []route{{"r1", "/swap/", "old"}}
	d.platform.putDesired(3, routes, "old", "new")
	for _, zone := range d.zones {
		for i := range 8 {
			service := []string{"old", "new"}[i%2]
			if _, err := d.platform.addMinion(fmt.Sprintf("m-%s-%d-%s", zone, i, service), service, zone, "a"); err != nil {
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
	begin := time.Now()
	if trouble {
		leader.turnAway.turnAway.Store(true)
		d.record.log("the store turns node %s away", leader.name)
	}
	// The calls that the node has made before have been answered by then.
	time.Sleep(1200 * time.Millisecond)
	version := int64(5)
	routes[0].Service = "new"
	moved := d.platform.putDesired(version, routes, "old", "new")
	go func() {
		// TROUBLE=one is a control: no other change follows.
		for n := 0; time.Since(moved) < storms*storm && os.Getenv("TROUBLE") != "one"; n++ {
			time.Sleep(gap)
			version += 2
			d.platform.putDesired(version, append(routes[:1:1], route{fmt.Sprintf("idle%d", n), fmt.Sprintf("/idle%d/", n), "new"}), "old", "new")
		}
	}()
	c := newClient(d.record)
	var mu sync.Mutex
	var wait sync.WaitGroup
	sent := make(map[string]time.Time)
	for n := 0; time.Since(begin) < turnedAway; n++ {
		id := fmt.Sprintf("000000000000%04x", n)
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := c.post(other, "/swap/", id, 50, []step{{Count: 1, CPU: 2000, Memory: 64, Estimate: 50}}, 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			sent[id] = a.sent
		}()
		time.Sleep(100 * time.Millisecond)
	}
	leader.turnAway.turnAway.Store(false)
	d.record.log("the store serves all nodes")
	wait.Wait()
	late, later := 0, 0
	var last start
	for _, s := range d.platform.allStarts() {
		id, _, _ := strings.Cut(s.task, ".")
		age := sent[id].Sub(moved)
		if s.minion.service != "old" || age <= configTime {
			continue
		}
		late++
		if age > configTime+skewTime {
			later++
		}
		if last.minion == nil || s.at.After(last.at) {
			last = s
		}
	}
	if late > 0 {
		id, _, _ := strings.Cut(last.task, ".")
		found = append(found, broken(fmt.Sprintf("CONFIG: minions of the old service ran %d requests that were sent over %d ms after the ack of the version that moved their queue, %d of them over %d ms after it; the last one, task %s, was sent %d ms after it",
			late, configTime.Milliseconds(), later, (configTime+skewTime).Milliseconds(), last.task, sent[id].Sub(moved).Milliseconds())))
	}
	return found
}

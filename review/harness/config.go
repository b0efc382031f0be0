//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// configCase moves a queue to another service while the leader of a shard is partitioned from the store. More
// changes follow, which concern other queues.
func configCase(d *deployment, trouble bool) (found []broken) {
	const (
		cut   = 5500 * time.Millisecond
		storm = 4 * time.Second
		gap   = 330 * time.Millisecond
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
		leader.relay.cut()
		d.record.log("node %s is partitioned from the store", leader.name)
	}
	time.Sleep(200 * time.Millisecond)
	version := int64(5)
	routes[0].Service = "new"
	moved := d.platform.putDesired(version, routes, "old", "new")
	go func() {
		// TROUBLE=one is a control: no other change follows.
		for n := 0; time.Since(moved) < storm && os.Getenv("TROUBLE") != "one"; n++ {
			time.Sleep(gap)
			version += 2
			d.platform.putDesired(version, append(routes[:1:1], route{fmt.Sprintf("idle%d", n), fmt.Sprintf("/idle%d/", n), "new"}), "old", "new")
		}
	}()
	c := newClient(d.record)
	var mu sync.Mutex
	var wait sync.WaitGroup
	sent := make(map[string]time.Time)
	for n := 0; time.Since(begin) < cut; n++ {
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
	leader.relay.heal()
	d.record.log("the partition ends")
	wait.Wait()
	late := 0
	var last start
	for _, s := range d.platform.allStarts() {
		id, _, _ := strings.Cut(s.task, ".")
		if s.minion.service != "old" || sent[id].Sub(moved) <= configTime {
			continue
		}
		late++
		if last.minion == nil || s.at.After(last.at) {
			last = s
		}
	}
	if late > 0 {
		id, _, _ := strings.Cut(last.task, ".")
		found = append(found, broken(fmt.Sprintf("CONFIG: minions of the old service ran %d requests that were sent over %d ms after the ack of the version that moved their queue; the last one, task %s, was sent %d ms after it",
			late, configTime.Milliseconds(), last.task, sent[id].Sub(moved).Milliseconds())))
	}
	return found
}

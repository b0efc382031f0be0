//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const drainTime = 2 * time.Second

// drainCase kills all members of a shard's replica set at once, 2.2 s after a minion of the shard has
// reported that it drains. Another node of the zone takes over.
func drainCase(d *deployment, trouble bool) (found []broken) {
	d.platform.putDesired(3, []route{{"r1", "/swap/", "playout"}}, "playout")
	var leaving *minion
	for _, zone := range d.zones {
		for i := range 4 {
			m, err := d.platform.addMinion(fmt.Sprintf("m-%s-%d", zone, i), "playout", zone, "a")
			if err != nil {
				fail("add minion: %v", err)
			}
			if zone == "zone-a" && i == 0 {
				leaving = m
			}
		}
	}
	for i := range 9 {
		zone := d.zones[i%2]
		d.addNode(fmt.Sprintf("frontend-%s-%d", zone, i/2+1), zone)
	}
	d.startAll()
	time.Sleep(historyTime + 3*time.Second)
	members := d.platform.members("zone-a")
	d.record.log("the replica set of zone-a is %v, that of zone-b %v", members, d.platform.members("zone-b"))
	for _, name := range d.platform.members("zone-b") {
		if strings.HasPrefix(name, "frontend-zone-a") && !slices.Contains(members, name) {
			members = append(members, name)
		}
	}
	var calm *node
	for _, n := range d.nodes {
		if n.zone == "zone-a" && !slices.Contains(members, n.name) {
			calm = n
		}
	}
	if calm == nil {
		fail("all nodes of zone-a are in the replica set %v", members)
	}
	acked := leaving.drain(drainTime + 4*time.Second)
	time.Sleep(drainTime + 200*time.Millisecond)
	if trouble {
		for _, n := range d.nodes {
			if slices.Contains(members, n.name) {
				n.signal(9)
			}
		}
	}
	c := newClient(d.record)
	var wait sync.WaitGroup
	for n := range 115 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.post(calm, "/swap/", fmt.Sprintf("000000000000%04x", n), 170, []step{{Count: 2, CPU: 14000, Memory: 64, Estimate: 170}}, 2*time.Second)
		}()
		time.Sleep(10500 * time.Microsecond)
	}
	wait.Wait()
	for _, s := range d.platform.allStarts() {
		if late := s.at.Sub(acked); s.minion == leaving && late > drainTime {
			found = append(found, broken(fmt.Sprintf("DRAIN: minion %s started task %s %d ms after the store had acknowledged that it drains (drain_ms %d)", leaving.id, s.task, late.Milliseconds(), drainTime.Milliseconds())))
		}
	}
	return found
}

//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	recoveryTime = 12 * time.Second
	// replacedPerZone is how many nodes of each zone have been removed for good and replaced.
	replacedPerZone = 359
	batch           = 24
)

// recoverCase replaces nodes one after the other, as a platform does over weeks: each is removed for good,
// and one with another name and address takes its place. Then all processes are killed and start again.
func recoverCase(d *deployment, trouble bool) (found []broken) {
	d.platform.putDesired(3, []route{{"r1", "/swap/", "playout"}}, "playout")
	for _, zone := range d.zones {
		for i := range 4 {
			if _, err := d.platform.addMinion(fmt.Sprintf("m-%s-%d", zone, i), "playout", zone, "a"); err != nil {
				fail("add minion: %v", err)
			}
		}
		for i := range 2 {
			d.addNode(fmt.Sprintf("frontend-%s-%d", zone, replacedPerZone+i+1), zone)
		}
	}
	d.startAll()
	if trouble {
		d.replace()
	}
	time.Sleep(3 * time.Second)
	c := newClient(d.record)
	before, _ := d.served(c, 0, 2*time.Second)
	for _, n := range d.nodes {
		n.signal(9)
	}
	time.Sleep(870 * time.Millisecond)
	for _, n := range d.nodes {
		n.start()
	}
	back := time.Now()
	d.record.log("all nodes are back")
	time.Sleep(recoveryTime)
	after, requests := d.served(c, 1, 6*time.Second)
	d.record.log("served before the final fault %.2f, later than %v after it %.2f of %d requests", before, recoveryTime, after, requests)
	if before < 0.25 {
		fail("only %.2f of the requests are served before the final fault", before)
	}
	if after < 0.25 {
		found = append(found, broken(fmt.Sprintf("RECOVER: of %d requests sent %v to %v after all nodes were back, %.2f are served; %.2f were before", requests, recoveryTime, time.Since(back).Round(time.Second), after, before)))
	}
	return found
}

// replace starts nodes in batches, waits until they have registered, and kills them for good.
func (d *deployment) replace() {
	live := d.nodes
	for first := 1; first <= replacedPerZone; first += batch {
		var joined []*node
		for k := first; k < min(first+batch, replacedPerZone+1); k++ {
			for _, zone := range d.zones {
				n := d.addNode(fmt.Sprintf("frontend-%s-%d", zone, k), zone)
				n.start()
				joined = append(joined, n)
			}
		}
		want := len(live) + 2*min(first+batch-1, replacedPerZone)
		for limit := time.Now().Add(20 * time.Second); d.platform.store.CountRows("vms", "") < want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(limit) {
				fail("%d of %d nodes have registered", d.platform.store.CountRows("vms", ""), want)
			}
		}
		for _, n := range joined {
			n.kill()
			n.process = nil
		}
		d.nodes = live
	}
	d.record.log("%d nodes have been replaced", 2*replacedPerZone)
}

// served sends jobs to all nodes in turn and returns the share that is served, and their number.
func (d *deployment) served(c *client, series int, span time.Duration) (share float64, requests int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	ok := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n, id := d.nodes[requests%len(d.nodes)], fmt.Sprintf("%08x%08x", series, requests)
		requests++
		wait.Add(1)
		go func() {
			defer wait.Done()
			if a := c.post(n, "/swap/", id, 50, []step{{Count: 1, CPU: 14000, Memory: 64, Estimate: 50}}, 1500*time.Millisecond); a.status == 200 {
				mu.Lock()
				ok++
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return float64(ok) / float64(requests), requests
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// silentCase makes all open connections to the store silent. New ones work.
func silentCase(d *deployment, trouble bool) (found []broken) {
	routes := []route{{"r1", "/swap/", "playout"}}
	d.platform.putDesired(3, routes, "playout")
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
	time.Sleep(5 * time.Second)
	c := newClient(d.record)
	silent := time.Now()
	if trouble {
		d.record.log("all open connections to the store go silent")
		for _, n := range d.nodes {
			n.relay.silence()
		}
	}
	time.Sleep(900 * time.Millisecond)
	acked := d.platform.putDesired(5, append(routes, route{"r2", "/added/", "playout"}), "playout")
	var wait sync.WaitGroup
	var mu sync.Mutex
	last := make(map[string]time.Duration)
	for time.Since(silent) < 9*time.Second {
		for _, n := range d.nodes {
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := c.do(http.MethodGet, n, "/added/", "", time.Second)
				if a.status == http.StatusNotFound {
					mu.Lock()
					last[n.name] = max(last[n.name], a.sent.Sub(acked))
					mu.Unlock()
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	for name, age := range last {
		d.record.log("node %s refused the added route with 404 until %d ms after the ack, %d ms after the silence", name, age.Milliseconds(), age.Milliseconds()+acked.Sub(silent).Milliseconds())
		if age > configTime && acked.Add(age).Sub(silent) > contactTime {
			found = append(found, broken(fmt.Sprintf("CONFIG: node %s refused a request for an added route with 404 that was sent %d ms after the ack of its version (config_ms %d), and %d ms after connections went silent (contact_ms %d)",
				name, age.Milliseconds(), configTime.Milliseconds(), acked.Add(age).Sub(silent).Milliseconds(), contactTime.Milliseconds())))
		}
	}
	return found
}

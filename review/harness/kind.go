//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// kindCase crashes a minion while the store is down. It starts again under its id and address as one of
// another kind, and gets a job that requires the kind of before.
func kindCase(d *deployment, trouble bool) (found []broken) {
	d.platform.putDesired(3, []route{{"r1", "/swap/", "playout"}}, "playout")
	var special *minion
	for _, zone := range d.zones {
		for i := range 4 {
			kind := "a"
			if zone == "zone-a" && i == 0 {
				kind = "b"
			}
			m, err := d.platform.addMinion(fmt.Sprintf("m-%s-%d", zone, i), "playout", zone, kind)
			if err != nil {
				fail("add minion: %v", err)
			}
			if kind == "b" {
				special = m
			}
		}
		for i := range 2 {
			d.addNode(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone)
		}
	}
	d.startAll()
	time.Sleep(3 * time.Second)
	_, other := d.leaderAndOther("zone-a")
	c := newClient(d.record)
	sequence := 0
	post := func() answer {
		sequence++
		return c.post(other, "/swap/", fmt.Sprintf("00000000000000%02x", sequence), 100, []step{{Count: 1, CPU: 2000, Memory: 64, Estimate: 100, Requirements: "b"}}, time.Second)
	}
	if a := post(); a.status != 200 {
		fail("a job for kind b is answered with %d before the disruption", a.status)
	}
	if trouble {
		// TROUBLE=crash is a control: the same crash while the store is up.
		if os.Getenv("TROUBLE") != "crash" {
			d.record.log("the store is down")
			d.platform.down.Store(true)
		}
		time.Sleep(300 * time.Millisecond)
		special.crash()
		time.Sleep(500 * time.Millisecond)
		special.startAgain("a")
	} else {
		time.Sleep(800 * time.Millisecond)
	}
	// The store is down for 4.5 s in all.
	for end := time.Now().Add(3700 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		post()
	}
	if d.platform.down.Swap(false) {
		d.record.log("the store is up again")
		for _, m := range d.platform.minions {
			m.register()
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		post()
	}
	for _, s := range d.platform.allStarts() {
		if s.kind != "b" {
			found = append(found, broken(fmt.Sprintf("ROUTE: minion %s of kind %s started task %s, which requires kind b", s.minion.id, s.kind, s.task)))
		}
	}
	return found
}

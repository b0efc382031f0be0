//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	// entriesEndpoints endpoints run the tasks; entriesCut of them, a fifth, lose the path to the store.
	entriesEndpoints, entriesCut = 40, 8
	// cutLasts is the time of two heartbeats: the third is due when the entry is removed.
	cutLasts = 3 * time.Second
	// killAfter is how long after the cut the leader is killed.
	killAfter = 19 * time.Second
)

// rounds bounds how often the case is repeated until the rule is broken.
const rounds = 3

// returnedEntries cuts a fifth of the endpoints off from the store for two heartbeats, so that entries are
// removed and back within one read of the list. Much later the shard's leader is killed while its jobs run.
func returnedEntries(d *deployment) bool {
	trouble := os.Getenv("TROUBLE")
	d.addEndpoints(dataCentre, entriesEndpoints)
	d.addNodes(3, dataCentre)
	d.awaitReady()
	time.Sleep(2 * time.Second)
	for round := range rounds {
		if returnedEntriesRound(d, round, trouble) {
			return true
		}
	}
	return false
}

func returnedEntriesRound(d *deployment, round int, trouble string) bool {
	cut := rand.Perm(len(d.endpoints))[:entriesCut]
	if trouble != "0" && trouble != "kill" {
		for _, i := range cut {
			d.record.write("%s is cut off from the store", d.endpoints[i].id)
			d.endpoints[i].setCut(true)
		}
	}
	time.Sleep(cutLasts)
	for _, i := range cut {
		d.endpoints[i].setCut(false)
	}
	d.record.write("all endpoints reach the store")
	// The kill comes at no fixed phase of the reads and heartbeats.
	time.Sleep(killAfter - loadBefore + time.Duration(rand.Int64N(int64(heartbeatInterval))))
	go d.load(round, loadBefore+3*time.Second)
	time.Sleep(loadBefore)
	leader := d.leader(dataCentre)
	if trouble != "0" {
		d.record.write("leader %s is killed", leader.name)
		leader.kill()
	}
	time.Sleep(6 * time.Second)
	n := d.attempts.overlaps()
	d.record.write("tasks that ran twice at the same time: %d", n)
	if trouble != "0" {
		d.start(leader)
	}
	time.Sleep(2 * time.Second)
	return n > 0
}

// loadBefore is how long jobs have been sent when the leader is killed.
const loadBefore = 4 * time.Second

// load sends six jobs of four tasks a second, each for 1.5 to 2.5 s: 60 % of the capacity.
func (d *deployment) load(round int, lasts time.Duration) {
	for i := range int(lasts / (165 * time.Millisecond)) {
		runs := 1500*time.Millisecond + time.Duration(rand.Int64N(1000))*time.Millisecond
		go d.send(fmt.Sprintf("%016x", 0xe000+0x100*round+i), i, 4, 14000, runs)
		time.Sleep(165 * time.Millisecond)
	}
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

const (
	// spread is anti_affinity: at most this many tasks of the step run on one endpoint.
	spread = 1
	// jobInterval is the pause between jobs of eight tasks of 14 cores.
	jobInterval = 21 * time.Millisecond
	// rollInterval is the pause between the restarts of nodes.
	rollInterval = 300 * time.Millisecond
	resentLasts  = 90 * time.Second
)

// resentPart restarts the nodes in turn while jobs are divided between two data centres.
func resentPart(d *deployment) bool {
	d.addEndpoints(dataCentre, 10)
	d.addEndpoints(otherCentre, 10)
	d.addNodes(2, dataCentre, otherCentre)
	d.awaitReady()
	time.Sleep(3 * time.Second)
	end := time.Now().Add(resentLasts)
	go d.spreadLoad(end)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(rollInterval)
		if n := d.overSpread(); n > 0 {
			d.record.write("starts beyond anti_affinity: %d", n)
			return true
		}
		if os.Getenv("TROUBLE") == "0" {
			continue
		}
		n := d.leader([]string{dataCentre, otherCentre}[i%2])
		d.record.write("SIGTERM to %s", n.name)
		_ = n.process.Process.Signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(6 * time.Second):
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		d.start(n)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	return d.overSpread() > 0
}

// spreadLoad sends jobs that take most of the capacity.
func (d *deployment) spreadLoad(end time.Time) {
	pace := time.NewTicker(jobInterval)
	defer pace.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-pace.C
		runs := 50*time.Millisecond + time.Duration(rand.Int64N(100))*time.Millisecond
		spec, err := json.Marshal(standin.Payload{RunMs: runs.Milliseconds(), MilliCores: 14000})
		if err != nil {
			panic(err)
		}
		body, err := json.Marshal(map[string]any{"task_spec": string(spec), "best_effort": true, "steps": []map[string]any{
			{"count": 8, "cpu": 14000, "mem_mb": 64, "estimate_ms": runs.Milliseconds(), "anti_affinity": spread},
		}})
		if err != nil {
			panic(err)
		}
		n := d.nodes[rand.IntN(len(d.nodes))]
		id := fmt.Sprintf("%016x", 0xd0000+i)
		go func() {
			status := d.post(n, id, body, 1500*time.Millisecond)
			d.record.write("job %s sent to %s, answered: %d", id, n.name, status)
		}()
	}
}

// overSpread writes and counts the starts at an endpoint that ran as many tasks of the step as it may.
func (d *deployment) overSpread() int {
	d.attempts.mu.Lock()
	defer d.attempts.mu.Unlock()
	type place struct{ step, endpoint string }
	places := make(map[place][]string)
	all := make(map[string]*attempt)
	for task, runs := range d.attempts.byTask {
		step := task[:strings.LastIndex(task, ".")]
		for i, a := range runs {
			name := fmt.Sprintf("%s run %d (%d)", task, a.number, i)
			all[name] = a
			p := place{step, a.endpoint}
			places[p] = append(places[p], name)
		}
	}
	n := 0
	for p, names := range places {
		for _, name := range names {
			a := all[name]
			var beside []string
			for _, other := range names {
				b := all[other]
				if other != name && b.began.Before(a.began) && (b.end.IsZero() || b.end.After(a.began)) {
					beside = append(beside, other)
				}
			}
			if len(beside) >= spread {
				n++
				d.record.write("ROUTE: %s began at %s at %.3f s beside %s: anti_affinity is %d", name, p.endpoint, a.began.Sub(d.record.start).Seconds(), strings.Join(beside, " and "), spread)
			}
		}
	}
	return n
}

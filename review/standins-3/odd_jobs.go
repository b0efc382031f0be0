//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["odd-jobs"] = oddJobs }

// oddJobs sends jobs with extreme figures, all of them valid, and checks that the nodes live and serve others.
func oddJobs(o options) *world {
	w := newWorld(o.record, o.binary, o.seed%2 == 0, 2, []int{4, 4}, o.seed)
	w.awaitReady()
	r := rand.New(rand.NewPCG(o.seed, 9))
	pick := func(all ...int64) int64 { return all[r.IntN(len(all))] }
	var clients sync.WaitGroup
	ends := time.Now().Add(o.length)
	for i := 0; time.Now().Before(ends); i++ {
		var steps []jobStep
		var ms []int64
		for k := range pick(1, 1, 1, 2, 5, 60) {
			s := jobStep{
				Count: int(pick(1, 1, 2, 7, 300, 9990)), CPU: pick(0, 1, 1000, 32000, 32001, 1<<30), Mem: pick(0, 1, 1<<17, 1<<40), Estimate: pick(0, 1, 50, 1<<20, 1<<40),
				Requirements: []string{"", "a", "b", "no such label", strings.Repeat("x", 3000)}[r.IntN(5)], Affinity: []string{"", "r0", "none"}[r.IntN(3)], Anti: int(pick(0, 0, 1, 1<<31-1)),
			}
			for b := range k {
				if r.IntN(3) == 0 {
					s.After = append(s.After, int(b))
				}
			}
			steps, ms = append(steps, s), append(ms, pick(0, 1, 20, 200))
		}
		j := w.newJob(fmt.Sprintf("%016x", o.seed<<32+uint64(i)), steps, ms)
		deadline := time.Duration(pick(1, 100, 1500, 4000, 1<<40)) * time.Millisecond
		n := w.nodes[r.IntN(len(w.nodes))]
		clients.Add(1)
		go func() {
			defer clients.Done()
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			w.send(ctx, n, j, deadline)
		}()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
	clients.Wait()
	w.checkHealth()
	for _, m := range w.alive() {
		m.mu.Lock()
		w.check.log("minion %s turned away %d channels", m.id, m.turned)
		m.mu.Unlock()
	}
	return w
}

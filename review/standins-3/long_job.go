//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["long-job"] = longJob }

// longJob sends a job of 66 s at each node.
func longJob(o options) *world {
	w := newWorld(o.record, o.binary, true, 2, []int{4, 4}, o.seed)
	w.awaitReady()
	time.Sleep(time.Second)
	var all sync.WaitGroup
	for i, n := range w.nodes {
		j := w.newJob(fmt.Sprintf("%016x", 0xdd00+i), []jobStep{{Count: 1, CPU: 2000, Mem: 64, Estimate: 66000}, {Count: 2, CPU: 2000, Mem: 64, Estimate: 1000, After: []int{0}}}, []int64{66000, 1000})
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, stop := context.WithTimeout(context.Background(), 80*time.Second)
			defer stop()
			if status, text := w.send(ctx, n, j, 80*time.Second); status != 200 {
				w.check.broken("HEALTH", fmt.Sprintf("%s answers a job of 67 s with %d %s in calm", n.name, status, text))
			}
		}()
	}
	all.Wait()
	return w
}

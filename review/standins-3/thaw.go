//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["thaw"] = thaw }

// thaw freezes a node for 3.5 s while clients send it requests, give up at their limit, and send them again elsewhere.
func thaw(o options) *world {
	w := newWorld(o.record, o.binary, true, 2, []int{6, 6}, o.seed)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	n, other := w.nodes[0], w.nodes[3]
	if o.trouble {
		n.signal(syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
	}
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			j := w.newJob(fmt.Sprintf("%016x", 0xee00+i), []jobStep{{Count: 1, CPU: 4000, Mem: 64, Estimate: 1200}}, []int64{1200})
			for _, to := range []*node{n, other, other} {
				ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				status, _ := w.send(ctx, to, j, 1500*time.Millisecond)
				stop()
				if status != 0 && status != 502 && status != 504 {
					return
				}
				time.Sleep(resendMs * time.Millisecond)
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	clients.Wait()
	return w
}

//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["roll"] = roll }

// roll stops and starts all nodes in turn with SIGTERM while clients cancel jobs.
func roll(o options) *world {
	w := newWorld(o.record, o.binary, true, 2, []int{4, 4, 4}, o.seed)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	begun := time.Now()
	var rolled sync.WaitGroup
	rolled.Add(1)
	go func() {
		defer rolled.Done()
		if !o.trouble {
			time.Sleep(20 * time.Second)
			return
		}
		for i := range w.nodes {
			n := w.nodes[(i*int(1+o.seed%2))%len(w.nodes)]
			rolled.Add(1)
			go func() { defer rolled.Done(); w.restartNode(n, syscall.SIGTERM, 500*time.Millisecond) }()
			time.Sleep(2 * time.Second)
		}
	}()
	var clients sync.WaitGroup
	var mu sync.Mutex
	acked, unacked := 0, 0
	for i := 0; time.Since(begun) < 22*time.Second; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			j := w.newJob(fmt.Sprintf("%016x", 0xc0+i), []jobStep{{Count: 2, CPU: 4000, Mem: 64, Estimate: 3000}}, []int64{3000, 3000})
			answered := make(chan int, 1)
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
				defer stop()
				status, _ := w.send(ctx, w.readyNode(i), j, 8*time.Second)
				answered <- status
			}()
			time.Sleep(300 * time.Millisecond)
			sent := time.Now()
			ok := false
			for k := 0; !ok && time.Since(sent) < ackMs*time.Millisecond; k++ {
				status := w.cancel(w.readyNode(i+1+k), j)
				if ok = status/100 == 2 || status == 410; !ok {
					time.Sleep(500 * time.Millisecond)
				}
			}
			ok = ok && time.Since(sent) <= ackMs*time.Millisecond
			if status := <-answered; status/100 != 2 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if ok {
				acked++
			} else {
				unacked++
			}
		}()
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	rolled.Wait()
	w.check.log("cancels of accepted jobs: %d acknowledged within ack_ms, %d not", acked, unacked)
	fmt.Println("acked", acked, "not", unacked)
	if unacked >= 3 && unacked*10 > acked+unacked {
		w.check.broken("Acks", fmt.Sprintf("%d of %d cancels of accepted jobs have no 2xx or 410 after ack_ms", unacked, acked+unacked))
	}
	return w
}

// readyNode is a node in rotation, as the platform chooses one.
func (w *world) readyNode(i int) *node {
	for k := range w.nodes {
		n := w.nodes[(i+k)%len(w.nodes)]
		n.mu.Lock()
		out := n.expectExit
		n.mu.Unlock()
		if !out && n.isReady() {
			return n
		}
	}
	return w.nodes[i%len(w.nodes)]
}

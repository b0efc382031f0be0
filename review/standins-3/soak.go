//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// soak plays random jobs of all shapes under random disruptions.
func soak(o options) *world {
	if o.seed%4 >= 2 {
		servicesWanted = 2
	}
	w := newWorld(o.record, o.binary, o.seed%2 == 0, 3, []int{4 * servicesWanted, 4 * servicesWanted}, o.seed)
	w.awaitReady()
	ends := time.Now().Add(o.length)
	var clients sync.WaitGroup
	random := rand.New(rand.NewPCG(o.seed, 2))
	if o.trouble {
		go w.disturb(rand.New(rand.NewPCG(o.seed, 3)), ends.Add(-4*time.Second), os.Getenv("FAULTS"))
	}
	for i := 0; time.Now().Before(ends); i++ {
		r := rand.New(rand.NewPCG(o.seed, uint64(1000+i)))
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.client(r, fmt.Sprintf("%016x", o.seed<<32+uint64(i)))
		}()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
	clients.Wait()
	w.checkHealth()
	return w
}

// checkHealth checks that each node serves jobs and cancels, some seconds after the last disruption.
func (w *world) checkHealth() {
	time.Sleep(6 * time.Second)
	for i, n := range w.nodes {
		j := w.newJob(fmt.Sprintf("%016x", 0xfff00000+2*i), []jobStep{{Count: 2, CPU: 2000, Mem: 64, Estimate: 100}}, []int64{100})
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		status, text := w.send(ctx, n, j, 4*time.Second)
		stop()
		if status != 200 {
			w.check.broken("HEALTH", fmt.Sprintf("%s answers a job with %d %s in calm", n.name, status, text))
		}
		c := w.newJob(fmt.Sprintf("%016x", 0xfff00001+2*i), []jobStep{{Count: 1, CPU: 2000, Mem: 64, Estimate: 3000}}, []int64{3000})
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			w.send(ctx, n, c, 4*time.Second)
		}()
		time.Sleep(200 * time.Millisecond)
		if status := w.cancel(n, c); status/100 != 2 && status != 410 {
			w.check.broken("HEALTH", fmt.Sprintf("%s answers a DELETE with %d in calm", n.name, status))
		}
	}
}

func (w *world) client(r *rand.Rand, id string) {
	var steps []jobStep
	var ms []int64
	n := 1
	if r.IntN(2) == 0 {
		n = 1 + r.IntN(4)
	}
	for i := range n {
		s := jobStep{Count: 1 + r.IntN(4), CPU: int64(2000 + r.IntN(12000)), Mem: int64(64 + r.IntN(1024))}
		for b := range i {
			if r.IntN(2) == 0 {
				s.After = append(s.After, b)
			}
		}
		if r.IntN(4) == 0 {
			s.Requirements = string("ab"[r.IntN(2)])
		}
		if r.IntN(4) == 0 {
			s.Anti = 1 + r.IntN(2)
		}
		if r.IntN(4) == 0 {
			s.Affinity = fmt.Sprintf("r%d", r.IntN(2))
		}
		d := int64(5 + r.IntN(300))
		if r.IntN(20) == 0 {
			d = int64(1000 + r.IntN(1500))
		}
		s.Estimate = max(d/2, 1)
		steps, ms = append(steps, s), append(ms, d)
	}
	j := w.newJob(id, steps, ms)
	if r.IntN(cancelOdds) == 0 {
		after := time.Duration(r.IntN(800)) * time.Millisecond
		seed := r.Uint64()
		go func() {
			time.Sleep(after)
			random := rand.New(rand.NewPCG(seed, 1))
			for range 4 {
				if s := w.cancel(w.nodes[random.IntN(len(w.nodes))], j); s/100 == 2 || s == 410 {
					// A copy of the submission may come seconds later.
					if random.IntN(2) == 0 {
						time.Sleep(3100*time.Millisecond + time.Duration(random.IntN(3000))*time.Millisecond)
						ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
						w.send(ctx, w.nodes[random.IntN(len(w.nodes))], j, 3*time.Second)
						stop()
					}
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	deadline := time.Duration(1500+r.IntN(4000)) * time.Millisecond
	for range 3 {
		limit := deadline
		if r.IntN(5) == 0 {
			limit = time.Duration(r.IntN(700)) * time.Millisecond
		}
		ctx, stop := context.WithTimeout(context.Background(), limit)
		status, _ := w.send(ctx, w.nodes[r.IntN(len(w.nodes))], j, deadline)
		stop()
		if status != 0 && status != 502 && status != 504 {
			return
		}
		time.Sleep(resendMs * time.Millisecond)
	}
}

func (w *world) disturb(r *rand.Rand, until time.Time, which string) {
	kinds := strings.Fields("kill term stop peer peerreset store storereset storedown latewrites loseanswers cut cutlong restart late drain config herd silence silencepeer silencestore hup slow")
	if which != "" {
		kinds = strings.Fields(which)
	}
	ms := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	for time.Now().Before(until) {
		time.Sleep(ms(100, 1500))
		n := w.nodes[r.IntN(len(w.nodes))]
		all := w.alive()
		m := all[r.IntN(len(all))]
		kind := kinds[r.IntN(len(kinds))]
		w.check.log("fault %s node %s minion %s", kind, n.name, m.id)
		switch kind {
		case "kill":
			go func(d time.Duration) { w.restartNode(n, syscall.SIGKILL, d) }(ms(50, 1500))
		case "term":
			go func(d time.Duration) { w.restartNode(n, syscall.SIGTERM, d) }(ms(50, 1500))
		case "herd":
			d := ms(50, 1000)
			for _, n := range w.nodes {
				go w.restartNode(n, syscall.SIGKILL, d)
			}
			time.Sleep(2 * time.Second)
		case "stop":
			go func(d time.Duration) {
				n.signal(syscall.SIGSTOP)
				time.Sleep(d)
				n.signal(syscall.SIGCONT)
			}(ms(100, 3000))
		case "peer":
			go func(d time.Duration) { n.toPeer.setHeld(true); time.Sleep(d); n.toPeer.setHeld(false) }(ms(100, 3000))
		case "peerreset":
			n.toPeer.reset()
		case "store":
			go func(d time.Duration) { n.toStore.setHeld(true); time.Sleep(d); n.toStore.setHeld(false) }(ms(100, 4000))
		case "storereset":
			n.toStore.reset()
		case "storedown", "latewrites", "loseanswers":
			f := standin.StoreFaults{Down: kind == "storedown", LoseAnswers: kind == "loseanswers"}
			if kind == "latewrites" {
				f.LateWrites = ms(1000, 4000)
			}
			w.store.SetFaults(f)
			time.Sleep(ms(300, 3000))
			w.store.SetFaults(standin.StoreFaults{})
		case "cut":
			go func(d time.Duration) { m.setCut(true); time.Sleep(d); m.setCut(false) }(ms(50, 900))
		case "cutlong":
			go func(d time.Duration) { m.setCut(true); time.Sleep(d); m.setCut(false) }(ms(900, 4000))
		case "restart":
			m.restart(string("ab"[r.IntN(2)]), int64(16000+16000*r.IntN(3)))
		case "late":
			go func(d time.Duration, x float64) { m.setLate(x); time.Sleep(d); m.setLate(0) }(ms(500, 5000), r.Float64()/2)
		case "drain":
			m.mu.Lock()
			was := m.draining
			m.draining = true
			m.mu.Unlock()
			if was {
				continue
			}
			w.store.Put("servers", m.id, m.row())
			w.check.mu.Lock()
			w.check.drained[m.id] = time.Now()
			w.check.mu.Unlock()
			time.AfterFunc(drainMs*time.Millisecond+ms(10, 1500), func() {
				w.mu.Lock()
				for i, other := range w.minions {
					if other == m {
						w.minions = append(w.minions[:i:i], w.minions[i+1:]...)
						break
					}
				}
				w.mu.Unlock()
				m.leave()
				w.store.Remove("servers", m.id)
			})
			w.addMinion(m.dc)
		case "silence":
			for _, m := range all {
				if r.IntN(2) == 0 {
					m.silence()
				}
			}
		case "silencepeer":
			n.toPeer.silence()
		case "silencestore":
			n.toStore.silence()
		case "hup":
			n.signal(syscall.SIGHUP)
		case "slow":
			go func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); {
					n.signal(syscall.SIGSTOP)
					time.Sleep(40 * time.Millisecond)
					n.signal(syscall.SIGCONT)
					time.Sleep(10 * time.Millisecond)
				}
			}(ms(500, 5000))
		case "config":
			w.version += 3
			if w.services > 1 && r.IntN(2) == 0 {
				w.backend = map[string]string{serviceTag: otherService, otherService: serviceTag}[w.backend]
			}
			w.putDesired()
		}
	}
}

// restartNode ends a process and starts it again after a pause.
func (w *world) restartNode(n *node, s syscall.Signal, pause time.Duration) {
	n.mu.Lock()
	exited := n.exited
	busy := n.expectExit
	n.mu.Unlock()
	if busy {
		return
	}
	n.signal(s)
	if s == syscall.SIGTERM {
		select {
		case <-exited:
		case <-time.After(6 * time.Second):
			w.check.log("node  %s did not end in its grace period", n.name)
			n.signal(syscall.SIGKILL)
		}
	}
	<-exited
	time.Sleep(pause)
	n.start()
}

// cancelOdds is that of how many jobs one is cancelled.
var cancelOdds = 6

func init() {
	if os.Getenv("CANCELS") != "" {
		cancelOdds = 2
	}
}

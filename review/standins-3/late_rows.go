//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["late-rows"] = lateRows }

// lateWrites is the store with answers that are lost: of the writes in its window, some are carried out seconds later.
type lateWrites struct {
	w     *world
	delay time.Duration

	mu    sync.Mutex
	open  bool
	taken map[string]bool
	// late and all count the writes of the window.
	late, all int
}

func (l *lateWrites) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/rows-tx" {
		l.w.store.ServeHTTP(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var tx struct {
		Puts []struct{ Table, Key string } `json:"puts"`
	}
	_ = json.Unmarshal(body, &tx)
	l.mu.Lock()
	isLate := false
	if l.open {
		l.all++
		if len(tx.Puts) == 1 && tx.Puts[0].Table == "vms" && !l.taken[tx.Puts[0].Key] {
			l.taken[tx.Puts[0].Key], isLate = true, true
			l.late++
		}
	}
	l.mu.Unlock()
	again := httptest.NewRequest(http.MethodPost, "/-/rows-tx", bytes.NewReader(body))
	if isLate {
		l.w.check.log("store a write of the row vms/%s gets no answer, and is carried out %v later", tx.Puts[0].Key, l.delay)
		time.AfterFunc(l.delay, func() {
			l.w.store.ServeHTTP(httptest.NewRecorder(), again)
			l.w.check.log("store the late write of vms/%s is carried out", tx.Puts[0].Key)
		})
		panic(http.ErrAbortHandler)
	}
	l.w.store.ServeHTTP(out, again)
}

// lateRows starts a deployment while the store loses answers, kills all processes some seconds later, and checks the
// deployment in calm after that.
func lateRows(o options) *world {
	l := &lateWrites{delay: 5500 * time.Millisecond, open: o.trouble, taken: map[string]bool{}}
	w := newWorldWith(o.record, o.binary, true, 2, []int{4, 4, 4}, o.seed, func(w *world) http.Handler { l.w = w; return l })
	w.awaitReady()
	time.Sleep(2 * time.Second)
	if o.trouble {
		var all sync.WaitGroup
		for _, n := range w.nodes {
			all.Add(1)
			go func() { defer all.Done(); w.restartNode(n, syscall.SIGKILL, 800*time.Millisecond) }()
		}
		all.Wait()
	}
	time.Sleep(1500 * time.Millisecond)
	l.mu.Lock()
	l.open = false
	w.check.log("store answers again; %d of %d writes were late", l.late, l.all)
	l.mu.Unlock()
	time.Sleep(8 * time.Second)
	w.check.log("calm")
	for round := range 10 {
		for i, n := range w.nodes {
			j := w.newJob(fmt.Sprintf("%016x", 0xabc000+100*round+i), []jobStep{{Count: 2, CPU: 2000, Mem: 64, Estimate: 100}}, []int64{100})
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			w.send(ctx, n, j, 4*time.Second)
			stop()
		}
	}
	w.checkHealth()
	return w
}

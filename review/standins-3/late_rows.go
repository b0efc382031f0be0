//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["late-rows"] = lateRows }

// lateWrites is the store while it loses answers: the first write of each node's row in vms gets none, and is carried
// out later.
type lateWrites struct {
	w     *world
	delay time.Duration

	mu    sync.Mutex
	open  bool
	taken map[string]bool
	// late and all count the writes while it is open.
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
	again := httptest.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(body))
	key := l.takes(body)
	if key == "" {
		l.w.store.ServeHTTP(out, again)
		return
	}
	l.w.check.log("store the write of vms/%s gets no answer", key)
	time.AfterFunc(l.delay, func() {
		l.w.store.ServeHTTP(httptest.NewRecorder(), again)
		l.w.check.log("store the write of vms/%s is carried out, %v after it came", key, l.delay)
	})
	panic(http.ErrAbortHandler)
}

// takes returns the key of a write that is to be late, or an empty text.
func (l *lateWrites) takes(body []byte) string {
	var write struct {
		Puts []struct{ Table, Key string } `json:"puts"`
	}
	_ = json.Unmarshal(body, &write)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return ""
	}
	l.all++
	if len(write.Puts) != 1 || write.Puts[0].Table != "vms" || l.taken[write.Puts[0].Key] {
		return ""
	}
	l.taken[write.Puts[0].Key] = true
	l.late++
	return write.Puts[0].Key
}

// lateRows starts a deployment while the store loses some answers, and kills all processes once, which start again.
// Later, in calm, the nodes of one zone are lost for good; its minions stay. Then clients of the other zones cancel
// jobs. With TROUBLE=loss only the nodes are lost.
func lateRows(o options) *world {
	l := &lateWrites{delay: 5500 * time.Millisecond, open: o.trouble && os.Getenv("TROUBLE") != "loss", taken: map[string]bool{}}
	w := newWorldBehind(o.record, o.binary, 2, []int{4, 4, 4}, o.seed, func(w *world) http.Handler { l.w = w; return l })
	w.awaitReady()
	time.Sleep(2 * time.Second)
	if l.open {
		var all sync.WaitGroup
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
			all.Go(func() { <-n.exited; time.Sleep(870 * time.Millisecond); n.start() })
		}
		all.Wait()
		time.Sleep(1100 * time.Millisecond)
		l.mu.Lock()
		l.open = false
		w.check.log("store answers again; %d of %d writes of this time were late", l.late, l.all)
		l.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	w.cancelJobs("before the loss")
	if o.trouble {
		w.check.log("the nodes of dc2 are lost for good")
		for _, n := range w.nodes {
			if n.dc == "dc2" {
				n.signal(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(8 * time.Second)
	w.cancelJobs("after the loss")
	return w
}

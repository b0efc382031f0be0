package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// evacuationNotice is the setting of the VMs.
const evacuationNotice = 2 * time.Second

// injectEvacuation evacuates a data centre or takes that back, at times.
func (f *fleet) injectEvacuation(random *rand.Rand) {
	switch key := fmt.Sprintf("evacuate/dc%d", random.IntN(dataCentres)); random.IntN(6) {
	case 0:
		f.store.Put("op", key, []byte("{}"))
	case 1, 2:
		f.store.Remove("op", key)
	}
}

// checkEvacuation checks, without other faults, that an evacuated data centre gets no start after the notice while
// all VMs complete jobs, and that it gets starts again.
func (f *fleet) checkEvacuation() {
	f.t.Helper()
	caller, sent := standin.Caller{Client: &http.Client{Timeout: callerTimeout}}, 0
	serve := func(n *node) bool {
		sent++
		j := standin.Job{ID: fmt.Sprintf("eeeeee%010x", sent), Tasks: 2, Payload: standin.Payload{RunMs: 20, MilliCores: taskMilliCores}}
		return caller.Send(f.t.Context(), n.callerAddress, j) == standin.Completed
	}
	f.store.Put("op", "evacuate/dc0", []byte("{}"))
	closed, served := time.Now().Add(evacuationNotice), make(map[*node]bool)
	f.checker.close("dc0", closed)
	for time.Now().Before(closed.Add(time.Second)) {
		for _, n := range f.vms {
			served[n] = serve(n) || served[n]
		}
	}
	f.checker.close("dc0", time.Time{})
	f.store.Remove("op", "evacuate/dc0")
	limit, before := time.Now().Add(12*time.Second), f.checker.startsIn("dc0")
	for f.checker.startsIn("dc0") == before && time.Now().Before(limit) {
		serve(f.vms[0])
	}
	if f.checker.startsIn("dc0") == before || len(served) != len(f.vms) || slices.Contains(slices.Collect(maps.Values(served)), false) {
		f.t.Errorf("got jobs served by %d VMs during an evacuation of dc0, starts there after it %v, want all, true", len(served), f.checker.startsIn("dc0") > before)
	}
}

// close sets from when on no task may start in a data centre; the zero time opens it.
func (c *attemptChecker) close(dc string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedFrom[dc] = from
}

func (c *attemptChecker) startsIn(dc string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[dc]
}

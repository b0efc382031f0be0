package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

const (
	// evacuationNotice is the setting of the VMs.
	evacuationNotice = 2 * time.Second
	// emptyFor is how long a data centre is watched after the notice.
	emptyFor = time.Second
)

func evacuationKey(dc string) string { return "evacuate/" + dc }

// evacuateAtTimes evacuates data centres and takes that back until stop is closed, with draws of its own, so that the
// other faults of a seed stay as they are. At times both are evacuated, or one is again at once.
func (f *fleet) evacuateAtTimes(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(f.seed, 13))
	for {
		key := evacuationKey(fmt.Sprintf("dc%d", random.IntN(dataCentres)))
		if random.IntN(3) > 0 {
			f.store.Remove("op", key)
		} else {
			f.store.Put("op", key, []byte("{}"))
		}
		select {
		case <-stop:
			for i := range dataCentres {
				f.store.Remove("op", evacuationKey(fmt.Sprintf("dc%d", i)))
			}
			return
		case <-time.After(time.Duration(random.IntN(2000)) * time.Millisecond):
		}
	}
}

// checkEvacuation checks, without other faults, that an evacuated data centre gets no start after the notice while
// all VMs complete jobs, and that it gets starts again.
func (f *fleet) checkEvacuation() {
	f.t.Helper()
	const dc = "dc0"
	caller := standin.Caller{Client: &http.Client{Timeout: callerTimeout}}
	sent := 0
	serve := func(n *node) bool {
		sent++
		j := standin.Job{ID: fmt.Sprintf("eeeeee%010x", sent), Tasks: 2, Payload: standin.Payload{RunMs: 20, MilliCores: taskMilliCores}}
		return caller.Send(f.t.Context(), n.callerAddress, j) == standin.Completed
	}
	starts := func() int {
		f.checker.mu.Lock()
		defer f.checker.mu.Unlock()
		return f.checker.startsIn[dc]
	}
	f.store.Put("op", evacuationKey(dc), []byte("{}"))
	closed := time.Now().Add(evacuationNotice)
	f.checker.mu.Lock()
	f.checker.closedFrom[dc] = closed
	f.checker.mu.Unlock()
	served := make(map[string]bool)
	for time.Now().Before(closed.Add(emptyFor)) {
		for _, n := range f.vms {
			served[n.name] = serve(n) || served[n.name]
		}
	}
	for _, n := range f.vms {
		if !served[n.name] {
			f.t.Errorf("%s: got no job served while %s was evacuated, want some", n.name, dc)
		}
	}
	f.checker.mu.Lock()
	delete(f.checker.closedFrom, dc)
	f.checker.mu.Unlock()
	f.store.Remove("op", evacuationKey(dc))
	before, limit := starts(), time.Now().Add(12*time.Second)
	for starts() == before {
		if time.Now().After(limit) {
			f.t.Errorf("got no start in %s within 12 s after its evacuation was taken back, want one", dc)
			return
		}
		for _, n := range f.vms {
			serve(n)
		}
	}
}

package fleet

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// restartAll kills all VMs, which start again.
func (f *fleet) restartAll() {
	for _, n := range f.vms {
		n.signal(syscall.SIGKILL)
		f.restart(n)
	}
}

// servedIn reports whether a VM completes jobs at the endpoints of a data centre within the limit.
func (f *fleet) servedIn(n *node, dc string, limit time.Duration) bool {
	caller, before, end := standin.Caller{Client: &http.Client{Timeout: callerTimeout}}, f.checker.startsIn(dc), time.Now().Add(limit)
	for sent := 0; time.Now().Before(end); sent++ {
		j := standin.Job{ID: fmt.Sprintf("dddddd%010x", sent), Tasks: 2, Payload: standin.Payload{RunMs: 20, MilliCores: taskMilliCores}}
		if caller.Send(f.t.Context(), n.callerAddress, j) == standin.Completed && f.checker.startsIn(dc) > before {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Guards against a shard that nobody may lead once its VMs are lost, because former processes of the other VMs have
// replaced their rows: by writes that the store carries out late, or as processes of an earlier version, which write
// without a condition.
func TestRowsOfFormerProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const late = 5 * time.Second
	for _, c := range []struct {
		name      string
		overwrite func(f *fleet)
	}{
		{"late writes", func(f *fleet) {
			f.store.SetFaults(standin.StoreFaults{LateWrites: late})
			f.restartAll()
			time.Sleep(time.Second)
			f.store.SetFaults(standin.StoreFaults{})
			lost := time.Now()
			f.awaitReady()
			f.restartAll()
			time.Sleep(time.Until(lost.Add(late)))
		}},
		{"unconditional writes", func(f *fleet) {
			for _, n := range f.vms {
				f.store.Put("vms", n.name, fmt.Appendf(nil, `{"incarnation":"%s-former","address":%q,"dataCentre":%q,"milliCores":400}`, n.name, n.peerRelay.address(), n.dc))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			f.awaitReady()
			c.overwrite(f)
			f.awaitReady()
			// A leader writes its replica set once a second at most.
			time.Sleep(3 * time.Second)
			for _, n := range f.vms {
				if n.dc == "dc1" {
					n.remove()
				}
			}
			f.store.Put("op", "evacuate/dc0", []byte("{}"))
			if !f.servedIn(f.vms[0], "dc1", 15*time.Second) {
				t.Errorf("got no job served in dc1 after the loss of its VMs, want VMs of dc0 to lead it; the log of %s:\n%s", f.vms[0].name, f.vms[0].tail(20))
			}
		})
	}
}

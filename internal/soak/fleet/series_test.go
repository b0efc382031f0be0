package fleet

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// seriesSteps is how many steps there are for each series of shutdowns.
const seriesSteps = 20

// seriesLead is how long before the first SIGTERM of a series callers open connections.
const seriesLead = time.Second

// listenerCloses is when a VM closes its listener after SIGTERM.
const listenerCloses = gracePeriod / 2

// connectionsPerShutdown is how many connections callers use on a VM that shuts down.
const connectionsPerShutdown = 16

// injectSeries shuts VMs down one after the other, at times. Series may overlap.
func (f *fleet) injectSeries(random *rand.Rand) {
	if random.IntN(seriesSteps) == 0 {
		f.beginSeries(random, 1+random.IntN(3))
	}
}

// beginSeries shuts down some VMs, each while the one before may still hand over to it, with other signals in
// between. Callers use connections to them that are open. Each VM starts again when its process has ended.
func (f *fleet) beginSeries(random *rand.Rand, vms int) {
	began, at := time.Now(), seriesLead
	for _, i := range random.Perm(len(f.vms))[:vms] {
		n := f.vms[i]
		f.t.Logf("%s series: %s gets SIGTERM at %s", began.Format(timeFormat), n.name, began.Add(at).Format(timeFormat))
		f.sendAt(n, syscall.SIGTERM, began.Add(at))
		f.drawSignals(random, n, began.Add(at))
		for range connectionsPerShutdown {
			p := f.drawConnection(random, at)
			f.series.Go(func() { f.use(n, p, began) })
		}
		at += milliseconds(random, 100*time.Millisecond, time.Second)
		if random.IntN(4) == 0 {
			// The next VM has taken over shards of this one by then.
			at += 2 * time.Second
		}
	}
}

// drawSignals sends further signals during a shutdown. None leaves the VM without processor time for its last answers.
func (f *fleet) drawSignals(random *rand.Rand, n *node, terminated time.Time) {
	if random.IntN(3) == 0 {
		f.sendAt(n, syscall.SIGTERM, terminated.Add(milliseconds(random, 0, 4*time.Second)))
	}
	if random.IntN(3) == 0 {
		f.sendAt(n, syscall.SIGHUP, terminated.Add(milliseconds(random, 0, 5*time.Second)))
	}
	if random.IntN(3) > 0 {
		// Half of the freezes begin before the listener is closed, and most of those end after that.
		from, until := time.Duration(0), 4*time.Second
		if random.IntN(2) == 0 {
			from, until = listenerCloses-600*time.Millisecond, listenerCloses
		}
		freeze := terminated.Add(milliseconds(random, from, until))
		f.sendAt(n, syscall.SIGSTOP, freeze)
		f.sendAt(n, syscall.SIGCONT, freeze.Add(milliseconds(random, 100*time.Millisecond, 900*time.Millisecond)))
	}
}

// sendAt sends a signal to a VM at a time. If the process ends, it is started again: SIGHUP ends one that has just begun.
func (f *fleet) sendAt(n *node, s syscall.Signal, at time.Time) {
	f.series.Go(func() {
		time.Sleep(time.Until(at))
		f.t.Logf("%s %s gets %v", time.Now().Format(timeFormat), n.name, s)
		n.signal(s)
		f.restart(n)
	})
}

package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// loggedTable is a table of the store with all of its changes.
type loggedTable struct {
	changes []store.Row
	version store.Revision
	// latestOnly means that the feed has one change for each row, the latest.
	latestOnly bool
}

func (s *loggedTable) put(r store.Row) {
	s.version++
	r.Revision = s.version
	s.changes = append(s.changes, r)
}

// at returns the rows as of a version.
func (s *loggedTable) at(version store.Revision) map[string]store.Row {
	rows := make(map[string]store.Row)
	for _, r := range s.changes {
		switch {
		case r.Revision > version:
		case r.Removed:
			delete(rows, r.Key)
		default:
			rows[r.Key] = r
		}
	}
	return rows
}

func (s *loggedTable) since(version store.Revision) []store.Row {
	var rows []store.Row
	for _, r := range s.changes {
		if r.Revision <= version {
			continue
		}
		if s.latestOnly {
			rows = slices.DeleteFunc(rows, func(o store.Row) bool { return o.Key == r.Key })
		}
		rows = append(rows, r)
	}
	return rows
}

// listingVM is a VM that follows the list of endpoints.
type listingVM struct {
	daemon  *Daemon
	rows    map[string]store.Row
	version store.Revision
}

func newListingVM(c clock.Clock) *listingVM {
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, c), link: network.NewLink(link.MegabitsPerSecond(1000), c), changeLog: changeLog{clock: c}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), c, 10)
	return &listingVM{daemon: d, rows: make(map[string]store.Row)}
}

// read applies an answer to a request for the changes since the VM's version, or for the whole table, and
// returns the list that the control state gets.
func (v *listingVM) read(s store.Snapshot, c clock.Clock, whole, relayed bool) node.EndpointsLoaded {
	if whole {
		clear(v.rows)
	}
	r := tableRead{rows: v.rows, version: s.Version, whole: whole, relayed: relayed, sentAt: c.Now()}
	r.changes = applyChanges(v.rows, s.Rows)
	v.version = s.Version
	v.daemon.endpointsRead(r)
	return (<-v.daemon.loop.mailbox).(node.EndpointsLoaded)
}

// readSomewhere reads the list through another VM if one is given that has all changes, or else from the store.
func (v *listingVM) readSomewhere(s *loggedTable, through *listingVM, c clock.Clock, historyTruncated bool) node.EndpointsLoaded {
	if v.version > 0 && through != nil && through != v {
		if changes, _, ok := through.daemon.changeLog.Since(v.version); ok {
			return v.read(changes, c, false, true)
		}
	}
	if v.version == 0 || historyTruncated {
		rows := slices.SortedFunc(maps.Values(s.at(s.version)), func(a, b store.Row) int { return cmp.Compare(a.Key, b.Key) })
		return v.read(store.Snapshot{Rows: rows, Version: s.version}, c, true, false)
	}
	return v.read(store.Snapshot{Rows: s.since(v.version), Version: s.version}, c, false, false)
}

// Guards against a VM whose list of endpoints is not that of the store as of its version, whoever has read it
// for the VM: entries come and go, change and become unreadable between reads, VMs follow the list through each
// other and change whom they follow, and restart or read the whole list again.
func TestListsThroughOtherVMsAreTheStores(t *testing.T) {
	for _, latestOnly := range []bool{false, true} {
		for seed := range uint64(300) {
			if got := playLists(seed, latestOnly); got != "" {
				t.Errorf("seed %d, only the latest change of a row %v: %s", seed, latestOnly, got)
			}
		}
	}
}

// playLists returns the first difference between a VM's list and that of the store.
func playLists(seed uint64, latestOnly bool) string {
	random, clocks := rand.New(rand.NewPCG(seed, 1)), clock.NewManual(clock.Hour)
	table := &loggedTable{latestOnly: latestOnly}
	vms := make([]*listingVM, 4)
	for i := range vms {
		vms[i] = newListingVM(clocks)
	}
	for step := range 150 {
		for range random.IntN(4) {
			key := fmt.Sprintf("e%d", random.IntN(4))
			r := listedRow([]string{"ready", "ready", "ready", "draining"}[random.IntN(4)])
			if random.IntN(8) == 0 {
				r.Value = []byte("{")
			}
			r.Key, r.Removed = key, random.IntN(4) == 0
			table.put(r)
		}
		clocks.Advance(clock.Millis(random.IntN(800)))
		i := random.IntN(len(vms))
		if random.IntN(30) == 0 {
			vms[i] = newListingVM(clocks)
		}
		var through *listingVM
		if random.IntN(4) > 0 {
			through = vms[random.IntN(len(vms))]
		}
		got := vms[i].readSomewhere(table, through, clocks, random.IntN(15) == 0)
		if difference := differenceOf(got, table.at(vms[i].version)); difference != "" {
			return fmt.Sprintf("step %d: VM %d, version %d of %d: %s", step, i, vms[i].version, table.version, difference)
		}
	}
	return ""
}

// differenceOf compares a list of endpoints with the rows of the store.
func differenceOf(list node.EndpointsLoaded, rows map[string]store.Row) string {
	states := make(map[string]string)
	for _, e := range list.Endpoints {
		states[string(e.ID)] = map[bool]string{true: "draining", false: "ready"}[e.Draining]
	}
	for _, id := range list.Unreadable {
		states[string(id)] = "unreadable"
	}
	want := make(map[string]string)
	for key, r := range rows {
		for _, state := range []string{"ready", "draining"} {
			if string(r.Value) == string(listedRow(state).Value) {
				want[key] = state
			}
		}
		if want[key] == "" {
			want[key] = "unreadable"
		}
	}
	if !maps.Equal(states, want) {
		return fmt.Sprintf("got %v, want %v", states, want)
	}
	return ""
}

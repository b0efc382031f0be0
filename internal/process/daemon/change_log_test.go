package daemon

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// Guards against a VM that passes on a list with gaps, or takes a list for newer than it is.
func TestChangeLogKnowsWhatItHas(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	c := changeLog{clock: clocks}
	row := func(r store.Revision) store.Row { return store.Row{Key: "e", Revision: r} }
	readAt := clocks.Now()
	c.record(tableRead{whole: true, version: 10, sentAt: readAt}, nil, nil)
	c.record(tableRead{version: 12, sentAt: readAt}, []store.Row{row(11), row(12)}, nil)
	c.record(tableRead{version: 15, sentAt: readAt}, nil, nil)
	clocks.Advance(70)
	for _, tt := range []struct {
		name    string
		after   store.Revision
		rows    int
		version store.Revision
		ok      bool
	}{
		{"before the first read", 9, 0, 0, false},
		{"all changes", 10, 2, 15, true},
		{"some changes", 11, 1, 15, true},
		{"none", 15, 0, 15, true},
		{"the other VM is ahead", 20, 0, 20, true},
	} {
		s, age, ok := c.Since(tt.after)
		if ok != tt.ok || len(s.Rows) != tt.rows || s.Version != tt.version {
			t.Errorf("%s: got %d rows at version %d, known %v, want %d at %d, known %v", tt.name, len(s.Rows), s.Version, ok, tt.rows, tt.version, tt.ok)
		}
		if want := clock.Millis(70); ok && age != want {
			t.Errorf("%s: got an age of %d ms, want %d ms", tt.name, age, want)
		}
	}
	c.record(tableRead{version: 16}, nil, nil)
	if _, _, ok := c.Since(15); ok {
		t.Errorf("got the changes of a read that may not have all, want none")
	}
	for r := store.Revision(17); r < 17+maxLoggedChanges; r++ {
		c.record(tableRead{version: r, sentAt: readAt}, []store.Row{row(r)}, nil)
	}
	if _, _, ok := c.Since(11); ok {
		t.Errorf("got changes of which the log has dropped some, want none")
	}
	if s, _, ok := c.Since(12); !ok || len(s.Rows) != maxLoggedChanges {
		t.Errorf("got %d changes, known %v, want %d", len(s.Rows), ok, maxLoggedChanges)
	}
}

// Guards against heartbeats of endpoints that are passed on to every VM, and against changes that are
// not.
func TestOnlyRelevantChangesArePassedOn(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	beat := func(state, sequence string) []byte {
		return []byte(`{"backend":"b","address":"10.0.0.1:1","zone":"centro","state":"` + state + `","sequence":` + sequence + `}`)
	}
	rows := map[string]store.Row{"e1": {Key: "e1", Value: beat("ready", "1"), Revision: 1}}
	d.endpointsRead(tableRead{rows: rows, version: 1, whole: true, sentAt: clocks.Now()})
	<-d.loop.mailbox
	for i, tt := range []struct {
		name string
		row  store.Row
		want int
	}{
		{"heartbeat", store.Row{Value: beat("ready", "2")}, 0},
		{"drains", store.Row{Value: beat("draining", "3")}, 1},
		{"becomes unreadable", store.Row{Value: []byte("{")}, 1},
		{"is readable again", store.Row{Value: beat("draining", "4")}, 1},
		{"is removed", store.Row{Removed: true}, 1},
	} {
		version := store.Revision(i + 2)
		tt.row.Key, tt.row.Revision = "e1", version
		delete(rows, "e1")
		if !tt.row.Removed {
			rows["e1"] = tt.row
		}
		d.endpointsRead(tableRead{rows: rows, version: version, changes: []store.Row{tt.row}, sentAt: clocks.Now()})
		<-d.loop.mailbox
		if s, _, ok := d.changeLog.Since(version - 1); !ok || len(s.Rows) != tt.want {
			t.Errorf("%s: got %d rows, known %v, want %d", tt.name, len(s.Rows), ok, tt.want)
		}
	}
}

// Guards against entries that VMs lose which follow the list through another one: an entry is removed and
// back, or has been otherwise for a moment, between two reads of that VM, and the follower may have read the
// list itself in between.
func TestListThroughAnotherVMIsTheStores(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	put := func(r store.Revision, state string) store.Row {
		row := listedRow(state)
		row.Key, row.Revision = "e1", r
		return row
	}
	removed := store.Row{Key: "e1", Revision: 2, Removed: true}
	for _, tt := range []struct {
		name    string
		changes []store.Row
		// ownRead is the version at which the follower has read the store itself.
		ownRead store.Revision
	}{
		{"removed and back", []store.Row{removed, put(3, "ready")}, 1},
		{"removed and back, read in between", []store.Row{removed, put(3, "ready")}, 2},
		{"leaving and back", []store.Row{put(2, "draining"), put(3, "ready")}, 2},
		{"unreadable and back", []store.Row{{Key: "e1", Revision: 2, Value: []byte("{")}, put(3, "ready")}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
			d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
			rows, followed := make(map[string]store.Row), make(map[string]store.Row)
			first := applyChanges(rows, []store.Row{put(1, "ready")})
			applyChanges(followed, first)
			d.endpointsRead(tableRead{rows: rows, version: 1, changes: first, whole: true, sentAt: clocks.Now()})
			d.endpointsRead(tableRead{rows: rows, version: 3, changes: applyChanges(rows, tt.changes), sentAt: clocks.Now()})
			for _, r := range tt.changes {
				if r.Revision <= tt.ownRead {
					applyChanges(followed, []store.Row{r})
				}
			}
			s, _, ok := d.changeLog.Since(tt.ownRead)
			applyChanges(followed, s.Rows)
			if got, want := string(followed["e1"].Value), string(rows["e1"].Value); !ok || got != want {
				t.Errorf("got the entry %q, known %v, want %q", got, ok, want)
			}
		})
	}
}

// Guards against changes that a VM misses whose version is between those of the pages in which another VM has
// read the list.
func TestChangesBetweenPagesAreNotPassedOn(t *testing.T) {
	c := changeLog{clock: clock.NewManual(clock.Hour)}
	c.record(tableRead{whole: true, version: 10, rows: map[string]store.Row{"a": {Revision: 9}, "b": {Revision: 13}}, sentAt: 1}, nil, nil)
	c.record(tableRead{version: 14, sentAt: 1}, nil, nil)
	if s, _, ok := c.Since(11); ok {
		t.Errorf("got %+v after version 11, want none: row b may have changed since", s)
	}
	if _, _, ok := c.Since(13); !ok {
		t.Errorf("got no answer after version 13, want one")
	}
}

// relayedChanges is a changeSource with the given answers; nil is none.
type relayedChanges struct {
	answers chan *store.Snapshot
	sentAt  clock.Millis
}

func (r *relayedChanges) follow(store.Revision) (store.Snapshot, clock.Millis, bool) {
	s := <-r.answers
	if s == nil {
		return store.Snapshot{}, 0, false
	}
	return *s, r.sentAt, true
}

func (r *relayedChanges) pause() clock.Millis { return 0 }

// Guards against a list that another VM has read and that counts as newer or more complete than it is,
// and against a VM that depends on the other one: without its answer, and after a take-over, the list
// comes from the store.
func TestFollowerUsesTheReadsOfAnotherVM(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	pages, wake, reads := make(chan []store.Row, 8), make(chan struct{}, 1), make(chan tableRead)
	source := &relayedChanges{answers: make(chan *store.Snapshot), sentAt: clocks.Now() - 300}
	f := &follower{
		store: &changingStore{pages: pages}, table: "servers", clock: clocks, wake: wake, relay: source, logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
		pause: constantPause(clock.Hour), changed: func(r tableRead) { reads <- r }, unchanged: func(r tableRead) { reads <- r },
	}
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx) }()
	if r := <-reads; !r.whole || r.relayed {
		t.Errorf("got %+v first, want the table from the store", r)
	}
	wake <- struct{}{}
	pages <- []store.Row{}
	if r := <-reads; r.relayed || r.sentAt != clocks.Now() {
		t.Errorf("got %+v after a wake-up, want a read of the store", r)
	}
	wake <- struct{}{}
	pages <- []store.Row{{Key: "c"}}
	<-reads
	f.pause = constantPause(0)
	wake <- struct{}{}
	pages <- []store.Row{}
	<-reads
	source.answers <- &store.Snapshot{Version: 9, Rows: []store.Row{{Key: "d"}}}
	if r := <-reads; !r.relayed || r.sentAt != source.sentAt || r.gap || r.version != 9 || len(r.rows) != 4 {
		t.Errorf("got %+v, want the changes of the other VM as of its read", r)
	}
	source.answers <- &store.Snapshot{Version: 10, Rows: []store.Row{{Key: "d", Removed: true}}}
	if r := <-reads; !r.gap || len(r.rows) != 3 {
		t.Errorf("got %+v, want a gap after a removal", r)
	}
	source.answers <- nil
	pages <- []store.Row{{Key: "e"}}
	if r := <-reads; r.relayed || r.sentAt != clocks.Now() || r.version != 11 {
		t.Errorf("got %+v without the other VM, want a read of the store from version 10 on", r)
	}
	cancel()
	go func() { source.answers <- nil }()
	if err := <-ended; err == nil {
		t.Errorf("got nil, want the context's error")
	}
}

// Guards against answers of the store that fill a narrow link for long, and against reads that stay
// frequent on a link that has room.
func TestReadsOfANarrowLinkAreShort(t *testing.T) {
	const bytesPerMs = 27
	for _, tt := range []struct {
		mbps float64
		want clock.Millis
	}{{2, 200}, {1000, leaderEndpointsPause}} {
		p, rate := newReadPace(), link.MegabitsPerSecond(tt.mbps)
		pause := leaderEndpointsPause
		for range 50 {
			p.adapt(rate.TransferTime(link.Bytes(pause * bytesPerMs)))
			pause = min(leaderEndpointsPause, p.pause)
		}
		if pause > tt.want || pause < tt.want*2/3 {
			t.Errorf("%g Mbit/s: got a pause of %d ms between reads, want about %d ms", tt.mbps, pause, tt.want)
		}
	}
}

package daemon

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

func listedRow(state string) store.Row {
	return store.Row{Value: fmt.Appendf(nil, `{"backend":"b","address":"10.0.0.1:1","zone":"centro","state":%q}`, state)}
}

// Guards against changes to the list of endpoints that are missed because of the cache of
// decoded rows: an endpoint that drains, returns, becomes unreadable, is removed or writes the same again.
func TestEndpointsAreDecodedAgainWhenTheyChange(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	rows := map[string]store.Row{}
	for step, c := range []struct {
		row   *store.Row
		state string
	}{
		{new(listedRow("ready")), "ready"},
		{new(listedRow("draining")), "draining"},
		{new(listedRow("ready")), "ready"},
		{&store.Row{Value: []byte("{")}, "unreadable"},
		{new(listedRow("ready")), "ready"},
		{new(listedRow("ready")), "ready"},
		{nil, "none"},
		{new(listedRow("draining")), "draining"},
	} {
		delete(rows, "e1")
		if c.row != nil {
			c.row.Key, c.row.Revision = "e1", store.Revision(step+1)
			rows["e1"] = *c.row
		}
		d.endpointsRead(tableRead{rows: rows, version: store.Revision(step + 1)})
		e, ok := (<-d.loop.mailbox).(node.EndpointsLoaded)
		if !ok {
			t.Fatalf("step %d: got another event, want the endpoints", step)
		}
		got := "none"
		if len(e.Endpoints) == 1 {
			got = map[bool]string{true: "draining", false: "ready"}[e.Endpoints[0].Draining]
			if got, want := e.Endpoints[0].Revision, endpoint.Revision(step+1); got != want {
				t.Errorf("step %d: got revision %d, want %d", step, got, want)
			}
		}
		if len(e.Unreadable) == 1 {
			got = "unreadable"
		}
		if got != c.state {
			t.Errorf("step %d: got %s, want %s", step, got, c.state)
		}
	}
}

// busyStore answers Follow with pages of the given lengths.
type busyStore struct {
	store.Store
	pages []int
}

func (s *busyStore) Read(context.Context, store.Table) (store.Snapshot, error) {
	return store.Snapshot{Version: 1}, nil
}

func (s *busyStore) Follow(ctx context.Context, _ store.Table, after store.Revision, _ clock.Millis) (store.Snapshot, error) {
	if len(s.pages) == 0 {
		<-ctx.Done()
		return store.Snapshot{}, ctx.Err()
	}
	page := store.Snapshot{Version: after + 1}
	for i := range s.pages[0] {
		page.Rows = append(page.Rows, store.Row{Key: fmt.Sprint(i), Revision: page.Version})
	}
	s.pages = s.pages[1:]
	return page, nil
}

// Guards against a leader that falls behind when more endpoints change between two reads than
// an answer of the store holds, and so starts tasks at endpoints that are already leaving.
func TestFollowerCatchesUpWithoutPauses(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	versions := make(chan store.Revision, 8)
	f := &follower{
		store: &busyStore{pages: []int{500, 500, 251, 3, 500}}, table: "servers", logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
		pause: func() clock.Millis {
			// The first answer is an empty table; the next read may follow at once.
			if len(versions) == 0 {
				return 0
			}
			return clock.Hour
		},
		clock: clocks,
		changed: func(r tableRead) {
			versions <- r.version
			if r.version == 5 {
				cancel()
			}
		},
	}
	if err := f.run(ctx); err == nil {
		t.Errorf("got nil, want the context's error")
	}
	if got, want := len(versions), 5; got != want {
		t.Errorf("got %d versions read, want %d: the first, three full answers and the one after them", got, want)
	}
}

// changingStore answers Read with the rows "a" and "b", and Follow with the given pages.
type changingStore struct {
	store.Store
	pages chan []store.Row
}

func (s *changingStore) Read(context.Context, store.Table) (store.Snapshot, error) {
	return store.Snapshot{Version: 1, Rows: []store.Row{{Key: "a"}, {Key: "b"}}}, nil
}

func (s *changingStore) Follow(ctx context.Context, _ store.Table, after store.Revision, _ clock.Millis) (store.Snapshot, error) {
	select {
	case rows := <-s.pages:
		if rows == nil {
			return store.Snapshot{}, store.ErrHistoryTruncated
		}
		return store.Snapshot{Version: after + 1, Rows: rows}, nil
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

// Guards against a new leader that takes its list of endpoints for complete although rows may have
// been added and removed between two reads, and against one that waits for its next regular read.
func TestFollowerReportsGapsAndIsWoken(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	pages, wake, reads := make(chan []store.Row, 8), make(chan struct{}, 1), make(chan tableRead, 8)
	f := &follower{
		store: &changingStore{pages: pages}, table: "servers", clock: clocks, wake: wake, logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
		pause: constantPause(clock.Hour), changed: func(r tableRead) { reads <- r }, unchanged: func(r tableRead) { reads <- r },
	}
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx) }()
	for _, tt := range []struct {
		name  string
		page  []store.Row
		gap   bool
		wakes int
	}{
		{"first read", nil, true, 0},
		{"row added", []store.Row{{Key: "c"}}, false, 1},
		{"no changes", []store.Row{}, false, 1},
		{"row added and removed", []store.Row{{Key: "d"}, {Key: "d", Removed: true}}, true, 1},
		{"history truncated", nil, true, 2},
	} {
		if tt.wakes > 0 {
			clocks.Advance(clock.Second)
			pages <- tt.page
		}
		for range tt.wakes {
			wake <- struct{}{}
		}
		r := <-reads
		if r.gap != tt.gap {
			t.Errorf("%s: got gap %v, want %v", tt.name, r.gap, tt.gap)
		}
		if got, want := r.sentAt, clocks.Now(); got != want {
			t.Errorf("%s: got %d as the time of the read, want %d", tt.name, got, want)
		}
	}
	cancel()
	if err := <-ended; err == nil {
		t.Errorf("got nil, want the context's error")
	}
}

// Guards against a list that counts as current although the answer was full, so that the changes up
// to the time of the request are not all in it.
func TestFullAnswerIsNoCurrentList(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	reads := make(chan tableRead, 8)
	f := &follower{
		store: &busyStore{pages: []int{500, 3}}, table: "servers", clock: clocks, logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
		pause: constantPause(0), changed: func(r tableRead) { reads <- r },
	}
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx) }()
	for i, want := range []clock.Millis{clock.Hour, 0, clock.Hour} {
		if got := (<-reads).sentAt; got != want {
			t.Errorf("read %d: got %d as the time of the read, want %d", i, got, want)
		}
	}
	cancel()
	if err := <-ended; err == nil {
		t.Errorf("got nil, want the context's error")
	}
}

// Guards against a table full of rows of another writer that floods the log, hides the endpoints, or
// is decoded again with each read.
func TestManyUnreadableRows(t *testing.T) {
	const odd, linesPerSecond = 10_000, 10
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, linesPerSecond)
	rows := map[string]store.Row{"e1": listedRow("ready")}
	for i := range odd {
		key := fmt.Sprintf("odd-%d", i)
		rows[key] = store.Row{Key: key, Value: bytes.Repeat([]byte("["), 200+i%2000)}
	}
	for read := range 3 {
		started := time.Now()
		d.endpointsRead(tableRead{rows: rows, version: store.Revision(read + 1)})
		t.Logf("read %d of %d rows took %v", read, len(rows), time.Since(started))
		e, ok := (<-d.loop.mailbox).(node.EndpointsLoaded)
		if !ok || len(e.Endpoints) != 1 || len(e.Unreadable) != odd {
			t.Fatalf("read %d: got %d endpoints and %d unreadable rows, want 1 and %d", read, len(e.Endpoints), len(e.Unreadable), odd)
		}
	}
	if got := len(d.logger.lines); got > linesPerSecond {
		t.Errorf("got %d lines, want at most %d within the same second", got, linesPerSecond)
	}
}

// Guards against a list that is taken for complete although a row that is unreadable now may have been
// that of an endpoint with attempts since the read before.
func TestUnreadableRowIsAGap(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	rows := map[string]store.Row{"e1": listedRow("ready")}
	for step, c := range []struct {
		text string
		gap  bool
	}{{"", false}, {"{", true}, {"{", false}, {"[", true}, {"[", false}} {
		if c.text != "" {
			rows["e2"] = store.Row{Key: "e2", Value: []byte(c.text)}
		}
		d.endpointsRead(tableRead{rows: rows, version: store.Revision(step + 1)})
		if e, ok := (<-d.loop.mailbox).(node.EndpointsLoaded); !ok || e.Gap != c.gap {
			t.Errorf("step %d: got gap %v, want %v", step, e.Gap, c.gap)
		}
	}
}

// Guards against an endpoint that counts as in use since it has said between two reads that it is leaving, and its row
// is gone in the second one.
func TestEndpointThatLeavesBetweenTwoReadsIsNamed(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), changeLog: changeLog{clock: clocks}}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	rows := make(map[string]store.Row)
	read := func(changes ...store.Row) node.EndpointsLoaded {
		for i := range changes {
			changes[i].Key, changes[i].Revision = "e1", store.Revision(len(changes)+i)
		}
		d.endpointsRead(tableRead{rows: rows, changes: applyChanges(rows, changes), version: 9, sentAt: clocks.Now()})
		return (<-d.loop.mailbox).(node.EndpointsLoaded)
	}
	read(listedRow("ready"))
	if got := read(store.Row{Removed: true}).Leaving; len(got) != 0 {
		t.Errorf("got %v leaving, want none: its row is gone, as after a silence", got)
	}
	read(listedRow("ready"))
	if got := read(listedRow("draining"), store.Row{Removed: true}).Leaving; len(got) != 1 || got[0] != "e1" {
		t.Errorf("got %v leaving, want e1", got)
	}
}

package daemon

import (
	"context"
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

func listedRow(state string) store.Row {
	return store.Row{Value: fmt.Appendf(nil, `{"backend":"b","address":"10.0.0.1:1","zone":"centro","state":%q}`, state)}
}

// Guards against changes to the list of endpoints that are missed because of the cache of
// decoded rows: an endpoint that drains, returns, becomes unreadable or is removed.
func TestEndpointsAreDecodedAgainWhenTheyChange(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decodedRows: make(map[string]decodedRow), loop: newLoop(nil, clocks)}
	d.logger = newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	rows := map[string]store.Row{}
	for step, c := range []struct {
		row   *store.Row
		state string
	}{
		{new(listedRow("ready")), "ready"},
		{new(listedRow("draining")), "draining"},
		{new(listedRow("ready")), "ready"},
		{&store.Row{Value: []byte("{")}, "none"},
		{new(listedRow("ready")), "ready"},
		{nil, "none"},
		{new(listedRow("draining")), "draining"},
	} {
		delete(rows, "e1")
		if c.row != nil {
			c.row.Key = "e1"
			rows["e1"] = *c.row
		}
		d.endpointsChanged(rows, store.Revision(step+1))
		e, ok := (<-d.loop.mailbox).(node.EndpointsLoaded)
		if !ok {
			t.Fatalf("step %d: got another event, want the endpoints", step)
		}
		got := "none"
		if len(e.Endpoints) == 1 {
			got = map[bool]string{true: "draining", false: "ready"}[e.Endpoints[0].Draining]
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
		changed: func(_ map[string]store.Row, v store.Revision) {
			versions <- v
			if v == 5 {
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

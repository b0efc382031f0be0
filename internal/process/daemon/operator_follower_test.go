package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/platform"
)

// silentStore answers the first read and those that do not wait. All others get no answer.
type silentStore struct {
	store.Store
	rows []store.Row
	// waits receives the wait of each request for changes.
	waits chan clock.Millis
}

func (s *silentStore) Read(context.Context, store.Table) (store.Snapshot, error) {
	return store.Snapshot{Version: 1, Rows: s.rows}, nil
}

func (s *silentStore) Follow(ctx context.Context, _ store.Table, after store.Revision, wait clock.Millis) (store.Snapshot, error) {
	s.waits <- wait
	if wait > 0 {
		<-ctx.Done()
		return store.Snapshot{}, store.ErrUnavailable
	}
	return store.Snapshot{Version: after + 1}, nil
}

func evacuableDaemon(s store.Store, maxAge clock.Millis) *Daemon {
	clocks := clock.NewManual(clock.Hour)
	return &Daemon{
		config: Config{Clock: clocks}, store: s, maxEvacuationAge: maxAge, loop: newLoop(nil, clocks),
		traffic: &traffic{readOperator: make(chan struct{}, 1)}, logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
	}
}

// Guards against a leader that holds its starts until a read of the evacuations times out that was sent before
// its VM was paused or its connection fell silent; and against reads that find no change and tell nobody that the
// evacuations are current.
func TestWokenFollowerReadsTheEvacuationsAtOnce(t *testing.T) {
	s := &silentStore{rows: []store.Row{{Key: "evacuate/sur", Value: []byte("{}"), Revision: 1}}, waits: make(chan clock.Millis, 8)}
	d := evacuableDaemon(s, 4500)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = d.operatorFollower().run(ctx) }()
	if got, want := <-s.waits, desiredFeedWait; got != want {
		t.Errorf("got a wait of %d ms, want %d ms", got, want)
	}
	wake(d.traffic.readOperator)
	if got := <-s.waits; got != 0 {
		t.Errorf("got a wait of %d ms after the follower was woken, want none", got)
	}
	for i := range 2 {
		select {
		case e := <-d.loop.mailbox:
			if loaded, ok := e.(node.EvacuationsLoaded); !ok || !loaded.State.Covers("sur") || loaded.ReadAt != clock.Hour {
				t.Errorf("event %d: got %+v, want the evacuation of sur", i, e)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("event %d: got none, want the evacuations", i)
		}
	}
	cancel()
	<-ended
}

// Guards against evacuations that are read less often than a short notice demands, and against other reads in a
// deployment without evacuations.
func TestFollowerOfTheOperator(t *testing.T) {
	for maxAge, want := range map[clock.Millis]clock.Millis{0: desiredFeedWait, 4500: desiredFeedWait, 500: 150} {
		f := evacuableDaemon(nil, maxAge).operatorFollower()
		if f.wait != want || f.interrupts != (maxAge > 0) || (f.unchanged != nil) != (maxAge > 0) {
			t.Errorf("age %d ms: got a wait of %d ms, interrupts %v, want %d ms", maxAge, f.wait, f.interrupts, want)
		}
	}
}

// Guards against a desired state that is decoded again with each change of an evacuation: a large one takes tens of
// milliseconds on a small VM.
func TestDesiredStateIsDecodedOnce(t *testing.T) {
	d := evacuableDaemon(nil, 4500)
	rows := map[string]store.Row{platform.DesiredKey: {Key: platform.DesiredKey, Value: []byte(`{"version":3}`), Revision: 5}}
	for range 3 {
		d.operatorFollower().changed(tableRead{rows: rows, version: 9})
	}
	desired := 0
	for len(d.loop.mailbox) > 0 {
		if _, ok := (<-d.loop.mailbox).(node.DesiredStateLoaded); ok {
			desired++
		}
	}
	if desired != 1 {
		t.Errorf("got %d desired states, want 1", desired)
	}
}

package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// testTimeout bounds the wait for what never happens while the fault is there.
const testTimeout = 10 * time.Second

// scriptedStore answers each Read with an empty table, and each Follow with the next of its answers.
type scriptedStore struct {
	store.Store
	reads int
	// asked has a value for each Follow.
	asked   chan struct{}
	answers chan error
}

func (s *scriptedStore) Read(context.Context, store.Table) (store.Snapshot, error) {
	s.reads++
	return store.Snapshot{Version: store.Revision(10 * s.reads)}, nil
}

func (s *scriptedStore) Follow(ctx context.Context, _ store.Table, after store.Revision, _ clock.Millis) (store.Snapshot, error) {
	s.asked <- struct{}{}
	select {
	case err := <-s.answers:
		return store.Snapshot{Version: after + 1}, err
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

// silentRelay never answers.
type silentRelay struct{ asked chan struct{} }

func (r *silentRelay) follow(store.Revision) (store.Snapshot, clock.Millis, bool) {
	r.asked <- struct{}{}
	select {}
}

func (r *silentRelay) pause() clock.Millis { return 0 }

// wokenFollower is a follower that has read its table once, with what it has passed on since.
type wokenFollower struct {
	follower
	clocks  *clock.Manual
	store   *scriptedStore
	wake    chan struct{}
	reads   chan tableRead
	reports chan bool
}

func newWokenFollower(t *testing.T, relay changeSource, pause func() clock.Millis) *wokenFollower {
	t.Helper()
	f := &wokenFollower{
		clocks: clock.NewManual(clock.Hour), store: &scriptedStore{asked: make(chan struct{}, 8), answers: make(chan error, 8)}, wake: make(chan struct{}, 1),
		reads: make(chan tableRead, 8), reports: make(chan bool, 8),
	}
	read := func(r tableRead) { f.reads <- r }
	f.follower = follower{
		store: f.store, table: "servers", clock: f.clocks, wake: f.wake, relay: relay, pause: pause, changed: read, unchanged: read,
		patience: func(map[string]store.Row) clock.Millis { return storePatience }, storeReported: func(answered bool) { f.reports <- answered },
		logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), f.clocks, 10),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	<-f.reads
	<-f.reports
	return f
}

// pausesAfterFirstRead is the pause of a VM outside of all replica sets.
func pausesAfterFirstRead() func() clock.Millis {
	calls := 0
	return func() clock.Millis {
		calls++
		if calls == 1 {
			return 0
		}
		return -1
	}
}

// Guards against a VM that becomes leader with a list older than the store's history, and waits for its next
// regular read before it reads the list again.
func TestWokenFollowerReadsAgainAfterATruncatedHistory(t *testing.T) {
	f := newWokenFollower(t, nil, pausesAfterFirstRead())
	f.store.answers <- store.ErrHistoryTruncated
	f.wake <- struct{}{}
	select {
	case r := <-f.reads:
		if !r.whole || r.sentAt != f.clocks.Now() {
			t.Errorf("got %+v, want the whole table as of now", r)
		}
	case <-time.After(testTimeout):
		t.Fatal("got no read, want the whole table")
	}
	if answered := <-f.reports; !answered {
		t.Errorf("got the store lost, want it answering: only its history is gone")
	}
}

// Guards against a take-over that goes without the list because the VM that reads it for the others, which may
// be the former leader, does not answer.
func TestWokenFollowerDoesNotWaitForItsRelay(t *testing.T) {
	relay := &silentRelay{asked: make(chan struct{}, 1)}
	f := newWokenFollower(t, relay, constantPause(0))
	<-relay.asked
	f.store.answers <- nil
	f.wake <- struct{}{}
	if r := <-f.reads; r.relayed || r.version != 11 {
		t.Errorf("got %+v, want the changes from the store", r)
	}
}

// Guards against a leader whose starts wait for a store that is lost: a read that fails is reported and made
// again, and one without an answer is reported before it times out.
func TestFollowerReportsALostStore(t *testing.T) {
	f := newWokenFollower(t, nil, pausesAfterFirstRead())
	f.store.answers <- errors.Trace(store.ErrUnavailable)
	f.wake <- struct{}{}
	if answered := <-f.reports; answered {
		t.Errorf("got the store answering after a failed read, want it lost")
	}
	<-f.store.asked
	<-f.store.asked
	f.clocks.Advance(storePatience)
	if answered := <-f.reports; answered {
		t.Errorf("got the store answering while a read is overdue, want it lost")
	}
	f.store.answers <- nil
	if r := <-f.reads; r.whole {
		t.Errorf("got %+v, want the changes", r)
	}
	// The answer was late, so only the next one counts.
	f.store.answers <- nil
	f.wake <- struct{}{}
	<-f.reads
	if answered := <-f.reports; !answered || len(f.reports) != 0 {
		t.Errorf("got the store answering %v and %d more reports, want one that it answers again", answered, len(f.reports))
	}
}

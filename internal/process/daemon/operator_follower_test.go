package daemon

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// silentStore answers only the reads that do not wait.
type silentStore struct{ store.Store }

func (silentStore) Read(context.Context, store.Table) (store.Snapshot, error) {
	return store.Snapshot{Version: 1, Rows: []store.Row{{Key: "evacuate/sur", Revision: 1}, {Key: "evacuate/"}, {Key: "wave/1"}}}, nil
}

func (silentStore) Follow(ctx context.Context, _ store.Table, after store.Revision, wait clock.Millis) (store.Snapshot, error) {
	if wait > 0 {
		<-ctx.Done()
		return store.Snapshot{}, store.ErrUnavailable
	}
	return store.Snapshot{Version: after + 1}, nil
}

// Guards against a leader that holds its starts until a read of the evacuations times out that was sent before its VM
// was paused, and against reads that find no change and tell nobody that the evacuations are current.
func TestWokenFollowerReadsTheEvacuationsAtOnce(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{
		config: Config{Clock: clocks}, store: silentStore{}, maxEvacuationAge: 500, loop: newLoop(nil, clocks),
		traffic: &traffic{readOperator: make(chan struct{}, 1)}, logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
	}
	go func() { _ = d.operatorFollower().run(t.Context()) }()
	for version := range 3 {
		e, ok := (<-d.loop.mailbox).(node.EvacuationsLoaded)
		if !ok || int(e.State.Version) != version+1 || len(e.State.Since) != 1 || !e.State.Covers("sur") || e.ReadAt != clock.Hour {
			t.Errorf("read %d: got %+v, want the evacuation of sur", version, e)
		}
		wake(d.traffic.readOperator)
	}
}

package entry

import (
	"context"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// HeartbeatSender sends heartbeats to peers.
type HeartbeatSender interface {
	Heartbeat(ctx context.Context, to vm.VM, h Heartbeat) (vm.Incarnation, error)
}

// RowDeleter deletes the platform's rows of entry VMs that no longer run.
type RowDeleter interface {
	DeleteRow(ctx context.Context, r vm.Row) error
}

func (t *Traffic) sendHeartbeat(a SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), HeartbeatTimeout.Duration())
	defer cancel()
	began := time.Now()
	answered, err := t.config.Heartbeats.Heartbeat(ctx, a.To, a.Heartbeat)
	if err != nil {
		t.loop.Post(context.Background(), HeartbeatFailed{To: a.To})
		return
	}
	t.loop.Post(context.Background(), HeartbeatAnswered{
		To:              a.To,
		Answered:        answered,
		RoundTripMicros: time.Since(began).Microseconds(),
		ReportedUpTo:    a.reportedUpTo,
	})
}

// deleteRow ignores a failure, since the next read of the table triggers another deletion.
func (t *Traffic) deleteRow(a DeleteRow) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	_ = t.config.Rows.DeleteRow(ctx, a.Row)
}

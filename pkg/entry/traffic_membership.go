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

// RowDeleter deletes rows of dead entry VMs at the platform.
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

// deleteRow leaves a failed deletion to the next reading of the table.
func (t *Traffic) deleteRow(a DeleteRow) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	_ = t.config.Rows.DeleteRow(ctx, a.Row)
}

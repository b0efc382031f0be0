package daemon

import (
	"context"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against requests that are run although their callers have sent the jobs to other VMs since:
// they waited in their sockets while the VM was paused, and are read before the control goroutine
// has taken an event, or shortly after. Such a request may have waited since the pause began.
func TestRequestsSettleAfterAPause(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	l := newLoop(nil, clocks)
	for _, tt := range []struct {
		name    string
		advance clock.Millis
		event   bool
		want    clock.Millis
	}{
		{"start", 0, true, 0},
		{"regular event", 40, true, 0},
		{"read before the first event after a pause", 2000, false, 2000},
		{"read after the first event", 1, true, 2001},
		{"read soon after", settlePeriod - 1, true, 2000 + settlePeriod},
		{"read later", 1, true, 0},
		{"regular event again", maxEventInterval, true, 0},
	} {
		clocks.Advance(tt.advance)
		if tt.event {
			l.recordEvent(clocks.Now())
		}
		if got := clocks.Now() - l.waitsSince(clocks.Now()); got != tt.want {
			t.Errorf("%s: got a wait of %d ms, want %d ms", tt.name, got, tt.want)
		}
	}
	clocks.Advance(2000)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, waits := l.AwaitSettled(gone); waits {
		t.Errorf("got the request of a caller that has gone, want it dropped")
	}
}

package daemon

import (
	"context"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against requests that are run although their callers have sent the jobs to other VMs since:
// they waited in their sockets while the VM was paused, and are read before the control goroutine
// has taken an event, or shortly after.
func TestRequestsSettleAfterAPause(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	l := newLoop(nil, clocks)
	for _, tt := range []struct {
		name    string
		advance clock.Millis
		event   bool
		want    bool
	}{
		{"start", 0, true, false},
		{"regular event", 40, true, false},
		{"read before the first event after a pause", 2000, false, true},
		{"read after the first event", 1, true, true},
		{"read soon after", settlePeriod - 1, true, true},
		{"read later", 1, true, false},
		{"regular event again", maxEventInterval, true, false},
	} {
		clocks.Advance(tt.advance)
		if tt.event {
			l.recordEvent(clocks.Now())
		}
		if got := l.settling(clocks.Now()); got != tt.want {
			t.Errorf("%s: got settling %v, want %v", tt.name, got, tt.want)
		}
	}
	clocks.Advance(2000)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if l.AwaitSettled(gone) {
		t.Errorf("got the request of a caller that has gone, want it dropped")
	}
}

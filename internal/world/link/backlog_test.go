package link

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against an estimate that ignores a burst on a narrow link, remembers it after the link has
// carried it, or sees one on a wide link.
func TestBacklogOfABurst(t *testing.T) {
	const burst, message = 20, 1000
	for _, tt := range []struct {
		name  string
		mbps  float64
		after clock.Millis
		want  clock.Millis
	}{
		{"narrow link, at once", 2, 0, 86},
		{"narrow link, half of the burst carried", 2, 43, 43},
		{"narrow link, burst carried", 2, 100, 0},
		{"wide link", 1000, 0, 0},
	} {
		b := NewBacklog(MegabitsPerSecond(tt.mbps))
		for range burst {
			b.Add(message, 5000)
		}
		if got := b.Delay(5000 + tt.after); got != tt.want {
			t.Errorf("%s: got a delay of %d ms, want %d ms", tt.name, got, tt.want)
		}
	}
}

// Guards against an estimate that grows without bound while senders are blocked, and goes on for as long
// after the overload has ended.
func TestBacklogEndsWithItsCause(t *testing.T) {
	b := NewBacklog(MegabitsPerSecond(2))
	now := clock.Millis(5000)
	for range 1000 {
		b.Add(10_000, now)
		now++
	}
	if got, want := b.Delay(now+maxBacklog), clock.Millis(0); got != want {
		t.Errorf("got a delay of %d ms a second after the overload, want %d ms", got, want)
	}
}

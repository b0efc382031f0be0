package forecast

import (
	"math"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against tasks at endpoints that are too slow for them: the objective leaves 1.6 times the time at
// speed 1, so that a slow endpoint is fast enough for short tasks alone.
func TestLatestStart(t *testing.T) {
	tests := []struct {
		name        string
		work, limit clock.Millis
		speed       float64
		want        clock.Millis
	}{
		{"short at a fast endpoint", 60, 0, 1.2, 92},
		{"short at a slow endpoint", 60, 0, 0.55, 36},
		{"plain at a slow endpoint", 200, 0, 0.55, 1},
		{"long at a fast endpoint", 900, 0, 1.2, 652},
		{"long at a slow endpoint", 900, 0, 0.55, -174},
		{"the caller leaves", 900, 1200, 1.2, 329},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &Objective{Submitted: 1000, Limit: tt.limit, Stretch: 1.6, Allowance: 60, Path: tt.work, Left: tt.work, Overhead: 8}
			got := o.LatestStart(tt.speed, Probable) - o.Submitted
			if got < tt.want-2 || got > tt.want+2 {
				t.Errorf("got a latest start after %d ms, want %d ms", got, tt.want)
			}
			before, after := o.MinSpeed(o.Submitted+got, Probable), o.MinSpeed(o.Submitted+got+2, Probable)
			if before > tt.speed || after <= tt.speed {
				t.Errorf("got the lowest speeds %.3f then and %.3f 2 ms later, want %.3f between them", before, after, tt.speed)
			}
			if got := o.MinSpeed(o.Submitted+5000, Probable); !math.IsInf(got, 1) {
				t.Errorf("got the lowest speed %.3f after the objective, want none", got)
			}
		})
	}
}

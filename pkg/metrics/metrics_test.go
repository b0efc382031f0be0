package metrics

import (
	"errors"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Guards against attempts that are counted as starts although the endpoint did not start
// them, and against daemons in one process that share metrics.
func TestCounts(t *testing.T) {
	registry, other := gometrics.NewRegistry(), gometrics.NewRegistry()
	m := New(registry)
	New(other)
	for _, r := range []contract.AttemptResult{
		contract.Succeeded{},
		contract.RanAndFailed{},
		contract.Ambiguous{},
		contract.NotStarted{Cause: contract.EndpointBusy},
		contract.NotStarted{Cause: contract.EndpointUnreachable},
	} {
		m.AttemptEnded(r, 10, 20)
	}
	m.PeerCalled("Witness.Record", nil)
	m.PeerCalled("Witness.Record", errors.New("down"))
	m.RequestAnswered("complete")
	queued := 7
	m.RegisterQueueLength(func() int { return queued })
	m.RegisterStrayAnswers(func() int { return 3 })
	queued = 9
	for name, want := range map[string]int64{
		"starts": 3, "requeues": 2, "attempts.succeeded": 1, "attempts.ranAndFailed": 1, "attempts.ambiguous": 1,
		"attempts.notStarted.busy": 1, "attempts.notStarted.unreachable": 1,
		"peerCalls.Witness.Record": 2, "peerFailures.Witness.Record": 1, "requests.complete": 1,
	} {
		if got := gometrics.GetOrRegisterCounter(name, registry).Count(); got != want {
			t.Errorf("got %s = %d, want %d", name, got, want)
		}
	}
	if got := registry.Get("queueLength").(gometrics.Gauge).Value(); got != 9 {
		t.Errorf("got queueLength = %d, want 9", got)
	}
	if got, want := registry.Get("strayAnswers").(gometrics.Gauge).Value(), int64(3); got != want {
		t.Errorf("got strayAnswers = %d, want %d", got, want)
	}
	if got, want := registry.Get("waitMs").(gometrics.Histogram).Count(), int64(3); got != want {
		t.Errorf("got %d waits, want %d", got, want)
	}
	if got, want := registry.Get("runMs").(gometrics.Histogram).Count(), int64(2); got != want {
		t.Errorf("got %d run times, want %d", got, want)
	}
	if got := gometrics.GetOrRegisterCounter("starts", other).Count(); got != 0 {
		t.Errorf("got %d starts in another registry, want 0", got)
	}
}

package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// listOfCentro is the list of endpoints without those of norte.
func listOfCentro() []endpoint.Endpoint { return firstList()[:2] }

// withListReads is withLeaders with a store that answers reads of the list of endpoints.
func withListReads(t *testing.T) *harness {
	t.Helper()
	h := withLeaders(t)
	h.storeLost = false
	h.handle(StoreReported{})
	h.readList(firstList())
	return h
}

func (h *harness) readList(all []endpoint.Endpoint) {
	h.handle(EndpointsLoaded{Version: h.control.endpointsVersion + 1, Endpoints: all, ReadAt: h.now})
}

// readListFor reads the same list again and again.
func (h *harness) readListFor(duration clock.Millis, all []endpoint.Endpoint) {
	for end := h.now + duration; h.now < end; {
		h.readList(all)
		h.advance(min(clock.Second, end-h.now))
	}
}

// Guards against cancellations that wait for the leader of a shard which has no endpoints and cannot get a leader, and
// against one that is confirmed although a leader that this VM does not reach may start tasks in such a shard.
func TestCancellationIsConfirmedWithoutTheLeaderOfAnEmptyShard(t *testing.T) {
	lost := func(h *harness) { delete(h.answers, "n-1") }
	for _, tt := range []struct {
		name string
		// before and after are played before and after the cancellation.
		before, after func(h *harness)
		want          string
	}{
		{"no endpoints and no leader", func(h *harness) { lost(h); h.readListFor(6000, listOfCentro()) }, func(h *harness) { h.readList(listOfCentro()) }, "confirmed"},
		{"list not read since", func(h *harness) { lost(h); h.readListFor(6000, listOfCentro()) }, func(*harness) {}, "pending"},
		{"list of another VM", func(h *harness) { lost(h); h.readListFor(6000, listOfCentro()) }, func(h *harness) {
			h.handle(EndpointsLoaded{Version: 99, Endpoints: listOfCentro()})
		}, "pending"},
		{"endpoints without a leader", func(h *harness) { lost(h); h.readListFor(6000, firstList()) }, func(h *harness) { h.readList(firstList()) }, "pending"},
		{"endpoints that have just disappeared", func(h *harness) { lost(h); h.readListFor(3000, listOfCentro()) }, func(h *harness) { h.readList(listOfCentro()) }, "pending"},
		{"endpoints that were back for a moment", func(h *harness) {
			lost(h)
			h.readListFor(3000, listOfCentro())
			h.readListFor(1000, firstList())
			h.readListFor(3000, listOfCentro())
		}, func(h *harness) { h.readList(listOfCentro()) }, "pending"},
		{"endpoints that are back", func(h *harness) { lost(h); h.readListFor(6000, listOfCentro()) }, func(h *harness) { h.readList(firstList()) }, "pending"},
		{"list not read for some seconds", func(h *harness) {
			lost(h)
			h.readListFor(3000, listOfCentro())
			h.advance(4000)
		}, func(h *harness) { h.readList(listOfCentro()) }, "pending"},
		{"a leader", func(h *harness) { h.readListFor(6000, listOfCentro()) }, func(h *harness) { h.readList(listOfCentro()) }, "pending"},
		{"a leader that has just failed", func(h *harness) {
			h.readListFor(6000, listOfCentro())
			lost(h)
			h.readListFor(1000, listOfCentro())
		}, func(h *harness) { h.readList(listOfCentro()) }, "pending"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := withListReads(t)
			tt.before(h)
			done := h.cancel(2 * clock.Second)
			h.confirmCancel("peer-1", "centro")
			h.advance(20)
			tt.after(h)
			h.advance(200)
			if got := state(done); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a lost data centre of which a VM outside of all replica sets learns only when a cancellation arrives:
// callers get the confirmation within 2 s once the rows of the endpoints have expired, and at once later.
func TestEmptyShardIsKnownBeforeACancellation(t *testing.T) {
	const rowExpiry = 4500
	for _, tt := range []struct{ cancelAfter, within clock.Millis }{{9500, 2 * clock.Second}, {15000, 200}} {
		h := withListReads(t)
		delete(h.answers, "n-1")
		lostAt := h.now
		var done <-chan CancelOutcome
		for h.now < lostAt+tt.cancelAfter+tt.within {
			if done == nil && h.now >= lostAt+tt.cancelAfter {
				done = h.cancel(2 * clock.Second)
				h.confirmCancel("peer-1", "centro")
			}
			h.advance(10)
			if reads := takeActions[ReadEndpoints](h); len(reads) > 0 && h.now < lostAt+rowExpiry {
				h.readList(firstList())
			} else if len(reads) > 0 {
				h.readList(listOfCentro())
			}
		}
		if got, want := state(done), "confirmed"; got != want {
			t.Errorf("cancelled %d ms after the loss: got %s after %d ms, want %s", tt.cancelAfter, got, tt.within, want)
		}
	}
}

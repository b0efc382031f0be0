package endpoint

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against "not run" for a request that net/http's writing goroutine sends after
// the call returned: an attempt that is cancelled at any time and is reported as not
// started must never reach the endpoint, and no attempt may reach it twice.
func TestCancelledAttemptIsNotStartedOnlyIfNeverSeen(t *testing.T) {
	const attempts = 2000
	var mu sync.Mutex
	seen := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.Header.Get(AttemptHeader)]++
		mu.Unlock()
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	}))
	c := newTestClient(t)
	ep := datacentre.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}
	results := make(map[string]contract.AttemptResult)
	var wg sync.WaitGroup
	limit := make(chan struct{}, 16)
	for i := range attempts {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			attempt := testAttempt
			attempt.Number = contract.AttemptNumber(i + 1)
			ctx, cancel := context.WithCancel(t.Context())
			wg.Go(func() {
				for range i % 40 {
					runtime.Gosched()
				}
				cancel()
			})
			got := c.Run(ctx, ep, attempt, []byte("p"), clock.Second)
			mu.Lock()
			defer mu.Unlock()
			results[attempt.String()] = got
		})
	}
	wg.Wait()
	server.Close()
	ends := make(map[string]int)
	for id, result := range results {
		if _, ok := result.(contract.NotStarted); ok && seen[id] > 0 {
			t.Errorf("got %s reported as not started and seen by the endpoint, want one or the other", id)
		}
		if seen[id] > 1 {
			t.Errorf("got %s seen %d times, want at most 1", id, seen[id])
		}
		switch result.(type) {
		case contract.NotStarted:
			ends["not started"]++
		case contract.Ambiguous:
			ends["ambiguous"]++
		case contract.Succeeded:
			ends["succeeded"]++
		}
	}
	t.Logf("ends of %d attempts: %v", attempts, ends)
}

package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// concurrentService answers at any time from any goroutine.
type concurrentService struct{ Service }

func (concurrentService) Submit(context.Context, contract.Submission, clock.Millis) contract.Answer {
	return contract.Running{}
}

func (concurrentService) Ask(context.Context, contract.SubmissionID, owner.ID, clock.Millis) contract.Answer {
	return contract.Running{}
}

// blockingBody signals its first read and then blocks until it is released.
type blockingBody struct {
	io.Reader
	reading chan struct{}
	release chan struct{}
}

func (w *blockingBody) Read(p []byte) (int, error) {
	if w.reading != nil {
		close(w.reading)
		w.reading = nil
		<-w.release
	}
	return w.Reader.Read(p)
}

// Guards against bodies that together take more memory than the VM has, and against the
// refusal of an id that may be running at its issuer. Two bodies of unknown length reach the
// limit, and a third is rejected until they have been read.
func TestBodiesInFlightAreBounded(t *testing.T) {
	s := NewServer(Config{Service: concurrentService{}, Authenticator: fakeVM{}, Readiness: fakeVM{}, Limits: testLimits})
	send := func(method, path string, body io.Reader) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, body)
		r.Header.Set("Authorization", "Bearer right")
		w := httptest.NewRecorder()
		s.echo.ServeHTTP(w, r)
		return w
	}
	job, oneTaskJob := "/v1/jobs/"+testID.String(), `{"tasks":[{"payload":"p"}]}`
	release := make(chan struct{})
	slow := make(chan int, 2)
	for range 2 {
		reading := make(chan struct{})
		go func() {
			slow <- send(http.MethodPut, job, &blockingBody{Reader: strings.NewReader(oneTaskJob), reading: reading, release: release}).Code
		}()
		<-reading
	}
	got := send(http.MethodPut, job, strings.NewReader(oneTaskJob))
	if got.Code != http.StatusGatewayTimeout || got.Header().Get("Retry-After") == "" || bytes.Contains(got.Body.Bytes(), []byte("not run")) {
		t.Errorf("got %d with %s for a job, want 504 with a retry hint", got.Code, got.Body)
	}
	if got := send(http.MethodPost, "/v1/ids", strings.NewReader(`{"count":1}`)); got.Code != http.StatusTooManyRequests {
		t.Errorf("got %d for ids, want 429", got.Code)
	}
	if got := send(http.MethodGet, job, nil); got.Code != http.StatusAccepted {
		t.Errorf("got %d for a query without a body, want 202", got.Code)
	}
	close(release)
	for range 2 {
		if got := <-slow; got != http.StatusAccepted {
			t.Errorf("got %d for a slow body, want 202", got)
		}
	}
	if got := send(http.MethodPut, job, strings.NewReader(oneTaskJob)); got.Code != http.StatusAccepted {
		t.Errorf("got %d after the slow bodies, want 202", got.Code)
	}
}

package app

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

// TestDaemonDrains guards against a shutdown that cuts off a task in flight, reports readiness
// while it drains, or loses the answer.
func TestDaemonDrains(t *testing.T) {
	started, release := make(chan struct{}, 8), make(chan struct{})
	endpointServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		started <- struct{}{}
		<-release
		w.Header().Set(endpoint.AttemptHeader, r.Header.Get(endpoint.AttemptHeader))
		_, _ = w.Write(body)
	}))
	defer endpointServer.Close()
	p := standin.NewPlatform()
	for _, id := range []datacentre.EndpointID{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		p.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{ID: id, DataCentre: "centro", Address: strings.TrimPrefix(endpointServer.URL, "http://"), Slots: 8, Connections: 64}})
	}
	platformServer := httptest.NewServer(p.Handler())
	defer platformServer.Close()

	pin := publish(t, hostPort(platformServer))
	a, stopA, doneA := runDaemon(t, testSettings("a", hostPort(platformServer), string(pin)))
	b, stopB, doneB := runDaemon(t, testSettings("b", hostPort(platformServer), string(pin)))
	client := submit.NewClient(submit.ClientConfig{Addresses: []string{a.CallerAddress(), b.CallerAddress()}, Token: testToken, Wait: clock.Minute})
	var id string
	eventually(t, func() bool {
		ids, err := client.Reserve(t.Context(), 0, 1)
		if err != nil || !strings.Contains(ids[0], "."+string(b.self.Incarnation)+".") {
			return false
		}
		id = ids[0]
		return statusOf(a) == http.StatusOK
	})
	job := submit.Job{Kind: "k", Class: "urgent", Payloads: []string{"p"}}
	replies := make(chan submit.Reply, 1)
	go func() {
		reply, err := client.Submit(context.Background(), 0, id, job)
		if err != nil {
			t.Errorf("submit: got error %v, want none", err)
		}
		replies <- reply
	}()
	<-started
	stopA()
	eventually(t, func() bool { return statusOf(a) == http.StatusServiceUnavailable })
	close(release)
	if reply, ok := (<-replies).(submit.Completed); !ok {
		t.Errorf("answer in flight: got %#v, want completed", reply)
	}
	if err := <-doneA; err != nil {
		t.Errorf("end of the daemon: got %v, want no error", err)
	}
	reply, err := client.Submit(t.Context(), 1, id, job)
	if _, ok := reply.(submit.Completed); !ok {
		t.Errorf("answer of the witness: got %#v (%v), want completed", reply, err)
	}
	if got := len(started); got != 0 {
		t.Errorf("further starts: got %d, want 0", got)
	}
	stopB()
	<-doneB
}

// runDaemon runs a daemon without log output until the returned function stops it.
func runDaemon(t testing.TB, s settings.Settings) (*Daemon, context.CancelFunc, <-chan error) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, err := NewDaemon(DaemonDeps{Settings: s, Clock: clock.NewSystem(), Log: event.NewLog(logger)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	return d, stop, done
}

func statusOf(d *Daemon) int {
	response, err := http.Get("http://" + d.CallerAddress() + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// eventually checks a condition until it holds. Its only time limit is that of the whole test run.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		<-ticker.C
	}
}

package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/platform"
)

// Guards against a task that runs twice at the same time after a pause of the VM: the pause came
// between the decision to start an attempt and the request, and the endpoint has restarted since, so
// that the end of the lease is far in the future by its clock.
func TestOverdueRequestsGrantNoLease(t *testing.T) {
	bodies := make(chan string, 4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		_, _ = w.Write([]byte(`{"clock_ms":7,"born":1}`))
	}))
	defer server.Close()
	clocks := clock.NewManual(clock.Hour)
	l := newLoop(nil, clocks)
	tr := &traffic{
		ctx: t.Context(), loop: l, clock: clocks, meter: meter.New(), link: network.NewLink(link.MegabitsPerSecond(1000), clocks), logger: newEventLogger(event.NewLog(logrus.New()), meter.New(), clocks, 10),
		endpoints: platform.NewEndpointClient(platform.EndpointClientConfig{StartTimeout: 2000, Timeout: 2000, Transport: &http.Transport{}}),
	}
	e := endpoint.Endpoint{ID: "i-1", Born: 1, Address: strings.TrimPrefix(server.URL, "http://")}
	for _, tt := range []struct {
		name    string
		overdue clock.Millis
		started bool
	}{{"in time", 0, true}, {"overdue", 1, false}} {
		sendBy := clocks.Now() - tt.overdue
		tr.start(node.LeaderAction{Shard: "centro"}, leader.Start{Endpoint: e, Task: "t", Attempt: 1, LeaseUntil: 900, SendBy: sendBy})
		ended := startEnded(l)
		if _, started := ended.Result.(endpoint.Started); started != tt.started || len(bodies) > 0 != tt.started {
			t.Errorf("%s: got %#v and %d requests, want the start sent: %v", tt.name, ended.Result, len(bodies), tt.started)
		}
		for len(bodies) > 0 {
			<-bodies
		}
		tr.hold(node.LeaderAction{Shard: "centro"}, leader.Hold{Endpoint: e, LeaseUntil: 900, SendBy: sendBy})
		if ended := (<-l.mailbox).(node.LeaderEvent).Event.(leader.HoldEnded); ended.Report == nil {
			t.Errorf("%s: got no report, want one", tt.name)
		}
		if body := <-bodies; strings.Contains(body, "until_ms") != tt.started {
			t.Errorf("%s: got the hold %s, want leases extended: %v", tt.name, body, tt.started)
		}
	}
}

// startEnded returns the answer to a start. An event that the answer is slow may come before it.
func startEnded(l *loop) leader.StartEnded {
	for {
		if ended, ok := (<-l.mailbox).(node.LeaderEvent).Event.(leader.StartEnded); ok {
			return ended
		}
	}
}

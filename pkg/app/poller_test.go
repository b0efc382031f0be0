package app

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
	wire "github.com/sequoiacart/sequoiacart/platform/standin"
)

// TestPollDuringPartialOutage guards against a VM whose view of endpoints or VMs no longer changes
// while the platform rejects only its writes, or only one of its tables.
func TestPollDuringPartialOutage(t *testing.T) {
	cases := []struct {
		name     string
		rejected func(part wire.Part, write bool) bool
		// want is how many lists reach control.
		want int
	}{
		{"everything answers", func(wire.Part, bool) bool { return false }, 2},
		{"writes are rejected", func(_ wire.Part, write bool) bool { return write }, 2},
		{"the table of VMs is unavailable", func(part wire.Part, _ bool) bool { return part == wire.Rows }, 1},
		{"the list of endpoints is unavailable", func(part wire.Part, _ bool) bool { return part == wire.Endpoints }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := standin.NewPlatform()
			p.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{ID: "e1", DataCentre: "centro", Address: "10.0.0.1:8000", Slots: 8}})
			handler := p.Handler()
			poller, loop := newTestPoller(t, func(w http.ResponseWriter, r *http.Request) {
				if c.rejected(wire.ClassifyRequest(r)) {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				handler.ServeHTTP(w, r)
			})
			err := errors.Join(poller.pollRoster(t.Context()), poller.pollEndpoints(t.Context()))
			if got := loop.MailboxLength(); got != c.want {
				t.Errorf("got %d lists (error %v), want %d", got, err, c.want)
			}
		})
	}
}

// TestPollWhileTableHangs guards against endpoints that are read late, or not at all, while calls
// to the table of VMs wait for their time-outs.
func TestPollWhileTableHangs(t *testing.T) {
	handler := standin.NewPlatform().Handler()
	ctx, cancel := context.WithCancel(t.Context())
	poller, loop := newTestPoller(t, func(w http.ResponseWriter, r *http.Request) {
		if part, _ := wire.ClassifyRequest(r); part == wire.Rows {
			<-ctx.Done()
			return
		}
		handler.ServeHTTP(w, r)
	})
	ended := make(chan error, 1)
	go func() { ended <- poller.Run(ctx) }()
	eventually(t, func() bool { return loop.MailboxLength() > 0 })
	cancel()
	if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func newTestPoller(t *testing.T, platformHandler http.HandlerFunc) (*poller, *entry.Loop) {
	server := httptest.NewServer(platformHandler)
	t.Cleanup(server.Close)
	client := platform.NewClient(platform.ClientConfig{Address: hostPort(server), AttemptTimeout: 5 * clock.Minute})
	t.Cleanup(client.Close)
	self := vm.VM{Incarnation: "a-1", DataCentre: "centro", PeerAddress: "10.0.0.2:7001", Size: 1}
	loop := entry.NewLoop(entry.LoopConfig{Clock: clock.NewSystem(), Mailbox: 8})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return newPoller(pollerDeps{
		Self: self, Client: client, Clock: clock.NewSystem(), Log: event.NewLog(logger), Interval: clock.Second, Loop: loop,
		Rows: newRosterRows(client.Table(), clock.NewSystem(), self),
	}), loop
}

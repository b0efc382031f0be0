package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// openConnections counts the open connections of several clients, on the clients' side.
type openConnections struct {
	mu      sync.Mutex
	changed *sync.Cond
	open    int
}

func newOpenConnections() *openConnections {
	o := &openConnections{}
	o.changed = sync.NewCond(&o.mu)
	return o
}

func (o *openConnections) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open += n
	o.changed.Broadcast()
}

// waitForAtMost waits until at most n connections are open or the context ends, and returns the
// number of open connections.
func (o *openConnections) waitForAtMost(ctx context.Context, n int) int {
	stop := context.AfterFunc(ctx, o.changed.Broadcast)
	defer stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.open > n && ctx.Err() == nil {
		o.changed.Wait()
	}
	return o.open
}

func (o *openConnections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	o.add(1)
	return &openConnection{Conn: conn, counts: o}, nil
}

type openConnection struct {
	net.Conn
	counts *openConnections
	once   sync.Once
}

func (c *openConnection) Close() error {
	c.once.Do(func() { c.counts.add(-1) })
	return c.Conn.Close()
}

// Guards against idle connections of several VMs that together exceed the 64 connections of
// an endpoint when its slots move from one VM to the next.
func TestConnectionsOfAllVMsTogetherAreBounded(t *testing.T) {
	const vms, slots, limit = 9, 8, 64
	arrived, release := make(chan struct{}, slots), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	}))
	defer server.Close()
	ep := datacentre.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}
	counts := newOpenConnections()
	// The deadline ends a wait for connections that never close; it does not limit the time
	// that closing may take.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range vms {
		c := NewClient(ClientConfig{MaxConnections: limit, MaxResultBytes: 1024, DialTimeout: clock.Second, Dial: counts.dial})
		// Without a timeout, each connection that the client keeps idle is counted.
		c.http.IdleConnTimeout = 0
		t.Cleanup(c.http.CloseIdleConnections)
		var wg sync.WaitGroup
		for range slots {
			wg.Go(func() {
				if got, ok := c.Run(t.Context(), ep, testAttempt, []byte("p"), clock.Minute).(contract.Succeeded); !ok {
					t.Errorf("got %#v, want success", got)
				}
			})
		}
		for range slots {
			<-arrived
		}
		for range slots {
			release <- struct{}{}
		}
		wg.Wait()
	}
	if got, want := counts.waitForAtMost(ctx, limit-slots), limit-slots; got > want {
		t.Errorf("idle connections of %d VMs: got %d, want at most %d, so that the slots in use fit beside them", vms, got, want)
	}
}

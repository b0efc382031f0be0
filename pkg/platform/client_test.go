package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

const epoch = clock.Hour

// skipClock ends every wait at once and adds up the time waited.
type skipClock struct{ now atomic.Int64 }

func (c *skipClock) Now() clock.Millis { return clock.Millis(c.now.Load()) }

func (c *skipClock) After(delay clock.Millis) <-chan clock.Millis {
	ch := make(chan clock.Millis, 1)
	ch <- clock.Millis(c.now.Add(int64(delay)))
	return ch
}

func newPlatform(t *testing.T, c platform.ClientConfig) (*standin.Platform, *platform.Client, *skipClock) {
	t.Helper()
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	skip := &skipClock{}
	skip.now.Store(int64(epoch))
	c.Address, c.AttemptTimeout, c.Clock = strings.TrimPrefix(server.URL, "http://"), 10*clock.Second, skip
	client := platform.NewClient(c)
	t.Cleanup(func() { client.Close(); server.Close() })
	return p, client, skip
}

// Guards against a write that is reported as lost although it took effect, against one that
// is reported as done although another writer was first, and against a second write.
func TestCompareAndSet(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		// rival is the value that another writer puts into the row first, with the revision
		// that the writer under test expects.
		rival   string
		want    string
		wantRow string
	}{
		{"no fault", standin.Faults{}, "", "written", "mine"},
		{"answer lost after the write", standin.Faults{LoseNext: 1}, "", "written", "mine"},
		{"call lost before the write", standin.Faults{DropNext: 1}, "", "written", "mine"},
		{"call lost, then answer lost", standin.Faults{DropNext: 1, LoseNext: 1}, "", "written", "mine"},
		{"rival was first", standin.Faults{}, "rival", "conflict with rival", "rival"},
		{"rival was first, call lost", standin.Faults{DropNext: 1}, "rival", "conflict with rival", "rival"},
		{"platform down", standin.Faults{Down: true}, "", "cannot tell", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, client, _ := newPlatform(t, platform.ClientConfig{})
			ctx := context.Background()
			if tt.rival != "" {
				if _, err := client.Table().Put(ctx, "row", 0, []byte(tt.rival)); err != nil {
					t.Fatal(err)
				}
			}
			p.SetFaults(standin.TableService, tt.faults)
			outcome, err := platform.CompareAndSet(ctx, client.Table(), platform.Write{
				Key:   "row",
				Value: []byte("mine"),
				IsOwn: func(value []byte) bool { return string(value) == "mine" },
			})
			got := "cannot tell"
			switch o := outcome.(type) {
			case platform.Written:
				got = "written"
			case platform.Conflicted:
				got = "conflict with " + string(o.Row.Value)
			}
			if got != tt.want || (err == nil) != (tt.want != "cannot tell") {
				t.Errorf("got %s, %v, want %s", got, err, tt.want)
			}
			p.SetFaults(standin.TableService, standin.Faults{})
			if row, _ := client.Table().Get(ctx, "row"); string(row.Value) != tt.wantRow {
				t.Errorf("row: got %q, want %q", row.Value, tt.wantRow)
			}
		})
	}
}

// Guards against reads that fail at the first fault, against writes that are repeated although
// they took effect, and against answers that exceed the memory limit.
func TestClientFaults(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		faults standin.Faults
		call   func(c *platform.Client) error
		want   error
	}{
		{"read, fault once", standin.Faults{DropNext: 1}, func(c *platform.Client) error {
			_, err := c.Objects().Get(ctx, "there")
			return err
		}, nil},
		{"read, fault for longer", standin.Faults{DropNext: 99}, func(c *platform.Client) error {
			_, err := c.Objects().Get(ctx, "there")
			return err
		}, platform.ErrUnavailable},
		{"object written, answer lost", standin.Faults{LoseNext: 1}, func(c *platform.Client) error {
			return c.Objects().Put(ctx, "new", []byte("x"))
		}, nil},
		{"absent", standin.Faults{}, func(c *platform.Client) error {
			_, err := c.Objects().Get(ctx, "nowhere")
			return err
		}, platform.ErrNotFound},
		{"answer too large", standin.Faults{}, func(c *platform.Client) error {
			_, err := c.Objects().Get(ctx, "large")
			return err
		}, platform.ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, client, _ := newPlatform(t, platform.ClientConfig{MaxAnswerBytes: 100})
			for name, size := range map[platform.ObjectName]int{"there": 1, "large": 101} {
				if err := client.Objects().Put(ctx, name, make([]byte, size)); err != nil {
					t.Fatal(err)
				}
			}
			p.SetFaults(standin.ObjectService, tt.faults)
			err := tt.call(client)
			if !errors.Is(err, tt.want) && (tt.want != nil || err != nil) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if err != nil && !strings.Contains(err.Error(), "platform 127.0.0.1:") {
				t.Errorf("got %q, want an error that names the peer", err)
			}
		})
	}
}

// Guards against one VM that overloads the platform: after a burst of one second's worth,
// calls keep to the rate limit.
func TestClientKeepsToItsRate(t *testing.T) {
	_, client, skip := newPlatform(t, platform.ClientConfig{CallsPerSecond: 30})
	for range 330 {
		if _, err := client.ListVMs(context.Background(), "centro"); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := skip.Now()-epoch, 10*clock.Second; got != want {
		t.Errorf("330 calls at 30/s with a burst of 30: got %d ms, want %d ms", got, want)
	}
}

// Guards against polls that carry endpoints which have not changed, in any data centre,
// and against endpoints of other data centres in the answer.
func TestPollsCarryOnlyChanges(t *testing.T) {
	p := standin.NewPlatform()
	var bytes atomic.Int64
	handler := p.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &bytes}, r)
	}))
	client := platform.NewClient(platform.ClientConfig{Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 10 * clock.Second})
	t.Cleanup(func() { client.Close(); server.Close() })
	for i := range 50 {
		for _, dc := range []datacentre.ID{"centro", "norte"} {
			p.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{ID: datacentre.EndpointID(fmt.Sprint(dc, i)), DataCentre: dc, Address: "10.0.0.1:80", Slots: 8}})
		}
	}
	poll := func(want int) []platform.ListedVM {
		t.Helper()
		listed, err := client.ListVMs(context.Background(), "norte")
		if err != nil {
			t.Fatal(err)
		}
		if got := len(listed); got != want || listed[0].Endpoint.DataCentre != "norte" || listed[0].Endpoint.Slots != 8 || listed[0].Endpoint.Connections != 64 {
			t.Errorf("got %d endpoints, the first %+v, want the %d of norte", got, listed[0], want)
		}
		return listed
	}
	poll(50)
	fullListBytes := bytes.Swap(0)
	poll(50)
	if got, want := bytes.Swap(0), fullListBytes/20; got > want {
		t.Errorf("a poll without changes: got %d bytes, want at most %d", got, want)
	}
	p.SetVM(platform.ListedVM{State: platform.Leaving, Endpoint: datacentre.Endpoint{ID: "norte0", DataCentre: "norte", Address: "10.0.0.1:80", Slots: 8}})
	listed := poll(50)
	if got, want := bytes.Load(), fullListBytes/20; got > want || listed[0].State != platform.Leaving {
		t.Errorf("a poll after a change: got %d bytes and %+v, want at most %d and the endpoint leaving", got, listed[0], want)
	}
}

// countingWriter counts the bytes of answers, without headers.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

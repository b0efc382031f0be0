package endpoint

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Compares the client with a plain net/http client on the same loopback server.
func BenchmarkRun(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
		_, _ = w.Write([]byte("done"))
	}))
	defer server.Close()
	payload := bytes.Repeat([]byte("x"), 256)
	b.Run("client", func(b *testing.B) {
		c := NewClient(ClientConfig{MaxConnections: 1, MaxResultBytes: 64, DialTimeout: clock.Second})
		defer c.http.CloseIdleConnections()
		ep := datacentre.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}
		for b.Loop() {
			if got, ok := c.Run(b.Context(), ep, testAttempt, payload, clock.Second).(contract.Succeeded); !ok {
				b.Fatalf("got %#v, want a result", got)
			}
		}
	})
	b.Run("net/http", func(b *testing.B) {
		client := server.Client()
		for b.Loop() {
			r, err := client.Post(server.URL, "", bytes.NewReader(payload))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
	})
}

// Package standin holds small replacements of the outside systems, for trying and testing.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
)

// EndpointConfig holds what a stand-in endpoint is made of.
type EndpointConfig struct {
	Slots datacentre.Slots
}

// Endpoint runs tasks whose payload is {"runMs": n, "fail": bool} and counts the starts
// of each attempt.
type Endpoint struct {
	config EndpointConfig

	mu      sync.Mutex
	running datacentre.Slots
	leaving bool
	starts  map[string]int
}

// NewEndpoint returns an endpoint that has started nothing.
func NewEndpoint(c EndpointConfig) *Endpoint {
	return &Endpoint{config: c, starts: make(map[string]int)}
}

type taskPayload struct {
	RunMs clock.Millis `json:"runMs"`
	Fail  bool         `json:"fail"`
}

// Handler serves POST /run and GET /starts.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", e.run)
	mux.HandleFunc("GET /starts", e.serveStarts)
	return mux
}

// Leave makes the endpoint refuse all further work.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Starts returns how often each attempt was started.
func (e *Endpoint) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	starts := make(map[string]int, len(e.starts))
	for k, v := range e.starts {
		starts[k] = v
	}
	return starts
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(endpoint.AttemptHeader)
	w.Header().Set(endpoint.AttemptHeader, attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if reason := e.begin(attempt); reason != "" {
		w.Header().Set(endpoint.NotRunHeader, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	var p taskPayload
	_ = json.Unmarshal(body, &p)
	time.Sleep(p.RunMs.Duration())
	if p.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("the task failed"))
		return
	}
	_, _ = w.Write(body)
}

func (e *Endpoint) begin(attempt string) (notRun string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return endpoint.NotRunLeaving
	}
	if e.running >= e.config.Slots {
		return endpoint.NotRunBusy
	}
	e.running++
	e.starts[attempt]++
	return ""
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) serveStarts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Starts())
}

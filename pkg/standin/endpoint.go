// Package standin implements small in-memory replacements of external systems, for trials and
// tests.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
)

// EndpointConfig configures a stand-in endpoint.
type EndpointConfig struct {
	Slots datacentre.Slots
	// Slowdown scales run times, in percent; 0 means 100.
	Slowdown int
	// Starts counts task starts. If nil, the endpoint creates its own counts.
	Starts *StartCounts
}

// Endpoint runs tasks whose payload is {"runMs": n, "fail": bool} by waiting.
type Endpoint struct {
	config EndpointConfig

	mu        sync.Mutex
	running   datacentre.Slots
	leaving   bool
	behaviour Behaviour
	refused   int
}

const oversizeBytes = 8 << 20

// NewEndpoint returns a healthy endpoint.
func NewEndpoint(c EndpointConfig) *Endpoint {
	if c.Starts == nil {
		c.Starts = NewStartCounts()
	}
	if c.Slowdown == 0 {
		c.Slowdown = 100
	}
	return &Endpoint{config: c, behaviour: Healthy{}}
}

type taskPayload struct {
	RunMs clock.Millis `json:"runMs"`
	Fail  bool         `json:"fail"`
}

// Handler returns a handler for POST /run and, for tests, GET /starts, GET /refused, PUT /leave
// and PUT /behaviour/{name}.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", e.handleRun)
	mux.HandleFunc("GET /starts", e.serveStarts)
	mux.HandleFunc("GET /refused", e.serveRefused)
	mux.HandleFunc("PUT /leave", func(http.ResponseWriter, *http.Request) { e.Leave() })
	mux.HandleFunc("PUT /behaviour/{name}", e.serveBehaviour)
	return mux
}

// Leave makes the endpoint refuse all further tasks.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetBehaviour sets the behaviour for tasks that arrive afterwards.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Starts returns the counts of task starts.
func (e *Endpoint) Starts() *StartCounts {
	return e.config.Starts
}

// Refused returns the number of tasks that were answered as not run.
func (e *Endpoint) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

func (e *Endpoint) handleRun(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(endpoint.AttemptHeader)
	w.Header().Set(endpoint.AttemptHeader, attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	behaviour, notRun := e.startTask(attempt)
	if notRun != "" {
		w.Header().Set(endpoint.NotRunHeader, notRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.endTask()
	e.writeAnswer(w, body, behaviour)
}

func (e *Endpoint) writeAnswer(w http.ResponseWriter, body []byte, behaviour Behaviour) {
	var p taskPayload
	_ = json.Unmarshal(body, &p)
	if _, ok := behaviour.(FailFast); !ok {
		time.Sleep(p.RunMs.Duration() * time.Duration(e.config.Slowdown) / 100)
	}
	switch b := behaviour.(type) {
	case FailFast:
		writeFailure(w)
		return
	case DropAnswer:
		panic(http.ErrAbortHandler)
	case DelayAnswer:
		time.Sleep(b.Delay.Duration())
	case SwapAttempt:
		w.Header().Set(endpoint.AttemptHeader, "another attempt")
	case TruncateAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	case Oversize:
		body = make([]byte, oversizeBytes)
	case Healthy:
	}
	if p.Fail {
		writeFailure(w)
		return
	}
	_, _ = w.Write(body)
}

func writeFailure(w http.ResponseWriter) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = w.Write([]byte("the task failed"))
}

func (e *Endpoint) startTask(attempt string) (b Behaviour, notRun string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.refused++
		return nil, endpoint.NotRunLeaving
	}
	if e.running >= e.config.Slots {
		e.refused++
		return nil, endpoint.NotRunBusy
	}
	e.running++
	e.config.Starts.add(attempt)
	return e.behaviour, ""
}

func (e *Endpoint) endTask() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) serveStarts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.config.Starts.All())
}

func (e *Endpoint) serveRefused(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Refused())
}

func (e *Endpoint) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	b, ok := ParseBehaviour(r.PathValue("name"))
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.SetBehaviour(b)
}

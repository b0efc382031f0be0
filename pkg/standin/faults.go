package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	wire "github.com/sequoiacart/sequoiacart/platform/standin"
)

// Service names a part of the platform whose faults are set separately.
type Service string

// The services.
const (
	TableService  = Service(wire.Rows)
	ObjectService = Service(wire.Objects)
	VMService     = Service(wire.Endpoints)
)

// Faults are the faults of a service until they are set again. The counts apply to the next
// calls and are then used up, so a sequence of faults is the same in each run.
type Faults struct {
	// Down closes the connection of each call before the call takes effect.
	Down bool
	// Slow delays each answer.
	Slow clock.Millis
	// Pass is the number of calls that are served before the counts below apply.
	Pass int
	// DropNext is the number of next calls that are dropped before they take effect.
	DropNext int
	// LoseNext is the number of next writes that take effect but whose answers are dropped.
	LoseNext int
	// Lag is the number of latest writes that reads don't see yet.
	Lag int
}

type wireFaults struct {
	Down     bool  `json:"down"`
	SlowMs   int64 `json:"slowMs"`
	Pass     int   `json:"pass"`
	DropNext int   `json:"dropNext"`
	LoseNext int   `json:"loseNext"`
	Lag      int   `json:"lag"`
}

// faultSwitches holds the faults of each service and applies them to calls.
type faultSwitches struct {
	clock clock.Clock

	mu     sync.Mutex
	faults map[Service]Faults
}

func newFaultSwitches(c clock.Clock) *faultSwitches {
	return &faultSwitches{clock: c, faults: make(map[Service]Faults)}
}

func (s *faultSwitches) set(name Service, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = f
}

func (s *faultSwitches) get(name Service) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[name]
}

// next returns the faults for one call and decrements the counts.
func (s *faultSwitches) next(name Service, write bool) (drop, lose bool, slow clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[name]
	drop = f.Down
	switch {
	case f.Down:
	case f.Pass > 0:
		f.Pass--
	case f.DropNext > 0:
		f.DropNext--
		drop = true
	case write && f.LoseNext > 0:
		f.LoseNext--
		lose = true
	}
	s.faults[name] = f
	return drop, lose, f.Slow
}

// apply serves a call with the faults of its service. A dropped call gets no answer.
func (s *faultSwitches) apply(name Service, write bool, handler http.Handler, w http.ResponseWriter, r *http.Request) {
	drop, lose, slow := s.next(name, write)
	if slow > 0 {
		select {
		case <-s.clock.After(slow):
		case <-r.Context().Done():
		}
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	if lose {
		handler.ServeHTTP(discardedAnswer{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
	handler.ServeHTTP(w, r)
}

// serve handles PUT /v1/faults, whose body is an object with faults by service name.
func (s *faultSwitches) serve(w http.ResponseWriter, r *http.Request, set func(Service, Faults)) {
	var ws map[Service]wireFaults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ws); err != nil {
		http.Error(w, "set faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	known := map[Service]bool{TableService: true, ObjectService: true, VMService: true}
	for name := range ws {
		if !known[name] {
			message := strings.Join([]string{"set faults: service", string(name), "is unknown; use table, objects or vms"}, " ")
			http.Error(w, message, http.StatusBadRequest)
			return
		}
	}
	for name, f := range ws {
		set(name, Faults{Down: f.Down, Slow: clock.Millis(f.SlowMs), Pass: f.Pass, DropNext: f.DropNext, LoseNext: f.LoseNext, Lag: f.Lag})
	}
}

// discardedAnswer is a response writer that discards the answer.
type discardedAnswer struct{ header http.Header }

func (d discardedAnswer) Header() http.Header          { return d.header }
func (discardedAnswer) Write(body []byte) (int, error) { return len(body), nil }
func (discardedAnswer) WriteHeader(int)                {}

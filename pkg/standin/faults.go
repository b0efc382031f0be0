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

// The services: the table service, the object store and the VM list.
const (
	TableService  = Service(wire.Rows)
	ObjectService = Service(wire.Objects)
	VMService     = Service(wire.Endpoints)
)

// Faults are the faults of a service until they are set again. Pass, DropNext and LoseNext apply to
// the next calls and are then used up, so a sequence of faults is the same in each run.
type Faults struct {
	// Down closes the connection of each call before the call takes effect.
	Down bool
	// Delay is how long each call waits before it takes effect or is dropped.
	Delay clock.Millis
	// Pass is the number of calls that are served before DropNext and LoseNext apply.
	Pass int
	// DropNext is the number of next calls that are dropped before they take effect.
	DropNext int
	// LoseNext is the number of next writes that take effect but whose answers are dropped.
	LoseNext int
	// Lag is the number of latest writes that reads don't include yet.
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

// faultInjector holds the faults of each service and applies them to calls.
type faultInjector struct {
	clock clock.Clock

	mu     sync.Mutex
	faults map[Service]Faults
}

func newFaultInjector(c clock.Clock) *faultInjector {
	return &faultInjector{clock: c, faults: make(map[Service]Faults)}
}

func (i *faultInjector) set(name Service, faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults[name] = faults
}

func (i *faultInjector) get(name Service) Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults[name]
}

// next returns the faults for one call and decrements the counts.
func (i *faultInjector) next(name Service, write bool) (dropCall, loseAnswer bool, delay clock.Millis) {
	i.mu.Lock()
	defer i.mu.Unlock()
	faults := i.faults[name]
	dropCall = faults.Down
	switch {
	case faults.Down:
	case faults.Pass > 0:
		faults.Pass--
	case faults.DropNext > 0:
		faults.DropNext--
		dropCall = true
	case write && faults.LoseNext > 0:
		faults.LoseNext--
		loseAnswer = true
	}
	i.faults[name] = faults
	return dropCall, loseAnswer, faults.Delay
}

// apply serves a call with the faults of its service. A dropped call gets no answer.
func (i *faultInjector) apply(name Service, write bool, handler http.Handler, w http.ResponseWriter, r *http.Request) {
	dropCall, loseAnswer, delay := i.next(name, write)
	if delay > 0 {
		select {
		case <-i.clock.After(delay):
		case <-r.Context().Done():
		}
	}
	if dropCall {
		panic(http.ErrAbortHandler)
	}
	if loseAnswer {
		handler.ServeHTTP(discardedAnswer{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
	handler.ServeHTTP(w, r)
}

// serve handles PUT /v1/faults, whose body is an object with faults by service name.
func (i *faultInjector) serve(w http.ResponseWriter, r *http.Request, set func(Service, Faults)) {
	var services map[Service]wireFaults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&services); err != nil {
		http.Error(w, "set faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	known := map[Service]bool{TableService: true, ObjectService: true, VMService: true}
	for name := range services {
		if !known[name] {
			message := strings.Join([]string{"set faults: service", string(name), "is unknown; use table, objects or vms"}, " ")
			http.Error(w, message, http.StatusBadRequest)
			return
		}
	}
	for name, faults := range services {
		set(name, Faults{Down: faults.Down, Delay: clock.Millis(faults.SlowMs), Pass: faults.Pass, DropNext: faults.DropNext, LoseNext: faults.LoseNext, Lag: faults.Lag})
	}
}

// discardedAnswer is a response writer that discards the answer.
type discardedAnswer struct{ header http.Header }

func (d discardedAnswer) Header() http.Header          { return d.header }
func (discardedAnswer) Write(body []byte) (int, error) { return len(body), nil }
func (discardedAnswer) WriteHeader(int)                {}

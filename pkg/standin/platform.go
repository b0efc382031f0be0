package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// Platform is a stand-in for the table service, the object store and the VM list, kept
// in memory.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	last    platform.Revision
	objects map[string][]byte
	vms     map[string]platform.WireVM
	// Earlier states of the VM list and of the table, newest last, for reads that lag.
	earlierVMs  []map[string]platform.WireVM
	earlierRows []map[string]platform.Row
	faults      *faultSwitches
}

// keptStates bounds the lag that a reader can be given.
const keptStates = 16

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows:    make(map[string]platform.Row),
		objects: make(map[string][]byte),
		vms:     make(map[string]platform.WireVM),
		faults:  newFaultSwitches(clock.NewSystem()),
	}
}

// SetFaults sets how a service fails from now on.
func (p *Platform) SetFaults(name Service, f Faults) {
	p.faults.set(name, f)
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", p.faults.wrap(TableService, p.list))
	mux.HandleFunc("GET /v1/table/{key}", p.faults.wrap(TableService, p.get))
	mux.HandleFunc("PUT /v1/table/{key}", p.faults.wrap(TableService, p.put))
	mux.HandleFunc("DELETE /v1/table/{key}", p.faults.wrap(TableService, p.remove))
	mux.HandleFunc("GET /v1/objects/{name}", p.faults.wrap(ObjectService, p.getObject))
	mux.HandleFunc("PUT /v1/objects/{name}", p.faults.wrap(ObjectService, p.putObject))
	mux.HandleFunc("GET /v1/vms", p.faults.wrap(VMService, p.listVMs))
	mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	mux.HandleFunc("PUT /v1/faults", p.faults.serve)
	return mux
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefix := r.URL.Query().Get("prefix")
	rows := []platform.WireRow{}
	for key, row := range p.readRows() {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, platform.EncodeRow(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	_ = json.NewEncoder(w).Encode(rows)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.readRows()[r.PathValue("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(platform.EncodeRow(row))
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if !p.asExpected(w, r, key) {
		return
	}
	p.keepRows()
	p.last++
	p.rows[key] = platform.Row{Key: platform.Key(key), Revision: p.last, Value: value}
	_, _ = w.Write([]byte(strconv.FormatUint(uint64(p.last), 10)))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if p.asExpected(w, r, key) {
		p.keepRows()
		delete(p.rows, key)
	}
}

// asExpected answers with a failed precondition unless the row has the expected revision.
func (p *Platform) asExpected(w http.ResponseWriter, r *http.Request, key string) bool {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil || p.rows[key].Revision != platform.Revision(expected) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return false
	}
	return true
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = body
	w.WriteHeader(http.StatusOK)
}

// listVMs lists the VMs of the data centre in the query, or all without one.
func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []platform.WireVM{}
	dc := r.URL.Query().Get("dataCentre")
	for _, v := range lagging(p.earlierVMs, p.vms, p.faults.get(VMService).Lag) {
		if dc == "" || v.DataCentre == dc {
			vms = append(vms, v)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Endpoint < vms[j].Endpoint })
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var v platform.WireVM
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlierVMs = keepState(p.earlierVMs, p.vms)
	p.vms[r.PathValue("name")] = v
}

func (p *Platform) readRows() map[string]platform.Row {
	return lagging(p.earlierRows, p.rows, p.faults.get(TableService).Lag)
}

func (p *Platform) keepRows() {
	if p.faults.get(TableService).Lag > 0 {
		p.earlierRows = keepState(p.earlierRows, p.rows)
	}
}

// lagging returns the state before the given number of writes, or the oldest one kept.
func lagging[V any](earlier []map[string]V, now map[string]V, lag int) map[string]V {
	if lag <= 0 || len(earlier) == 0 {
		return now
	}
	return earlier[max(len(earlier)-lag, 0)]
}

func keepState[V any](earlier []map[string]V, now map[string]V) []map[string]V {
	earlier = append(earlier, maps.Clone(now))
	return earlier[max(len(earlier)-keptStates, 0):]
}

// SetVM puts an endpoint VM into the list without going over HTTP.
func (p *Platform) SetVM(v platform.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[string(v.Endpoint.ID)] = platform.EncodeVM(v)
}

// RowCount returns the number of rows under a prefix.
func (p *Platform) RowCount(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// SetDown sets all services down, or up again without any fault.
func (p *Platform) SetDown(down bool) {
	for _, s := range []Service{TableService, ObjectService, VMService} {
		p.SetFaults(s, Faults{Down: down})
	}
}

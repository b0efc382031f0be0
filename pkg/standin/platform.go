package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

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
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows:    make(map[string]platform.Row),
		objects: make(map[string][]byte),
		vms:     make(map[string]platform.WireVM),
	}
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", p.list)
	mux.HandleFunc("GET /v1/table/{key}", p.get)
	mux.HandleFunc("PUT /v1/table/{key}", p.put)
	mux.HandleFunc("DELETE /v1/table/{key}", p.remove)
	mux.HandleFunc("GET /v1/objects/{name}", p.getObject)
	mux.HandleFunc("PUT /v1/objects/{name}", p.putObject)
	mux.HandleFunc("GET /v1/vms", p.listVMs)
	mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	return mux
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefix := r.URL.Query().Get("prefix")
	rows := []platform.WireRow{}
	for key, row := range p.rows {
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
	row, ok := p.rows[r.PathValue("key")]
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
	p.last++
	p.rows[key] = platform.Row{Key: platform.Key(key), Revision: p.last, Value: value}
	_, _ = w.Write([]byte(strconv.FormatUint(uint64(p.last), 10)))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if p.asExpected(w, r, key) {
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

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []platform.WireVM{}
	for _, v := range p.vms {
		vms = append(vms, v)
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
	p.vms[r.PathValue("name")] = v
}

// SetObject stores an object without going over HTTP.
func (p *Platform) SetObject(name platform.ObjectName, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[string(name)] = body
}

// SetVM puts an endpoint VM into the list without going over HTTP.
func (p *Platform) SetVM(v platform.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[string(v.Endpoint.ID)] = platform.EncodeVM(v)
}

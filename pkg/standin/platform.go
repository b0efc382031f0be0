package standin

import (
	"net/http"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	wire "github.com/sequoiacart/sequoiacart/platform/standin"
)

// Platform is a stand-in for the table service, the object store and the VM list, kept in
// memory: the stand-in of the users' store, with faults for each of its parts.
type Platform struct {
	store  *wire.Store
	faults *faultSwitches
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{store: wire.NewStore(), faults: newFaultSwitches(clock.NewSystem())}
}

// SetFaults sets how a service fails from now on.
func (p *Platform) SetFaults(name Service, f Faults) {
	p.faults.set(name, f)
	p.store.SetLag(wire.Part(name), f.Lag)
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) { p.faults.serve(w, r, p.SetFaults) })
	mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	mux.HandleFunc("/", p.serveStore)
	return mux
}

func (p *Platform) serveStore(w http.ResponseWriter, r *http.Request) {
	part, write := wire.ClassifyRequest(r)
	p.faults.apply(Service(part), write, p.store, w, r)
}

// putVM lists an endpoint that runs as a process of its own.
func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	v, err := decodeVM(r.PathValue("name"), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(v)
}

// SetVM puts an endpoint VM into the list without going over HTTP.
func (p *Platform) SetVM(v platform.ListedVM) {
	e := v.Endpoint
	p.store.PutEndpointRow(wire.EndpointRow{
		ID: string(e.ID), DataCentre: string(e.DataCentre), Rack: string(e.Rack), Address: e.Address,
		Slots: int(e.Slots), Draining: v.State == platform.Leaving,
	})
}

// RowCount returns the number of the daemon's rows under a prefix.
func (p *Platform) RowCount(prefix string) int {
	return p.store.CountRows(string(platform.RowsTable), prefix)
}

// SetDown sets all services down, or up again without any fault.
func (p *Platform) SetDown(down bool) {
	for _, s := range []Service{TableService, ObjectService, VMService} {
		p.SetFaults(s, Faults{Down: down})
	}
}

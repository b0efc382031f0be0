package standin

import (
	"net/http"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	wire "github.com/sequoiacart/sequoiacart/platform/standin"
)

// Platform is an in-memory stand-in for the table service, the object store and the VM list. It
// wraps the stand-in of the users' store and adds faults for each service.
type Platform struct {
	store  *wire.Store
	faults *faultInjector
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{store: wire.NewStore(), faults: newFaultInjector(clock.NewSystem())}
}

// SetFaults sets the faults of a service.
func (p *Platform) SetFaults(name Service, f Faults) {
	p.faults.set(name, f)
	p.store.SetLag(wire.Part(name), f.Lag)
}

// Handler returns the HTTP handler of the platform.
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

// putVM registers an endpoint that runs in its own process.
func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	v, err := decodeVM(r.PathValue("name"), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(v)
}

// SetVM adds or replaces an endpoint VM in the list without an HTTP call.
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

// SetDown makes all services fail, or clears all their faults.
func (p *Platform) SetDown(down bool) {
	for _, s := range []Service{TableService, ObjectService, VMService} {
		p.SetFaults(s, Faults{Down: down})
	}
}

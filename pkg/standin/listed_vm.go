package standin

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// wireVM is the request body with which an endpoint in its own process registers at the stand-in.
type wireVM struct {
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Leaving    bool   `json:"leaving"`
}

// EncodeVM encodes the body of PUT /v1/vms/{name}.
func EncodeVM(v platform.ListedVM) ([]byte, error) {
	e := v.Endpoint
	return json.Marshal(wireVM{
		DataCentre: string(e.DataCentre), Rack: string(e.Rack), Address: e.Address, Slots: int(e.Slots), Leaving: v.State == platform.Leaving,
	})
}

func decodeVM(id string, body io.Reader) (platform.ListedVM, error) {
	var w wireVM
	if err := json.NewDecoder(body).Decode(&w); err != nil {
		return platform.ListedVM{}, errors.Annotatef(err, "decode endpoint %s", id)
	}
	v := platform.ListedVM{Endpoint: datacentre.Endpoint{
		ID: datacentre.EndpointID(id), DataCentre: datacentre.ID(w.DataCentre), Rack: datacentre.RackID(w.Rack),
		Address: w.Address, Slots: datacentre.Slots(w.Slots),
	}}
	if w.Leaving {
		v.State = platform.Leaving
	}
	return v, nil
}

package platform

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// WireRow is the JSON form of a row.
type WireRow struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

// WireVM is the JSON form of a listed VM.
type WireVM struct {
	Endpoint    string `json:"endpoint"`
	DataCentre  string `json:"dataCentre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// EncodeRow maps a row to its JSON form.
func EncodeRow(r Row) WireRow {
	return WireRow{Key: string(r.Key), Revision: uint64(r.Revision), Value: r.Value}
}

// DecodeRow maps a row from its JSON form.
func DecodeRow(w WireRow) Row {
	return Row{Key: Key(w.Key), Revision: Revision(w.Revision), Value: w.Value}
}

// EncodeVM maps a listed VM to its JSON form.
func EncodeVM(v ListedVM) WireVM {
	return WireVM{
		Endpoint:    string(v.Endpoint.ID),
		DataCentre:  string(v.Endpoint.DataCentre),
		Rack:        string(v.Endpoint.Rack),
		Address:     v.Endpoint.Address,
		Slots:       int(v.Endpoint.Slots),
		Connections: int(v.Endpoint.Connections),
		Leaving:     v.State == Leaving,
	}
}

// DecodeVM maps a listed VM from its JSON form.
func DecodeVM(w WireVM) ListedVM {
	state := Live
	if w.Leaving {
		state = Leaving
	}
	return ListedVM{
		Endpoint: datacentre.Endpoint{
			ID:          datacentre.EndpointID(w.Endpoint),
			DataCentre:  datacentre.ID(w.DataCentre),
			Rack:        datacentre.RackID(w.Rack),
			Address:     w.Address,
			Slots:       datacentre.Slots(w.Slots),
			Connections: datacentre.Connections(w.Connections),
		},
		State: state,
	}
}

// DecodeVMs reads the JSON form of the VM list.
func DecodeVMs(body []byte) ([]ListedVM, error) {
	var ws []WireVM
	if err := json.Unmarshal(body, &ws); err != nil {
		return nil, errors.Annotate(err, "decode VM list")
	}
	vms := make([]ListedVM, len(ws))
	for i, w := range ws {
		vms[i] = DecodeVM(w)
	}
	return vms, nil
}

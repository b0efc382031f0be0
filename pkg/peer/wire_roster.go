package peer

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// WireVM is an entry VM on the wire.
type WireVM struct {
	Incarnation string
	DataCentre  string
	PeerAddress string
	Size        int
	StartedMs   int64
	Leaving     bool
	Status      int
}

// WireDrain is drain evidence on the wire.
type WireDrain struct {
	Endpoint string
	Leaving  bool
	AgeMs    int64
}

// HeartbeatRequest is a heartbeat on the wire.
type HeartbeatRequest struct {
	From          WireVM
	RosterVersion uint64
	Backlog       int
	Idle          int
	Reports       []WireVM
	Reaches       []string
	Drains        []WireDrain
}

// HeartbeatReply names the incarnation that handled a heartbeat.
type HeartbeatReply struct {
	Incarnation string
}

func encodeHeartbeat(h entry.Heartbeat) HeartbeatRequest {
	w := HeartbeatRequest{
		From:          encodeVM(h.From),
		RosterVersion: uint64(h.RosterVersion),
		Backlog:       h.Backlog,
		Idle:          int(h.Idle),
	}
	for _, v := range h.Reports {
		w.Reports = append(w.Reports, encodeVM(v))
	}
	for _, dc := range h.Reaches {
		w.Reaches = append(w.Reaches, string(dc))
	}
	for _, d := range h.Drains {
		w.Drains = append(w.Drains, WireDrain{Endpoint: string(d.Endpoint), Leaving: d.Leaving, AgeMs: int64(d.Age)})
	}
	return w
}

func decodeHeartbeat(w HeartbeatRequest) entry.Heartbeat {
	h := entry.Heartbeat{
		From:          decodeVM(w.From),
		RosterVersion: vm.RosterVersion(w.RosterVersion),
		Backlog:       w.Backlog,
		Idle:          datacentre.Slots(w.Idle),
	}
	for _, v := range w.Reports {
		h.Reports = append(h.Reports, decodeVM(v))
	}
	for _, dc := range w.Reaches {
		h.Reaches = append(h.Reaches, datacentre.ID(dc))
	}
	for _, d := range w.Drains {
		h.Drains = append(h.Drains, datacentre.DrainReport{
			Endpoint: datacentre.EndpointID(d.Endpoint), Leaving: d.Leaving, Age: max(0, clock.Millis(d.AgeMs)),
		})
	}
	return h
}

func encodeVM(v vm.VM) WireVM {
	return WireVM{
		Incarnation: string(v.Incarnation),
		DataCentre:  string(v.DataCentre),
		PeerAddress: v.PeerAddress,
		Size:        int(v.Size),
		StartedMs:   int64(v.Started),
		Leaving:     v.Leaving,
		Status:      int(v.Status),
	}
}

func decodeVM(w WireVM) vm.VM {
	return vm.VM{
		Incarnation: vm.Incarnation(w.Incarnation),
		DataCentre:  datacentre.ID(w.DataCentre),
		PeerAddress: w.PeerAddress,
		Size:        vm.Size(w.Size),
		Started:     clock.Millis(w.StartedMs),
		Leaving:     w.Leaving,
		Status:      vm.Status(w.Status),
	}
}

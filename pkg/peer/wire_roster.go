package peer

import (
	"cmp"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
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

// WireDrain is a drain report on the wire.
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
	// Idle is the number of slots that the sender could lend.
	Idle int
	// Reports holds the VMs whose latest state the receiver has not confirmed.
	Reports []WireVM
	// Reaches holds the other data centres that answer the sender.
	Reaches     []string
	Drains      []WireDrain
	Usage       []WireUsage
	DataCentres []WireDataCentreUsage
}

// WireUsage is an owner's use of the sender.
type WireUsage struct {
	Owner         string
	SlotTimeMs    int64
	ChargedMs     int64
	Backlog       int
	Started       int64
	Refused       int64
	WaitedMs      int64
	LongestWaitMs int64
}

// HeartbeatReply names the incarnation that handled a heartbeat.
type HeartbeatReply struct {
	Incarnation string
}

// WireDataCentreUsage is an owner's use of a data centre. An empty DataCentre means the
// sender's.
type WireDataCentreUsage struct {
	DataCentre string
	AgeMs      int64
	Usage      WireUsage
}

func encodeHeartbeat(h entry.Heartbeat) HeartbeatRequest {
	w := HeartbeatRequest{
		From:          encodeVM(h.From),
		RosterVersion: uint64(h.RosterVersion),
		Backlog:       h.Backlog,
		Idle:          int(h.Lendable),
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
	for _, u := range h.Usage {
		w.Usage = append(w.Usage, encodeUsage(u))
	}
	for _, u := range h.DataCentres {
		w.DataCentres = append(w.DataCentres, encodeDataCentreUsage(h.From, u))
	}
	return w
}

func decodeHeartbeat(w HeartbeatRequest) entry.Heartbeat {
	h := entry.Heartbeat{
		From:          decodeVM(w.From),
		RosterVersion: vm.RosterVersion(w.RosterVersion),
		Backlog:       w.Backlog,
		Lendable:      datacentre.Slots(w.Idle),
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
	for _, u := range w.Usage {
		h.Usage = append(h.Usage, decodeUsage(u))
	}
	for _, u := range w.DataCentres {
		h.DataCentres = append(h.DataCentres, decodeDataCentreUsage(h.From, u))
	}
	return h
}

func encodeUsage(u dispatch.OwnerUsage) WireUsage {
	return WireUsage{
		Owner: string(u.Owner), SlotTimeMs: int64(u.SlotTime), ChargedMs: int64(u.Charged), Backlog: u.Backlog, Started: u.Started,
		Refused: u.Refused, WaitedMs: int64(u.Waited), LongestWaitMs: int64(u.LongestWait),
	}
}

func decodeUsage(w WireUsage) dispatch.OwnerUsage {
	return dispatch.OwnerUsage{
		Owner: owner.ID(w.Owner), SlotTime: clock.Millis(w.SlotTimeMs), Charged: clock.Millis(w.ChargedMs), Backlog: w.Backlog, Started: w.Started,
		Refused: w.Refused, Waited: clock.Millis(w.WaitedMs), LongestWait: clock.Millis(w.LongestWaitMs),
	}
}

// encodeDataCentreUsage omits the name of the sender's own data centre, and the charge, which
// only VMs of the same data centre balance against each other.
func encodeDataCentreUsage(from vm.VM, u accounting.DataCentreUsage) WireDataCentreUsage {
	w := WireDataCentreUsage{AgeMs: int64(u.Age), Usage: encodeUsage(u.Usage)}
	w.Usage.ChargedMs = 0
	if u.DataCentre != from.DataCentre {
		w.DataCentre = string(u.DataCentre)
	}
	return w
}

func decodeDataCentreUsage(from vm.VM, w WireDataCentreUsage) accounting.DataCentreUsage {
	return accounting.DataCentreUsage{
		DataCentre: cmp.Or(datacentre.ID(w.DataCentre), from.DataCentre),
		Age:        max(0, clock.Millis(w.AgeMs)),
		Usage:      decodeUsage(w.Usage),
	}
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

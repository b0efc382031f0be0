package peer

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// WireLoanID is the id of a loan on the wire.
type WireLoanID struct {
	Borrower string
	Sequence uint64
	Endpoint string
}

// WireLoan is a loan on the wire. Capacity, a name that is sent, is the number of slots of the
// endpoint; Slots is the number of them that are lent.
type WireLoan struct {
	ID          WireLoanID
	DataCentre  string
	Rack        string
	Address     string
	Capacity    int
	Connections int
	Slots       int
}

// LoanRequest requests slots and renews loans. Keep, a name that is sent, holds the loans to
// renew: loan.Request.Renewals.
type LoanRequest struct {
	Borrower string
	Sequence uint64
	Need     WireLoanNeed
	Keep     []WireLoanID
}

// WireLoanNeed is the need of a borrower on the wire. Asked, a name that is sent, is the number
// of peers that are asked at the same time: dispatch.LoanNeed.AskedPeers.
type WireLoanNeed struct {
	Tasks        int
	WaitMs       int64
	UrgentTasks  int
	UrgentWaitMs int64
	Slots        int
	Asked        int
}

// LoanReply carries the granted loans and the number of slots that the lender can still lend.
type LoanReply struct {
	Loans    []WireLoan
	Lendable int
}

// WireReturn is the return of a loan on the wire.
type WireReturn struct {
	Loan WireLoanID
	// Held is the number of slots that running tasks still occupy.
	Held int
}

// ReturnRequest returns slots to the lender.
type ReturnRequest struct {
	Borrower string
	Returns  []WireReturn
}

// ReturnReply confirms that the returns were handled.
type ReturnReply struct{ Handled bool }

func encodeLoanID(id loan.ID) WireLoanID {
	return WireLoanID{Borrower: string(id.Request.Borrower), Sequence: uint64(id.Request.Sequence), Endpoint: string(id.Endpoint)}
}

func decodeLoanID(w WireLoanID) loan.ID {
	return loan.ID{
		Request:  loan.RequestID{Borrower: vm.Incarnation(w.Borrower), Sequence: loan.Sequence(w.Sequence)},
		Endpoint: datacentre.EndpointID(w.Endpoint),
	}
}

func encodeLoanRequest(r loan.Request) LoanRequest {
	w := LoanRequest{Borrower: string(r.ID.Borrower), Sequence: uint64(r.ID.Sequence), Need: encodeLoanNeed(r.Need)}
	for _, id := range r.Renewals {
		w.Keep = append(w.Keep, encodeLoanID(id))
	}
	return w
}

func decodeLoanRequest(w LoanRequest) loan.Request {
	r := loan.Request{
		ID:   loan.RequestID{Borrower: vm.Incarnation(w.Borrower), Sequence: loan.Sequence(w.Sequence)},
		Need: decodeLoanNeed(w.Need),
	}
	for _, id := range w.Keep {
		r.Renewals = append(r.Renewals, decodeLoanID(id))
	}
	return r
}

func encodeLoanNeed(n dispatch.LoanNeed) WireLoanNeed {
	return WireLoanNeed{
		Tasks: n.Tasks, WaitMs: int64(n.Wait), UrgentTasks: n.UrgentTasks, UrgentWaitMs: int64(n.UrgentWait),
		Slots: int(n.Slots), Asked: n.AskedPeers,
	}
}

func decodeLoanNeed(w WireLoanNeed) dispatch.LoanNeed {
	return dispatch.LoanNeed{
		Tasks: w.Tasks, Wait: clock.Millis(w.WaitMs), UrgentTasks: w.UrgentTasks, UrgentWait: clock.Millis(w.UrgentWaitMs),
		Slots: datacentre.Slots(w.Slots), AskedPeers: w.Asked,
	}
}

func encodeGrant(g loan.Grant) LoanReply {
	w := LoanReply{Lendable: int(g.Lendable)}
	for _, l := range g.Loans {
		w.Loans = append(w.Loans, encodeLoan(l))
	}
	return w
}

func decodeGrant(w LoanReply) loan.Grant {
	g := loan.Grant{Lendable: datacentre.Slots(w.Lendable)}
	for _, l := range w.Loans {
		g.Loans = append(g.Loans, decodeLoan(l))
	}
	return g
}

func encodeLoan(l loan.Loan) WireLoan {
	return WireLoan{
		ID:          encodeLoanID(l.ID),
		DataCentre:  string(l.Endpoint.DataCentre),
		Rack:        string(l.Endpoint.Rack),
		Address:     l.Endpoint.Address,
		Capacity:    int(l.Endpoint.Slots),
		Connections: int(l.Endpoint.Connections),
		Slots:       int(l.Slots),
	}
}

func decodeLoan(w WireLoan) loan.Loan {
	return loan.Loan{
		ID: decodeLoanID(w.ID),
		Endpoint: datacentre.Endpoint{
			ID:          datacentre.EndpointID(w.ID.Endpoint),
			DataCentre:  datacentre.ID(w.DataCentre),
			Rack:        datacentre.RackID(w.Rack),
			Address:     w.Address,
			Slots:       datacentre.Slots(w.Capacity),
			Connections: datacentre.Connections(w.Connections),
		},
		Slots: datacentre.Slots(w.Slots),
	}
}

package peer_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// lendingHandler grants the same loans to every request.
type lendingHandler struct {
	peer.Handler
	loans []loan.Loan
}

func (h lendingHandler) HandleLoanRequest(context.Context, loan.Request) (loan.Grant, error) {
	return loan.Grant{Loans: h.loans, Lendable: 8}, nil
}

func (lendingHandler) HandleLoanReturns(context.Context, vm.Incarnation, []loan.Return) error {
	return nil
}

// BenchmarkLoan measures a loan request that renews as many loans as it is granted, and their
// return, with the replies. It reports the bytes without TCP and IP headers, and the time of
// both ends together.
func BenchmarkLoan(b *testing.B) {
	for _, loans := range []int{0, 1, 40} {
		b.Run(fmt.Sprint("loans=", loans), func(b *testing.B) { benchmarkLoan(b, loans) })
	}
}

func benchmarkLoan(b *testing.B, count int) {
	request := loan.RequestID{Borrower: "sur11-0123456789ab", Sequence: 1000}
	var loans []loan.Loan
	var renewals []loan.ID
	var returns []loan.Return
	for i := range count {
		e := datacentre.Endpoint{ID: datacentre.EndpointID(fmt.Sprintf("playout%05d", i)), DataCentre: "sur", Rack: "rack1", Address: "10.11.12.13:8000", Slots: 8, Connections: 64}
		id := loan.ID{Request: request, Endpoint: e.ID}
		loans = append(loans, loan.Loan{ID: id, Endpoint: e, Slots: 4})
		renewals = append(renewals, id)
		returns = append(returns, loan.Return{Loan: id})
	}
	c, bytes := pipeClient(b, lendingHandler{loans: loans})
	lender := vm.VM{Incarnation: "sur12-0123456789ab", DataCentre: "sur", PeerAddress: "10.11.12.13:7001"}
	exchange := func() {
		if _, err := c.RequestLoan(context.Background(), lender, loan.Request{ID: request, Need: dispatch.LoanNeed{Tasks: 8, Wait: 500, Slots: 16, AskedPeers: 1}, Renewals: renewals}); err != nil {
			b.Fatal(err)
		}
		if err := c.ReturnLoans(context.Background(), lender, request.Borrower, returns); err != nil {
			b.Fatal(err)
		}
	}
	// The first calls also carry gob's type descriptions.
	exchange()
	bytes.Store(0)
	b.ResetTimer()
	for range b.N {
		exchange()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/exchange")
}

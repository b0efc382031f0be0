package loan_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
)

// BenchmarkLentLoansMemory reports the memory of a LentLoans for different numbers of loans.
func BenchmarkLentLoansMemory(b *testing.B) {
	for _, loans := range []int{4, 40, 400} {
		b.Run(fmt.Sprint("loans=", loans), func(b *testing.B) {
			var offers []loan.Offer
			for i := range loans {
				offers = append(offers, loan.Offer{Endpoint: datacentre.Endpoint{ID: datacentre.EndpointID(fmt.Sprint("playout", i))}, Slots: 1})
			}
			var lenders []*loan.LentLoans
			before := heapBytes()
			for range b.N {
				lent := loan.NewLentLoans(loan.Config{MaxTaskDuration: clock.Minute})
				for n := range loans {
					lent.Lend(1, loan.RequestID{Borrower: "sur11-0123456789ab", Sequence: loan.Sequence(n)}, offers[n:n+1])
				}
				lenders = append(lenders, lent)
			}
			b.ReportMetric((heapBytes()-before)/float64(b.N), "B/lender")
			runtime.KeepAlive(lenders)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// TestUsageShowsSignOffs guards against a report without the sign-offs, or with the sign-off
// of a version that was refused.
func TestUsageShowsSignOffs(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 1}, 1)
	n := s.node("centro0")
	for _, signed := range []bundle.SignedVersion{{Ref: bundle.Ref{Version: 3, Digest: "d3"}, Month: "2026-11", Signer: "ads"}, {Ref: bundle.Ref{Version: 5, Digest: "d5"}, Month: "2026-12", Signer: "alerts"}, {Ref: bundle.Ref{Version: 4, Digest: "x4"}, Month: "2026-12", Signer: "ads"}} {
		head := bundle.Head{Version: signed.Ref.Version, SignOff: bundle.SignOff{Month: signed.Month, Signer: signed.Signer}}
		s.handle(n, BundleOffered{Candidate: bundle.Candidate{Head: head, Digest: signed.Ref.Digest, Bundle: &bundle.Bundle{}}})
	}
	earlier := bundle.SignedVersion{Ref: bundle.Ref{Version: 4, Digest: "d4"}, Month: "2026-11", Signer: "ads"}
	s.handle(n, SignOffsRead{Signed: []bundle.SignedVersion{earlier, earlier}})
	report := s.usage(n)
	got := fmt.Sprint(report.InForce, report.SignOffs)
	want := "5 [{{5 d5} 2026-12 alerts} {{4 d4} 2026-11 ads} {{3 d3} 2026-11 ads}]"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// usage returns a VM's current accounting report.
func (s *simulation) usage(n *simVM) accounting.Report {
	var report accounting.Report
	s.waiter++
	s.replies[s.waiter] = func(r Reply) { report = r.(UsageReply).Report }
	s.handle(n, UsageRequested{Waiter: s.waiter})
	return report
}

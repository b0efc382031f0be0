package entry

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// TestUsageIsAvailableAtEveryVM guards against a report that contains only the usage at one VM,
// or usage without its age.
func TestUsageIsAvailableAtEveryVM(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 3}, 6)
	s.run(5 * clock.Second)
	s.submit(s.node("centro1"), 40)
	s.run(5 * clock.Second)
	cases := []struct {
		name    string
		down    bool
		wantAge clock.Millis
	}{
		{"all VMs up", false, accounting.DigestMinInterval + HeartbeatInterval},
		{"the VM that ran the tasks is down", true, 12 * clock.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.down {
				s.node("centro1").down = true
				s.run(10 * clock.Second)
			}
			report := s.usage(s.node("centro0"))
			if len(report.Owners) != 1 || report.Owners[0].Usage.Started != 40 || report.Owners[0].Share != 1 {
				t.Fatalf("got owners %+v, want 40 starts of one owner with share 1", report.Owners)
			}
			if len(report.VMs) != 3 {
				t.Fatalf("got usage of %d VMs, want 3", len(report.VMs))
			}
			if got := report.VMs[1].Age; got > c.wantAge || c.down && got < 10*clock.Second {
				t.Errorf("got usage of %s that is %d ms old, want at most %d", report.VMs[1].VM, got, c.wantAge)
			}
		})
	}
}

// TestUsageReportIsBuiltOncePerSecond guards against callers that block the control goroutine
// with frequent requests: with 120 owners in 22 data centres, building a report takes more
// than a millisecond.
func TestUsageReportIsBuiltOncePerSecond(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 1}, 1)
	reports := make(map[*accounting.OwnerReport]bool)
	for range 100 {
		reports[&s.usage(s.node("centro0")).Owners[0]] = true
		s.run(30)
	}
	if got, want := len(reports), 3; got != want {
		t.Errorf("got %d reports for 100 requests in 3 s, want %d", got, want)
	}
}

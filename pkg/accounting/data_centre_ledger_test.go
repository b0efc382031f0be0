package accounting

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against older figures replacing newer ones, and against two delegates that treat
// each other's relayed copies as newer, so that neither relays its own figures any more.
func TestDataCentreLedgerKeepsNewest(t *testing.T) {
	for name, tt := range map[string]struct {
		age, wantAge clock.Millis
		direct       bool
		wantStarted  int64
		wantDirect   int
	}{
		"older, from a VM of the data centre": {6000, 5000, true, 1, 1},
		"newer, from a VM of the data centre": {4999, 4999, true, 2, 1},
		"newer by the transit time":           {4001, 5000, false, 1, 1},
		"newer, relayed":                      {3999, 3999, false, 2, 0},
	} {
		l := NewDataCentreLedger()
		l.Record(10000, DataCentreUsage{DataCentre: "sur", Age: 5000, Usage: dispatch.OwnerUsage{Owner: "ads", Started: 1}}, true)
		l.Record(10000, DataCentreUsage{DataCentre: "sur", Age: tt.age, Usage: dispatch.OwnerUsage{Owner: "ads", Started: 2}}, tt.direct)
		r := Report{Owners: []OwnerReport{{Owner: "ads"}}}
		l.AddTo(&r, 10000, "centro")
		if sur, rows := r.DataCentres[1], len(l.DirectUsage(10000)); sur.Usage[0].Started != tt.wantStarted || sur.Age != tt.wantAge || rows != tt.wantDirect {
			t.Errorf("%s: got %+v with %d direct rows, want %d started, %d ms old, and %d rows", name, sur, rows, tt.wantStarted, tt.wantAge, tt.wantDirect)
		}
	}
}

// Guards against a sum that drops because a VM that just started has no figures of another VM.
func TestSumNeedsEveryVM(t *testing.T) {
	l := NewLedger()
	l.Record(1, "a-1", []dispatch.OwnerUsage{{Owner: "ads", Started: 1}})
	_, one := l.Sum(2, "ads", []vm.Incarnation{"a-1"})
	if _, both := l.Sum(2, "ads", []vm.Incarnation{"a-1", "b-1"}); !one || both {
		t.Errorf("got complete %t for one VM and %t for two, want true and false", one, both)
	}
}

package evacuation

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a bound that is counted from a time at which the store may have accepted the request already,
// whatever the order in which states and their ages arrive.
func TestViewKnowsWhenADataCentreWasClear(t *testing.T) {
	type update struct {
		version Revision
		dcs     map[datacentre.ID]Revision
		readAt  clock.Millis
	}
	sur, norte, both := map[datacentre.ID]Revision{"sur": 2}, map[datacentre.ID]Revision{"norte": 2}, map[datacentre.ID]Revision{"sur": 3, "norte": 2}
	for name, tt := range map[string]struct {
		updates []update
		want    Status
	}{
		"clear, read again":                 {[]update{{1, nil, 100}, {4, nil, 200}}, Status{ClearAt: 200}},
		"evacuated before the VM started":   {[]update{{2, sur, 200}}, Status{Evacuated: true}},
		"evacuated for long":                {[]update{{1, nil, 100}, {2, sur, 200}, {3, sur, 900}}, Status{Evacuated: true, ClearAt: 100}},
		"this one after another":            {[]update{{1, nil, 100}, {2, norte, 200}, {3, both, 300}}, Status{Evacuated: true, ClearAt: 200}},
		"asked again":                       {[]update{{2, sur, 200}, {3, nil, 300}, {5, sur, 500}}, Status{Evacuated: true, ClearAt: 300}},
		"news of unknown age":               {[]update{{1, nil, 100}, {2, sur, 0}}, Status{Evacuated: true, ClearAt: 100}},
		"earlier state that arrives late":   {[]update{{1, nil, 100}, {3, nil, 300}, {2, sur, 200}}, Status{ClearAt: 300}},
		"earlier state that was read later": {[]update{{5, nil, 100}, {4, nil, 150}}, Status{ClearAt: 150}},
	} {
		var v View
		for _, u := range tt.updates {
			v.Update(State{Version: u.version, Since: u.dcs}, u.readAt)
		}
		if got := v.Status("sur"); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}

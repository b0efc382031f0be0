package evacuation

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

func stateOf(version Revision, dcs ...datacentre.ID) State {
	s := State{Version: version, Since: make(map[datacentre.ID]Revision)}
	for _, dc := range dcs {
		s.Since[dc] = version
	}
	return s
}

// Guards against a bound that is counted from a time at which the store may have accepted the request
// already, whatever the order in which states and their ages arrive.
func TestViewKnowsWhenADataCentreWasClear(t *testing.T) {
	type update struct {
		state  State
		readAt clock.Millis
	}
	for _, tt := range []struct {
		name    string
		updates []update
		want    Status
	}{
		{"nothing known", nil, Status{}},
		{"clear", []update{{stateOf(1), 100}}, Status{ClearAt: 100}},
		{"clear, read again", []update{{stateOf(1), 100}, {stateOf(4), 200}}, Status{ClearAt: 200}},
		{"evacuated", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 200}}, Status{Evacuated: true, ClearAt: 100}},
		{"evacuated before the VM started", []update{{stateOf(2, "sur"), 200}}, Status{Evacuated: true}},
		{"evacuated for long", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 200}, {stateOf(3, "sur"), 900}}, Status{Evacuated: true, ClearAt: 100}},
		{"another one too", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 200}, {stateOf(3, "sur", "norte"), 300}}, Status{Evacuated: true, ClearAt: 100}},
		{"this one after another", []update{{stateOf(1), 100}, {stateOf(2, "norte"), 200}, {stateOf(3, "sur", "norte"), 300}}, Status{Evacuated: true, ClearAt: 200}},
		{"taken back", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 200}, {stateOf(3), 300}}, Status{ClearAt: 300}},
		{"asked again", []update{{stateOf(2, "sur"), 200}, {stateOf(3), 300}, {stateOf(5, "sur"), 500}}, Status{Evacuated: true, ClearAt: 300}},
		{"taken back and asked again between two reads", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 200}, {stateOf(7, "sur"), 900}}, Status{Evacuated: true, ClearAt: 100}},
		{"news of a peer, of unknown age", []update{{stateOf(1), 100}, {stateOf(2, "sur"), 0}}, Status{Evacuated: true, ClearAt: 100}},
		{"earlier state of a peer that arrives late", []update{{stateOf(1), 100}, {stateOf(3), 300}, {stateOf(2, "sur"), 200}}, Status{ClearAt: 300}},
		{"earlier state, read later", []update{{stateOf(5), 100}, {stateOf(4), 150}}, Status{ClearAt: 150}},
		{"age of a peer that knows no more", []update{{stateOf(5), 100}, {stateOf(5), 400}}, Status{ClearAt: 400}},
	} {
		var v View
		for _, u := range tt.updates {
			v.Update(u.state, u.readAt)
		}
		if got := v.Status("sur"); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Guards against a change of the evacuated data centres that nobody is told of, and against news of each
// read of the store.
func TestViewReportsChanges(t *testing.T) {
	var v View
	for i, want := range []bool{false, true, false, true, false, true} {
		s := []State{stateOf(1), stateOf(2, "sur"), {Version: 3, Since: map[datacentre.ID]Revision{"sur": 2}}, stateOf(4, "sur"), stateOf(4), stateOf(5)}[i]
		if got := v.Update(s, clock.Millis(i)); got != want {
			t.Errorf("state %d: got changed %v, want %v", i, got, want)
		}
	}
}

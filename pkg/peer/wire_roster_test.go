package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against a field of a heartbeat that is lost in encoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	v := vm.VM{Incarnation: "b-1", DataCentre: "centro", PeerAddress: "b:1", Size: 3, Started: 4, Leaving: true, Status: vm.Suspected}
	want := entry.Heartbeat{
		From: v, RosterVersion: 2, Backlog: 3, Lendable: 6, Reports: []vm.VM{v}, Reaches: []datacentre.ID{"sur"},
		Drains: []datacentre.DrainReport{{Endpoint: "e1", Leaving: true, Age: 5}},
		Usage:  []dispatch.OwnerUsage{{Owner: "ads", SlotTime: 1, Charged: 7, Backlog: 2, Started: 3, Refused: 4, Waited: 5, LongestWait: 6}},
		DataCentres: []accounting.DataCentreUsage{
			{DataCentre: "centro", Age: 8, Usage: dispatch.OwnerUsage{Owner: "ads", SlotTime: 1, Backlog: 2, Started: 3, Refused: 4, Waited: 5, LongestWait: 6}},
			{DataCentre: "sur", Age: 9, Usage: dispatch.OwnerUsage{Owner: "alerts", Started: 3}},
		},
	}
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(encodeHeartbeat(want)); err != nil {
		t.Fatal(err)
	}
	var request HeartbeatRequest
	if err := gob.NewDecoder(&wire).Decode(&request); err != nil {
		t.Fatal(err)
	}
	if got := decodeHeartbeat(request); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

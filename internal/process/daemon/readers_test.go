package daemon

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

func listedRow(state string) store.Row {
	return store.Row{Value: fmt.Appendf(nil, `{"backend":"b","address":"10.0.0.1:1","zone":"centro","state":%q}`, state)}
}

// Guards against changes to the list of endpoints that are missed because a row was decoded
// before: an endpoint that drains, comes back, becomes unreadable or vanishes.
func TestEndpointsAreDecodedAgainWhenTheyChange(t *testing.T) {
	clocks := clock.NewManual(clock.Hour)
	d := &Daemon{decoded: make(map[string]decodedRow), loop: newLoop(nil, clocks)}
	d.journal = newJournal(event.NewLog(logrus.New()), meter.New(), clocks, 10)
	rows := map[string]store.Row{}
	for step, c := range []struct {
		row   *store.Row
		state string
	}{
		{new(listedRow("ready")), "ready"},
		{new(listedRow("draining")), "draining"},
		{new(listedRow("ready")), "ready"},
		{&store.Row{Value: []byte("{")}, "none"},
		{new(listedRow("ready")), "ready"},
		{nil, "none"},
		{new(listedRow("draining")), "draining"},
	} {
		delete(rows, "e1")
		if c.row != nil {
			c.row.Key = "e1"
			rows["e1"] = *c.row
		}
		d.endpointsChanged(rows, store.Revision(step+1))
		e, ok := (<-d.loop.mailbox).(node.EndpointsRead)
		if !ok {
			t.Fatalf("step %d: got another event, want the endpoints", step)
		}
		got := "none"
		if len(e.Endpoints) == 1 {
			got = map[bool]string{true: "draining", false: "ready"}[e.Endpoints[0].Draining]
		}
		if got != c.state {
			t.Errorf("step %d: got %s, want %s", step, got, c.state)
		}
	}
}

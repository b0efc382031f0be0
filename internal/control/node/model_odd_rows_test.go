package node_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// unreadableRow is the value of a row that describes no endpoint.
type unreadableRow struct{}

// injectOddRows overwrites the row of an endpoint for a while, or adds a row for a while that is
// unreadable or names an address where nothing is.
func injectOddRows(w *world, random *rand.Rand) {
	d := duration(random, maxStoreDuration)
	if random.IntN(2) == 0 {
		if e := w.pickEndpoint(random); e != nil {
			e.oddUntil = w.now + d
			if _, ok := w.store.rows[tableEndpoints][string(e.id)]; ok {
				w.store.put(tableEndpoints, string(e.id), unreadableRow{}, -1)
			}
			w.trace.add(record{endpoint: e.id, format: "FAULT row unreadable until %s", args: []any{formatTime(e.oddUntil)}})
		}
		return
	}
	id := datacentre.EndpointID(fmt.Sprintf("odd-%d", w.now))
	var value any = unreadableRow{}
	if random.IntN(2) == 0 {
		value = endpoint.Endpoint{
			ID: id, Born: 1, Service: modelService, DataCentre: pick(random, w.vms).dc, Address: string(id),
			Capacity: job.Resources{CPU: modelCapacity, Memory: 1 << 17}, Labels: []string{"a", "r1"}, Rack: "r1",
		}
	}
	w.store.put(tableEndpoints, string(id), value, -1)
	w.after(d, func() { w.store.remove(tableEndpoints, string(id)) })
	w.logFault(faultOddRows, "%s for %s: %v", id, formatTime(d), value)
}

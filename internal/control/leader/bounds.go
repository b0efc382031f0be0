package leader

import (
	"math"
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// Bounds are what a leader may take of its VM and ask of its endpoints. Zero values are no bounds.
type Bounds struct {
	// TasksPerEndpoint bounds the tasks at an endpoint, whatever they need.
	TasksPerEndpoint job.Slots
	// Calls bounds the starts without an answer, and the stops.
	Calls int
}

// calls counts the requests of a kind that have no answer yet.
type calls struct {
	limit, open int
	// reported means that the limit was reached, and that more than half of the calls have had no answer since.
	reported bool
}

// beginCall records a request, and reports that its kind has reached the limit.
func (l *Leader) beginCall(c *calls) {
	if c.open++; c.isFull() && !c.reported {
		c.reported = true
		l.emit(LogDecision{Decision: CallsFull, Detail: strconv.Itoa(l.starts.open) + " starts and " + strconv.Itoa(l.stops.open) + " stops without an answer"})
	}
}

// end records an answer. Those of an earlier leadership do not arrive.
func (c *calls) end() {
	c.open--
	c.reported = c.reported && c.open > c.limit/2
}

// isFull reports whether another request has to wait.
func (c *calls) isFull() bool { return c.limit > 0 && c.open >= c.limit }

// withSlots returns an entry whose capacity has the slots that this leader uses.
func (l *Leader) withSlots(e endpoint.Endpoint) endpoint.Endpoint {
	if e.Capacity.Slots = l.config.Bounds.TasksPerEndpoint; e.Capacity.Slots == 0 {
		e.Capacity.Slots = math.MaxInt32
	}
	return e
}

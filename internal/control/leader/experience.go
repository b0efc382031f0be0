package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Experience returns what the home has learnt, for the next home of the cell.
func (h *Leader) Experience() estimate.Estimates {
	e := estimate.Estimates{
		Speeds: make(map[datacentre.EndpointID]estimate.Mean, len(h.ordered)),
		Works:  make(map[queue.Name]estimate.Mean, len(h.kinds)),
	}
	for _, p := range h.ordered {
		if p.speed.samples > 0 {
			e.Speeds[p.ID] = estimate.Mean{Log: p.speed.log, Samples: p.speed.samples}
		}
	}
	for n, k := range h.kinds {
		e.Works[n] = estimate.Mean{Log: k.log, Samples: k.samples}
	}
	return e
}

// remember takes over what an earlier home has learnt, where this one has learnt less.
func (h *Leader) remember(e estimate.Estimates) {
	for _, p := range h.ordered {
		if m, ok := e.Speeds[p.ID]; ok && m.Samples > p.speed.samples {
			p.speed = speed{log: m.Log, samples: min(m.Samples, speedWindow)}
		}
	}
	for n, m := range e.Works {
		if k := h.kinds[n]; k == nil || m.Samples > k.samples {
			h.kinds[n] = &kind{log: m.Log, samples: min(m.Samples, kindWindow)}
		}
	}
	h.remembered = e
}

package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Estimates returns what the home has learnt, for the next home of the cell.
func (l *Leader) Estimates() estimate.Estimates {
	e := estimate.Estimates{
		Speeds: make(map[datacentre.EndpointID]estimate.Mean, len(l.ordered)),
		Works:  make(map[queue.Name]estimate.Mean, len(l.kinds)),
	}
	for _, p := range l.ordered {
		if p.speed.samples > 0 {
			e.Speeds[p.ID] = estimate.Mean{Log: p.speed.log, Samples: p.speed.samples}
		}
	}
	for n, k := range l.kinds {
		e.Works[n] = estimate.Mean{Log: k.log, Samples: k.samples}
	}
	return e
}

// remember takes over what an earlier home has learnt, where this one has learnt less.
func (l *Leader) remember(e estimate.Estimates) {
	for _, p := range l.ordered {
		if m, ok := e.Speeds[p.ID]; ok && m.Samples > p.speed.samples {
			p.speed = speed{log: m.Log, samples: min(m.Samples, speedWindow)}
		}
	}
	for n, m := range e.Works {
		if k := l.kinds[n]; k == nil || m.Samples > k.samples {
			l.kinds[n] = &kind{log: m.Log, samples: min(m.Samples, kindWindow)}
		}
	}
	l.remembered = e
}

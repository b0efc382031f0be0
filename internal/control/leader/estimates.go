package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Estimates returns the performance estimates, for the next leader of the shard.
func (l *Leader) Estimates() estimate.Estimates {
	e := estimate.Estimates{
		Speeds: make(map[datacentre.EndpointID]estimate.Mean, len(l.sortedEndpoints)),
		Works:  make(map[queue.Name]estimate.Mean, len(l.workEstimates)),
	}
	for _, ep := range l.sortedEndpoints {
		if ep.speed.samples > 0 {
			e.Speeds[ep.ID] = estimate.Mean{Log: ep.speed.logMean, Samples: ep.speed.samples}
		}
	}
	for n, est := range l.workEstimates {
		e.Works[n] = estimate.Mean{Log: est.logMean, Samples: est.samples}
	}
	return e
}

// inheritEstimates adopts each estimate of an earlier leader that has more samples than this
// leader's.
func (l *Leader) inheritEstimates(e estimate.Estimates) {
	for _, ep := range l.sortedEndpoints {
		if m, ok := e.Speeds[ep.ID]; ok && m.Samples > ep.speed.samples {
			ep.speed = speed{logMean: m.Log, samples: min(m.Samples, speedWindow)}
		}
	}
	for n, m := range e.Works {
		if est := l.workEstimates[n]; est == nil || m.Samples > est.samples {
			l.workEstimates[n] = &workEstimate{logMean: m.Log, samples: min(m.Samples, workWindow)}
		}
	}
	l.inheritedEstimates = e
}

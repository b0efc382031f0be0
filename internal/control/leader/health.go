package leader

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// health ejects an endpoint whose attempts fail.
type health struct {
	failures     int
	ejectedUntil clock.Millis
	ejections    int
	// onProbation limits a readmitted endpoint to one task at a time until one is done.
	onProbation bool
}

const (
	// ejectAfterFailures is the number of consecutive failures of different jobs that eject an
	// endpoint. With 0.2 % of tasks failing by their own fault and 5 % of jobs impossible, three in
	// a row are rare at a healthy endpoint.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the time without tasks; it doubles with each ejection.
	minEjection = clock.Millis(800)
	maxEjection = clock.Millis(3000)
)

func (h *health) usable(now clock.Millis, running int) bool {
	return now >= h.ejectedUntil && (!h.onProbation || running == 0)
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure and reports whether it ejects the endpoint.
func (h *health) recordFailure(now clock.Millis) bool {
	h.failures++
	if !h.onProbation && h.failures < ejectAfterFailures {
		return false
	}
	h.eject(now)
	return true
}

func (h *health) eject(now clock.Millis) {
	h.ejectedUntil = now + min(minEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.onProbation = true
	h.failures = 0
}

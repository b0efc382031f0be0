package dispatch

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// Four buckets per octave resolve run times to within 19 %, from 1 ms to 65 s.
	bucketsPerOctave = 4
	histogramBuckets = 64
	// The counts are halved at this total, so that old run times lose weight.
	maxHistogramTotal = 512
)

// histogram counts run times on a logarithmic scale.
type histogram struct {
	counts [histogramBuckets]uint16
	total  int
}

func (h *histogram) add(runTime clock.Millis) {
	i := int(bucketsPerOctave * math.Log2(float64(max(runTime, 1))))
	h.counts[min(i, histogramBuckets-1)]++
	h.total++
	if h.total < maxHistogramTotal {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the upper bound of the bucket that contains the quantile q.
func (h *histogram) quantile(q float64) clock.Millis {
	remaining := int(math.Ceil(q * float64(h.total)))
	for i, n := range h.counts {
		remaining -= int(n)
		if remaining <= 0 {
			return clock.Millis(math.Ceil(math.Exp2(float64(i+1) / bucketsPerOctave)))
		}
	}
	return 0
}

// cappedMean returns the mean run time, with each run time capped at limit.
func (h *histogram) cappedMean(limit clock.Millis) slotMillis {
	sum := 0.0
	for i, n := range h.counts {
		if n > 0 {
			middle := math.Exp2((float64(i) + 0.5) / bucketsPerOctave)
			sum += float64(n) * min(middle, float64(limit))
		}
	}
	return slotMillis(sum / float64(max(h.total, 1)))
}

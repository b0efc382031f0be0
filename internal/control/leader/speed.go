package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// speed is the estimated speed of an endpoint, from the measured and the expected durations of its
// attempts.
type speed struct {
	// logMean is the mean logarithm of expected over measured duration.
	logMean float64
	samples int
}

const (
	// speedWindow is how many samples the mean covers. Expected durations are off by 40 %, so that
	// 12 samples distinguish speeds that differ by a factor of 2 with an error of about 12 %.
	speedWindow = 12
	// speedClamp is how far one sample may be from the mean, as a logarithm: a straggler takes 7 times
	// as long as expected and is no evidence of a slow endpoint.
	speedClamp = 1.2
	// minSpeed and maxSpeed bound the estimate; a typical endpoint has speed 1.
	minSpeed = 0.1
	maxSpeed = 3
)

func (s *speed) factor() float64 {
	return min(max(math.Exp(s.logMean), minSpeed), maxSpeed)
}

// duration is the expected duration of work that takes base at speed 1.
func (s *speed) duration(base clock.Millis) clock.Millis {
	return clock.Millis(float64(base) / s.factor())
}

func (s *speed) record(expected, measured clock.Millis) {
	if expected <= 0 || measured <= 0 {
		return
	}
	sample := math.Log(float64(expected) / float64(measured))
	sample = min(max(sample, s.logMean-speedClamp), s.logMean+speedClamp)
	s.samples = min(s.samples+1, speedWindow)
	// The initial speed of 1 counts as one sample.
	s.logMean += (sample - s.logMean) / float64(s.samples+1)
}

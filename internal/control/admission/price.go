package admission

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// price is the density below which jobs that wait are displaced at present. A job below it would have to
// wait, and would be refused all the same once denser ones have arrived.
type price struct {
	logDensity float64
	at         clock.Millis
	valid      bool
}

const (
	// priceGain is how far one displaced job moves the price to its density.
	priceGain = 0.1
	// priceMargin is how far below the price, as a logarithm, a job has to be to be refused.
	priceMargin = -0.15
	// priceDecay is the time in which the price falls by a factor of e without displaced jobs, so that the
	// end of an overload is found out by jobs that are accepted.
	priceDecay = clock.Millis(200)
)

// recordDisplaced moves the price to the density of a job that had to give way.
func (p *price) recordDisplaced(now clock.Millis, density float64) {
	l := math.Log(density)
	if !p.valid {
		*p = price{logDensity: l, at: now, valid: true}
		return
	}
	p.decay(now)
	p.logDensity += (l - p.logDensity) * priceGain
}

func (p *price) decay(now clock.Millis) {
	if now > p.at {
		p.logDensity -= float64(now-p.at) / float64(priceDecay)
		p.at = now
	}
}

// exceeds reports whether a job of a density would be displaced.
func (p *price) exceeds(now clock.Millis, density float64) bool {
	if !p.valid {
		return false
	}
	p.decay(now)
	return math.Log(density) < p.logDensity+priceMargin
}

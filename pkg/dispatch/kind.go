package dispatch

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// kindKey identifies a kind of task. Two owners may use the same name for different work.
type kindKey struct {
	owner owner.ID
	kind  contract.Kind
}

const (
	// defaultRunTime is the estimate for a kind until a task of any kind has ended.
	defaultRunTime slotMillis = 200
	// minLearningRate is the floor of the moving averages' step, which falls as 1/n. At 0.05
	// the mean of run times that vary by a factor of 20 is off by about 15 %.
	minLearningRate = 0.05
	// Run times are capped at outlierFactor times the median in the mean.
	outlierFactor = 4
	// quantileInterval is the number of run times between two computations of a quantile.
	quantileInterval = 16
	// failedOnLimit bounds the number of endpoints on which a kind has to fail before it
	// counts as failing everywhere.
	failedOnLimit = 8
)

// kind holds the run-time estimates and the failures of a kind of task.
type kind struct {
	name    contract.Kind
	times   histogram
	samples int
	mean    slotMillis
	// logMean is the mean of log2 of the run times, corrected for the endpoints' speeds.
	logMean float64
	upper   clock.Millis
	// sampleCap is the cap for a run time in the mean.
	sampleCap clock.Millis
	long      bool
	jobs      int
	lastUsed  clock.Millis

	failureRate float64
	failures    int
	lastSuccess clock.Millis
	// probedAt is when a probe job was last admitted despite a late projection.
	probedAt   clock.Millis
	failedOn   []*endpoint
	unrunnable bool
}

func (k *kind) measured() bool {
	return k.samples > 0
}

// observe records the run time of a successful task. It returns log2 of the ratio of the
// run time to the expected one.
func (k *kind) observe(runTime clock.Millis, ep *endpoint) float64 {
	k.times.add(runTime)
	k.samples++
	step := max(1/float64(k.samples), minLearningRate)
	log := math.Log2(float64(max(runTime, 1)))
	deviation := log - ep.logSlowness - k.logMean
	if k.samples == 1 {
		deviation = 0
		k.logMean = log - ep.logSlowness
	}
	k.logMean += step * deviation
	k.updateEstimate(runTime, step)
	return deviation
}

// updateEstimate updates the mean and the upper quantile. Run times are capped, since a
// single straggler would otherwise raise the mean until admission rejects the whole kind.
// With few run times the median still changes a lot, so the mean is recomputed over all of
// them.
func (k *kind) updateEstimate(runTime clock.Millis, step float64) {
	few := k.samples <= quantileInterval
	if few || k.samples%quantileInterval == 0 {
		k.sampleCap = outlierFactor * k.times.quantile(0.5)
		k.upper = min(k.times.quantile(0.9), k.sampleCap)
	}
	if few {
		k.mean = k.times.cappedMean(k.sampleCap)
		return
	}
	k.mean += slotMillis(step) * (slotMillis(min(runTime, k.sampleCap)) - k.mean)
}

// recordOverrun records that a task of the kind has run for runTime and has not ended. It
// sets the estimate only while no task of the kind has succeeded: without it, the first
// tasks to end, which are the short ones, would set the estimate alone.
func (k *kind) recordOverrun(runTime clock.Millis) {
	if k.samples > 0 && k.mean >= slotMillis(runTime) || k.times.total > 0 {
		return
	}
	k.mean, k.upper, k.samples = slotMillis(runTime), runTime, 1
	k.logMean = math.Log2(float64(max(runTime, 1)))
}

// classify marks the kind as short or long work. The hysteresis between the two limits
// keeps a kind near the threshold from changing lanes with every task.
func (k *kind) classify(longThreshold clock.Millis) {
	switch {
	case k.mean > slotMillis(longThreshold):
		k.long = true
	case k.mean < slotMillis(longThreshold)/2:
		k.long = false
	}
}

func (k *kind) lane() laneIndex {
	switch {
	case !k.measured():
		return newLane
	case k.long:
		return longLane
	default:
		return shortLane
	}
}

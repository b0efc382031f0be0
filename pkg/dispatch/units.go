package dispatch

// slotMillis is slot time in milliseconds. It has fractions because estimates are means.
type slotMillis float64

// virtualTime is slot time per unit of share, as in weighted fair queueing: owners with
// equal virtual time have used slot time in proportion to their shares.
type virtualTime float64

// laneIndex is the lane of short work, of kinds without a known run time, or of long work.
type laneIndex int

const (
	shortLane laneIndex = iota
	newLane
	longLane
	laneCount
)

// rankCount is the number of urgency classes; higher ranks share the last class.
const rankCount = 8

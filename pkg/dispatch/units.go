package dispatch

// slotMillis is slot time in milliseconds, with fractions: estimates are means.
type slotMillis float64

// virtualTime is slot time per unit of share. Owners with equal virtual time have had
// slot time in proportion to their shares.
type virtualTime float64

// laneIndex tells short work, long work and work of kinds without a known run time.
type laneIndex int

const (
	shortLane laneIndex = iota
	newLane
	longLane
	laneCount
)

// rankCount bounds the urgency classes told apart; higher ranks share the last class.
const rankCount = 8

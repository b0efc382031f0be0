package admission

import (
	"cmp"
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// Candidate is an endpoint at which a task can start now and end in time.
type Candidate struct {
	// Speed is that of the endpoint for the task.
	Speed float64
	// Free is the CPU that is free there.
	Free job.MilliCores
}

// Compare orders candidates, the one to use first. While there is enough capacity, the fastest endpoint
// is best. When it is scarce, slow endpoints come first, as fewer jobs can use them in time, and among
// endpoints of about the same speed the one with the least free CPU, so that less is left in pieces that
// no task fits.
func (c Candidate) Compare(o Candidate, scarce bool) int {
	if !scarce {
		return cmp.Or(cmp.Compare(o.Speed, c.Speed), cmp.Compare(c.Free, o.Free))
	}
	return cmp.Or(cmp.Compare(speedBand(c.Speed), speedBand(o.Speed)), cmp.Compare(c.Free, o.Free), cmp.Compare(o.Speed, c.Speed))
}

// bandWidth is the ratio of the speeds that a band covers; estimates of speeds are off by 12 %.
const bandWidth = 1.5

func speedBand(speed float64) int {
	return int(math.Round(math.Log(speed) / math.Log(bandWidth)))
}

package measure

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	// burstLoad is a multiple of the capacity.
	burstLoad     = 5
	burstDuration = 3 * second
	// backlogDelay is the time from the start of the burst until all owners have a backlog and
	// most earlier tasks have ended.
	backlogDelay = second / 2
)

// measureOverload measures a burst of five times the capacity for 3 s, after the usual load.
func measureOverload(c Config, p Policy) []Row {
	s := scenario{
		phases:     []phase{{duration: warmUp, load: usualLoad}, {duration: burstDuration, load: burstLoad}},
		windowFrom: warmUp,
		windowTo:   warmUp + burstDuration,
		sharesFrom: warmUp + backlogDelay,
		drain:      120 * second,
	}
	urgent, urgentInTime := 0, 0
	useful, possible := 0.0, 0.0
	minBacklogged, minOverall := math.Inf(1), math.Inf(1)
	for _, m := range runSeeds(c, p, s) {
		possible += m.capacity * float64(burstDuration)
		for _, j := range m.jobs {
			if j.metDeadline() {
				useful += float64(j.workInWindow)
			}
			if m.inWindow(j.arrivedAt) && j.profile.Rank == 0 {
				urgent++
				if j.metDeadline() {
					urgentInTime++
				}
			}
		}
		minBacklogged = min(minBacklogged, m.minShareRatio(m.shareSlotTime))
		minOverall = min(minOverall, m.minShareRatio(m.windowSlotTime))
	}
	return []Row{
		{Metric: "overload: urgent jobs in deadline", Target: ">= 0.995", Limit: 0.995, AtLeast: true, Values: []float64{float64(urgentInTime) / float64(urgent)}},
		{Metric: "overload: goodput / capacity", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{useful / possible}},
		{Metric: "overload: least slot time / share, first 0.5 s included", Target: "", Limit: 0, AtLeast: true, Values: []float64{minOverall}},
		{Metric: "overload: least slot time / share of a backlogged owner", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{minBacklogged}},
	}
}

// minShareRatio returns the smallest ratio, over all owners, of an owner's slot time to its fair
// share. It assumes that every owner has a backlog, as at five times the capacity.
func (m *simulation) minShareRatio(slotTime map[owner.ID]micros) float64 {
	all := micros(0)
	for _, o := range m.scenario.workload.Owners {
		all += slotTime[o.ID]
	}
	shares := 0
	for _, o := range m.scenario.workload.Owners {
		shares += int(o.Share)
	}
	minRatio := math.Inf(1)
	for _, o := range m.scenario.workload.Owners {
		fair := float64(all) * float64(o.Share) / float64(shares)
		minRatio = min(minRatio, float64(slotTime[o.ID])/fair)
	}
	return minRatio
}

package measure

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	burstLoad = 5
	burstSpan = 3 * second
	// backlogged is the time from the start of the burst until all owners have a backlog and
	// most earlier tasks have ended.
	backlogged = second / 2
)

// measureOverload measures a burst of five times the capacity for 3 s, after the usual load.
func measureOverload(c Config, p Policy) []Row {
	s := scenario{
		phases:     []phase{{span: warmUp, load: usualLoad}, {span: burstSpan, load: burstLoad}},
		windowFrom: warmUp,
		windowTo:   warmUp + burstSpan,
		sharesFrom: warmUp + backlogged,
		drain:      120 * second,
	}
	urgent, urgentInTime := 0, 0
	useful, possible := 0.0, 0.0
	leastShare, leastOverall := math.Inf(1), math.Inf(1)
	for _, m := range runSeeds(c, p, s) {
		possible += m.capacity * float64(burstSpan)
		for _, j := range m.jobs {
			if j.inTime() {
				useful += float64(j.workInWindow)
			}
			if m.inWindow(j.arrived) && j.profile.Rank == 0 {
				urgent++
				if j.inTime() {
					urgentInTime++
				}
			}
		}
		leastShare = min(leastShare, m.leastShare(m.slotTime))
		leastOverall = min(leastOverall, m.leastShare(m.burstTime))
	}
	return []Row{
		{Metric: "overload: urgent jobs in deadline", Target: ">= 0.995", Limit: 0.995, AtLeast: true, Values: []float64{float64(urgentInTime) / float64(urgent)}},
		{Metric: "overload: goodput / capacity", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{useful / possible}},
		{Metric: "overload: least slot time / share, first 0.5 s included", Target: "", Limit: 0, AtLeast: true, Values: []float64{leastOverall}},
		{Metric: "overload: least slot time / share of a backlogged owner", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{leastShare}},
	}
}

// leastShare returns the smallest ratio, over all owners, of an owner's slot time to its fair
// share. It assumes that every owner has a backlog, as at five times the capacity.
func (m *simulation) leastShare(slotTime map[owner.ID]micros) float64 {
	all := micros(0)
	for _, o := range m.scenario.workload.Owners {
		all += slotTime[o.ID]
	}
	shares := 0
	for _, o := range m.scenario.workload.Owners {
		shares += int(o.Share)
	}
	least := math.Inf(1)
	for _, o := range m.scenario.workload.Owners {
		fair := float64(all) * float64(o.Share) / float64(shares)
		least = min(least, float64(slotTime[o.ID])/fair)
	}
	return least
}

package measure

import "math"

const (
	burstLoad = 5
	burstSpan = 3 * second
)

// measureOverload lets five times the capacity arrive for 3 s, after a usual load.
func measureOverload(c Config, p Policy) []Row {
	s := scenario{
		phases:     []phase{{span: warmUp, load: usualLoad}, {span: burstSpan, load: burstLoad}},
		windowFrom: warmUp,
		windowTo:   warmUp + burstSpan,
		drain:      120 * second,
	}
	urgent, urgentInTime := 0, 0
	useful, possible := 0.0, 0.0
	leastShare := math.Inf(1)
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
		leastShare = min(leastShare, m.leastShare())
	}
	return []Row{
		{Metric: "overload: urgent jobs in deadline", Target: ">= 0.995", Limit: 0.995, AtLeast: true, Values: []float64{float64(urgentInTime) / float64(urgent)}},
		{Metric: "overload: goodput / capacity", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{useful / possible}},
		{Metric: "overload: least slot time / share of an owner", Target: ">= 0.95", Limit: 0.95, AtLeast: true, Values: []float64{leastShare}},
	}
}

// leastShare returns the least part of its share that an owner got of the slot time in
// the window. At five times the capacity every owner has backlog.
func (m *simulation) leastShare() float64 {
	shares := 0
	for _, o := range m.scenario.workload.Owners {
		shares += int(o.Share)
	}
	least := math.Inf(1)
	for _, o := range m.scenario.workload.Owners {
		fair := float64(m.busyTime) * float64(o.Share) / float64(shares)
		least = min(least, float64(m.slotTime[o.ID])/fair)
	}
	return least
}

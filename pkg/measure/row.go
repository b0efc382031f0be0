package measure

// Row holds the values of one metric for each policy.
type Row struct {
	Metric string
	// Target describes the target, such as "<= 0.02"; it is empty for metrics without one.
	Target string
	// Limit is the numeric target. A value misses it if above or, with AtLeast, below.
	Limit   float64
	AtLeast bool
	// Values holds one value per policy, in the order of Report.Policies. NaN means that the
	// metric doesn't apply, because the runs gave no figures for it; it misses the target.
	Values []float64
	// BelowBaselines also requires a value below those of the baselines.
	BelowBaselines bool
}

// Met reports whether sequoiacart, the first policy, meets the target.
func (r Row) Met() bool {
	own := r.Values[0]
	if r.AtLeast {
		return own >= r.Limit
	}
	if r.BelowBaselines {
		for _, v := range r.Values[1:] {
			if own >= v {
				return false
			}
		}
	}
	return own <= r.Limit
}

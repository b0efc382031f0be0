package measure

// Row is one metric for the three policies.
type Row struct {
	Metric string
	// Target is the stated target, with its sense.
	Target string
	// Limit is the target as a number; a value above it misses, or below it if AtLeast.
	Limit   float64
	AtLeast bool
	// Values are in the order of Report.Policies. NaN means that the metric does not apply.
	Values []float64
	// BelowBaselines asks for a value below those of the baselines as well.
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

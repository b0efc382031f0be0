package accounting

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	// relayedSlack is how much newer relayed figures must be to replace the stored ones. The
	// transit time isn't part of the age, so stored figures look newer when a peer relays
	// them back, by up to the deadline of a heartbeat.
	relayedSlack = clock.Second
	// maxDataCentres limits the number of data centres, since peers send their names.
	maxDataCentres = 64
)

// DataCentreLedger keeps the latest figures of the other data centres. The figures of an
// unreachable data centre are kept, with a growing age.
type DataCentreLedger struct {
	dataCentres map[datacentre.ID]map[owner.ID]dataCentreFigures
}

type dataCentreFigures struct {
	figures
	// direct reports whether a VM of that data centre sent the figures, not a relaying peer.
	direct bool
}

// NewDataCentreLedger returns an empty ledger.
func NewDataCentreLedger() *DataCentreLedger {
	return &DataCentreLedger{dataCentres: make(map[datacentre.ID]map[owner.ID]dataCentreFigures)}
}

// Record stores figures of another data centre, sent by one of its VMs (direct) or relayed by
// another peer. It ignores figures that are not newer than the stored ones, by more than
// relayedSlack if relayed, and figures of data centres beyond maxDataCentres.
func (l *DataCentreLedger) Record(now clock.Millis, row DataCentreUsage, direct bool) {
	byOwner, ok := l.dataCentres[row.DataCentre]
	if !ok {
		if len(l.dataCentres) >= maxDataCentres {
			return
		}
		byOwner = make(map[owner.ID]dataCentreFigures)
		l.dataCentres[row.DataCentre] = byOwner
	}
	asOf := now - row.Age
	slack := relayedSlack
	if direct {
		slack = 0
	}
	if stored, ok := byOwner[row.Usage.Owner]; ok && asOf <= stored.asOf+slack {
		return
	}
	byOwner[row.Usage.Owner] = dataCentreFigures{figures: figures{usage: row.Usage, asOf: asOf}, direct: direct}
}

// Retain removes the figures of owners for which isKnown returns false.
func (l *DataCentreLedger) Retain(isKnown func(owner.ID) bool) {
	for _, owners := range l.dataCentres {
		maps.DeleteFunc(owners, func(o owner.ID, _ dataCentreFigures) bool { return !isKnown(o) })
	}
}

// DirectUsage returns the figures that this VM received directly from VMs of the other data
// centres and that no newer relayed figures have replaced, ordered by data centre and owner.
func (l *DataCentreLedger) DirectUsage(now clock.Millis) []DataCentreUsage {
	var rows []DataCentreUsage
	for dc, owners := range l.dataCentres {
		for _, f := range owners {
			if f.direct {
				rows = append(rows, DataCentreUsage{DataCentre: dc, Usage: f.usage, Age: now - f.asOf})
			}
		}
	}
	slices.SortFunc(rows, func(a, b DataCentreUsage) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Usage.Owner, b.Usage.Owner))
	})
	return rows
}

// AddTo adds all data centres to the report of data centre self, and the figures of the other
// data centres to the sums of the owners.
func (l *DataCentreLedger) AddTo(r *Report, now clock.Millis, self datacentre.ID) {
	r.DataCentres = []DataCentreReport{ownDataCentre(r, self)}
	for dc, byOwner := range l.dataCentres {
		if dc != self {
			r.DataCentres = append(r.DataCentres, addDataCentre(r, now, dc, byOwner))
		}
	}
	slices.SortFunc(r.DataCentres, func(a, b DataCentreReport) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// ownDataCentre returns the figures of data centre self, which are the sums of the owners before
// those of other data centres are added.
func ownDataCentre(r *Report, self datacentre.ID) DataCentreReport {
	own := DataCentreReport{DataCentre: self}
	for _, o := range r.Owners {
		own.Usage = append(own.Usage, o.Usage)
	}
	for _, v := range r.VMs {
		own.Age = max(own.Age, v.Age)
	}
	return own
}

// addDataCentre adds the figures of another data centre to the sums of the owners and returns its
// report.
func addDataCentre(r *Report, now clock.Millis, dc datacentre.ID, byOwner map[owner.ID]dataCentreFigures) DataCentreReport {
	report := DataCentreReport{DataCentre: dc}
	for i, o := range r.Owners {
		f, ok := byOwner[o.Owner]
		if !ok {
			continue
		}
		report.Usage = append(report.Usage, f.usage)
		report.Age = max(report.Age, now-f.asOf)
		r.Owners[i].Usage = add(o.Usage, f.usage)
	}
	return report
}

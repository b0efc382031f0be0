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
	// passedOnSlack is how much newer figures must be that a peer passes on. The time under
	// way makes the figures at hand look newer when they come back, by up to the deadline
	// of a heartbeat.
	passedOnSlack = clock.Second
	// maxZones bounds the data centres, since their names come from peers.
	maxZones = 64
)

// Zones keeps the latest figures of the other data centres. Those of a data centre that is
// out of reach stay and grow old.
type Zones struct {
	zones map[datacentre.ID]map[owner.ID]zoneFigures
}

type zoneFigures struct {
	figures
	// direct says that a VM of the data centre itself told them.
	direct bool
}

// NewZones returns zones without figures.
func NewZones() *Zones {
	return &Zones{zones: make(map[datacentre.ID]map[owner.ID]zoneFigures)}
}

// Told takes figures of another data centre, from one of its VMs or passed on by a peer.
// What is older than the figures at hand changes nothing.
func (z *Zones) Told(now clock.Millis, u ZoneUsage, direct bool) {
	known, ok := z.zones[u.DataCentre]
	if !ok {
		if len(z.zones) >= maxZones {
			return
		}
		known = make(map[owner.ID]zoneFigures)
		z.zones[u.DataCentre] = known
	}
	at := now - u.Age
	slack := passedOnSlack
	if direct {
		slack = 0
	}
	if held, ok := known[u.Usage.Owner]; ok && at <= held.at+slack {
		return
	}
	known[u.Usage.Owner] = zoneFigures{figures: figures{usage: u.Usage, at: at}, direct: direct}
}

// Keep drops the figures of owners that are no longer known.
func (z *Zones) Keep(known func(owner.ID) bool) {
	for _, owners := range z.zones {
		maps.DeleteFunc(owners, func(o owner.ID, _ zoneFigures) bool { return !known(o) })
	}
}

// Direct returns the figures that VMs of the other data centres told this VM itself and
// nobody has newer ones of, in a fixed order.
func (z *Zones) Direct(now clock.Millis) []ZoneUsage {
	var rows []ZoneUsage
	for dc, owners := range z.zones {
		for _, f := range owners {
			if f.direct {
				rows = append(rows, ZoneUsage{DataCentre: dc, Usage: f.usage, Age: now - f.at})
			}
		}
	}
	slices.SortFunc(rows, func(a, b ZoneUsage) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Usage.Owner, b.Usage.Owner))
	})
	return rows
}

// AddTo adds the data centres to the report of one of them, and their figures to the sums
// of the owners.
func (z *Zones) AddTo(r *Report, now clock.Millis, self datacentre.ID) {
	r.Zones = []ZoneReport{ownZone(r, self)}
	for dc, known := range z.zones {
		if dc != self {
			r.Zones = append(r.Zones, addZone(r, now, dc, known))
		}
	}
	slices.SortFunc(r.Zones, func(a, b ZoneReport) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

func ownZone(r *Report, self datacentre.ID) ZoneReport {
	own := ZoneReport{DataCentre: self}
	for _, o := range r.Owners {
		own.Usage = append(own.Usage, o.Usage)
	}
	for _, v := range r.VMs {
		own.Age = max(own.Age, v.Age)
	}
	return own
}

func addZone(r *Report, now clock.Millis, dc datacentre.ID, known map[owner.ID]zoneFigures) ZoneReport {
	zone := ZoneReport{DataCentre: dc}
	for i, o := range r.Owners {
		f, ok := known[o.Owner]
		if !ok {
			continue
		}
		zone.Usage = append(zone.Usage, f.usage)
		zone.Age = max(zone.Age, now-f.at)
		r.Owners[i].Usage = add(o.Usage, f.usage)
	}
	return zone
}

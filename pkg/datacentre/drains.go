package datacentre

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// listLag is how far the platform's list may be behind: an endpoint that it lists as
	// live for so long after the last sign of leaving has come back.
	listLag = clock.Minute
	// spreadFor is how long news goes with every heartbeat; at 400 ms between heartbeats
	// it may be lost 20 times.
	spreadFor = 8 * clock.Second
	// repeatEvery is how often all draining endpoints are told, for VMs that are new.
	repeatEvery = 2 * clock.Second
)

// DrainReport is what one VM knows of an endpoint that leaves or has come back.
type DrainReport struct {
	Endpoint EndpointID
	Leaving  bool
	// Age is how long ago the sign was seen; VMs do not share a clock.
	Age clock.Millis
}

// Drains knows the endpoints that get no new work because they leave.
type Drains struct {
	signs    map[EndpointID]*drainSign
	repeatAt clock.Millis
}

type drainSign struct {
	leaving bool
	// at is when the sign was seen, here or at another VM.
	at clock.Millis
	// absent says that the platform's list has caught up with the leaving.
	absent bool
}

// NewDrains returns a register without endpoints.
func NewDrains() *Drains {
	return &Drains{signs: make(map[EndpointID]*drainSign)}
}

// Draining reports whether an endpoint gets no new work.
func (d *Drains) Draining(e EndpointID) bool {
	s, ok := d.signs[e]
	return ok && s.leaving
}

// RecordLeaving notes that an endpoint answered that it leaves.
func (d *Drains) RecordLeaving(now clock.Millis, e EndpointID) {
	s, ok := d.signs[e]
	if !ok || !s.leaving {
		d.signs[e] = &drainSign{leaving: true, at: now}
		return
	}
	s.at = now
}

// RecordList takes over the platform's list. The list lags, so an endpoint that it still
// shows as live is not thereby back: the list must have shown the leaving first, or must
// have had time to.
func (d *Drains) RecordList(now clock.Millis, live, leaving []EndpointID) {
	for _, e := range leaving {
		if !d.Draining(e) {
			d.RecordLeaving(now, e)
		}
		d.signs[e].absent = true
	}
	for e, s := range d.signs {
		if s.leaving && !slices.Contains(live, e) {
			s.absent = true
		}
	}
	for _, e := range live {
		s, ok := d.signs[e]
		if ok && s.leaving && (s.absent || now-s.at >= listLag) {
			d.signs[e] = &drainSign{at: now}
		}
	}
}

// Merge takes over the signs that a peer saw and reports whether they change which
// endpoints get work; the later sign of an endpoint holds. The
// same news again does not renew a sign, or else two VMs would renew it by turns.
func (d *Drains) Merge(now clock.Millis, reports []DrainReport) bool {
	changed := false
	for _, r := range reports {
		at := now - r.Age
		s, ok := d.signs[r.Endpoint]
		if ok && (s.at >= at || s.leaving == r.Leaving) {
			continue
		}
		changed = changed || r.Leaving || ok
		d.signs[r.Endpoint] = &drainSign{leaving: r.Leaving, at: at}
	}
	return changed
}

// Reports returns what to tell peers now: fresh signs always, all that drain from time to
// time.
func (d *Drains) Reports(now clock.Millis) []DrainReport {
	all := now >= d.repeatAt
	if all {
		d.repeatAt = now + repeatEvery
	}
	var reports []DrainReport
	for e, s := range d.signs {
		fresh := now-s.at <= spreadFor
		if fresh || s.leaving && all {
			reports = append(reports, DrainReport{Endpoint: e, Leaving: s.leaving, Age: now - s.at})
		}
		if !s.leaving && now-s.at > listLag {
			delete(d.signs, e)
		}
	}
	slices.SortFunc(reports, func(a, b DrainReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return reports
}

// Remove drops what is known of an endpoint of another data centre, whose list this VM
// does not read.
func (d *Drains) Remove(e EndpointID) {
	delete(d.signs, e)
}

package datacentre

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// listLag is how far the platform's list may be behind: an endpoint that it lists as
	// live this long after it was last seen leaving has come back.
	listLag = clock.Minute
	// gossipDuration is how long a change is sent with every heartbeat; at 400 ms between
	// heartbeats it may be lost 20 times.
	gossipDuration = 8 * clock.Second
	// repeatInterval is how often all draining endpoints are sent, for new VMs.
	repeatInterval = 2 * clock.Second
)

// DrainReport is the report of one VM on an endpoint that leaves or has come back.
type DrainReport struct {
	Endpoint EndpointID
	Leaving  bool
	// Age is how long ago the change was observed; VMs do not share a clock.
	Age clock.Millis
}

// Drains tracks the endpoints that get no new work because they leave.
type Drains struct {
	records  map[EndpointID]*drainRecord
	repeatAt clock.Millis
}

type drainRecord struct {
	leaving bool
	// at is when the change was observed, here or at another VM.
	at clock.Millis
	// shownLeaving means that the platform's list has shown the endpoint as leaving or has
	// omitted it.
	shownLeaving bool
}

// NewDrains returns Drains without endpoints.
func NewDrains() *Drains {
	return &Drains{records: make(map[EndpointID]*drainRecord)}
}

// Draining reports whether an endpoint gets no new work.
func (d *Drains) Draining(e EndpointID) bool {
	record, ok := d.records[e]
	return ok && record.leaving
}

// RecordLeaving records that an endpoint answered that it leaves.
func (d *Drains) RecordLeaving(now clock.Millis, e EndpointID) {
	record, ok := d.records[e]
	if !ok || !record.leaving {
		d.records[e] = &drainRecord{leaving: true, at: now}
		return
	}
	record.at = now
}

// RecordList applies the platform's list. The list lags, so an endpoint that it still shows
// as live has not necessarily come back: the list must have shown it as leaving first, or
// must have had time to.
func (d *Drains) RecordList(now clock.Millis, live, leaving []EndpointID) {
	for _, e := range leaving {
		if !d.Draining(e) {
			d.RecordLeaving(now, e)
		}
		d.records[e].shownLeaving = true
	}
	for e, record := range d.records {
		if record.leaving && !slices.Contains(live, e) {
			record.shownLeaving = true
		}
	}
	for _, e := range live {
		record, ok := d.records[e]
		if ok && record.leaving && (record.shownLeaving || now-record.at >= listLag) {
			d.records[e] = &drainRecord{at: now}
		}
	}
}

// Merge applies the reports of a peer and reports whether they change which endpoints get
// work; the later record of an endpoint wins. A repeated report does not renew a record, or
// else two VMs would renew it alternately.
func (d *Drains) Merge(now clock.Millis, reports []DrainReport) bool {
	changed := false
	for _, r := range reports {
		at := now - r.Age
		record, ok := d.records[r.Endpoint]
		if ok && (record.at >= at || record.leaving == r.Leaving) {
			continue
		}
		changed = changed || r.Leaving || ok
		d.records[r.Endpoint] = &drainRecord{leaving: r.Leaving, at: at}
	}
	return changed
}

// Reports returns the reports to send to peers now: recent changes always, and all draining
// endpoints at intervals.
func (d *Drains) Reports(now clock.Millis) []DrainReport {
	all := now >= d.repeatAt
	if all {
		d.repeatAt = now + repeatInterval
	}
	var reports []DrainReport
	for e, record := range d.records {
		fresh := now-record.at <= gossipDuration
		if fresh || record.leaving && all {
			reports = append(reports, DrainReport{Endpoint: e, Leaving: record.leaving, Age: now - record.at})
		}
		if !record.leaving && now-record.at > listLag {
			delete(d.records, e)
		}
	}
	slices.SortFunc(reports, func(a, b DrainReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return reports
}

// Remove deletes the record of an endpoint of another data centre, whose list this VM
// does not read.
func (d *Drains) Remove(e EndpointID) {
	delete(d.records, e)
}

// Package link describes links to other entry VMs and data centres.
package link

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Delay is the time that a message takes one way, in microseconds.
type Delay int64

// Millis rounds the delay up to milliseconds.
func (d Delay) Millis() clock.Millis {
	return clock.Millis((d + 999) / 1000)
}

// Target is the remote side of a link: Peer or DataCentre.
type Target interface{ isTarget() }

// Peer is the target of a link to one entry VM.
type Peer struct{ Incarnation vm.Incarnation }

// DataCentre is the target of a link to a data centre, over any of its delegates.
type DataCentre struct{ ID datacentre.ID }

func (Peer) isTarget()       {}
func (DataCentre) isTarget() {}

// State says whether calls over a link are worth making.
type State int

// The states. A link without a call so far is reachable, so that calls are made.
const (
	Reachable State = iota
	Suspected
	Unreachable
)

// delayWeight is the share of a new measurement in the delay: 1/8, as TCP smooths it.
const delayWeight = 8

// Link holds when calls to a peer or a data centre were last answered. Received heartbeats do
// not count for its state, since a peer may send heartbeats and still not answer calls.
type Link struct {
	Target Target
	Delay  Delay
	// LastAnswered is when a call was last answered; zero means never.
	LastAnswered clock.Millis
	// lastConfirmed is when a delegate last reported that it reaches the data centre.
	lastConfirmed clock.Millis
	// lastHeartbeat is when a heartbeat was last received from the target.
	lastHeartbeat clock.Millis
	// firstCallAt is when the first call began.
	firstCallAt clock.Millis
}

// RecordCall records the start of a call.
func (l *Link) RecordCall(now clock.Millis) {
	if l.firstCallAt == 0 {
		l.firstCallAt = now
	}
}

// RecordAnswer records an answered call and its one-way delay.
func (l *Link) RecordAnswer(now clock.Millis, measured Delay) {
	l.RecordCall(now)
	if l.LastAnswered == 0 {
		l.Delay = measured
	}
	l.Delay += (measured - l.Delay) / delayWeight
	l.LastAnswered = now
}

// RecordConfirmation records that a delegate reaches the data centre of the link.
func (l *Link) RecordConfirmation(now clock.Millis) {
	l.lastConfirmed = now
}

// State returns the state at a point in time.
func (l *Link) State(now clock.Millis) State {
	if l.firstCallAt == 0 {
		return Reachable
	}
	sinceContact := now - max(l.LastAnswered, l.lastConfirmed, l.firstCallAt)
	switch {
	case sinceContact >= vm.RemoveAfter:
		return Unreachable
	case sinceContact >= vm.SuspectAfter:
		return Suspected
	default:
		return Reachable
	}
}

// RecordHeartbeat records a heartbeat received from the target.
func (l *Link) RecordHeartbeat(now clock.Millis) {
	l.lastHeartbeat = now
}

// Bidirectional reports whether this VM itself gets answers over the link and receives
// heartbeats from its target. A delegate confirms only such links, or else two delegates would
// confirm each other's outdated reports.
func (l *Link) Bidirectional(now clock.Millis) bool {
	last := min(l.LastAnswered, l.lastHeartbeat)
	return last != 0 && now-last < vm.SuspectAfter
}

// shiftTimes moves the recorded times forward by a pause of this VM.
func (l *Link) shiftTimes(pause clock.Millis) {
	for _, at := range []*clock.Millis{&l.firstCallAt, &l.LastAnswered, &l.lastConfirmed, &l.lastHeartbeat} {
		if *at != 0 {
			*at += pause
		}
	}
}

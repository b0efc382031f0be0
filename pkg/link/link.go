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

// Target is what a link leads to: Peer or DataCentre.
type Target interface{ isEnd() }

// Peer is the end of a link to one entry VM.
type Peer struct{ Incarnation vm.Incarnation }

// DataCentre is the end of a link to a data centre, over whichever delegates.
type DataCentre struct{ ID datacentre.ID }

func (Peer) isEnd()       {}
func (DataCentre) isEnd() {}

// State says whether calls over a link are worth making.
type State int

// The states. A link that was never tried is reachable, so that it is tried.
const (
	Reachable State = iota
	Suspected
	Unreachable
)

// delayWeight is the share of a new measurement in the delay: 1/8, as TCP smooths it.
const delayWeight = 8

// Link is the way to a peer or a data centre. Only answered calls count for its state,
// since a peer may send heartbeats and still hang on calls.
type Link struct {
	Target Target
	Delay  Delay
	// LastAnswered is when a call was last answered; zero says never.
	LastAnswered clock.Millis
	// lastVouched is when a delegate last said that it reaches the data centre.
	lastVouched clock.Millis
	// lastHeard is when a heartbeat last came the other way.
	lastHeard clock.Millis
	// firstTried is when the first call began.
	firstTried clock.Millis
}

// RecordCall notes that a call begins.
func (l *Link) RecordCall(now clock.Millis) {
	if l.firstTried == 0 {
		l.firstTried = now
	}
}

// RecordAnswer notes a call that was answered, and its delay one way.
func (l *Link) RecordAnswer(now clock.Millis, measured Delay) {
	l.RecordCall(now)
	if l.LastAnswered == 0 {
		l.Delay = measured
	}
	l.Delay += (measured - l.Delay) / delayWeight
	l.LastAnswered = now
}

// RecordConfirmation notes that a delegate reaches the data centre at the end of the link.
func (l *Link) RecordConfirmation(now clock.Millis) {
	l.lastVouched = now
}

// State returns the state at a point in time.
func (l *Link) State(now clock.Millis) State {
	if l.firstTried == 0 {
		return Reachable
	}
	silence := now - max(l.LastAnswered, l.lastVouched, l.firstTried)
	switch {
	case silence >= vm.RemoveAfter:
		return Unreachable
	case silence >= vm.SuspectAfter:
		return Suspected
	default:
		return Reachable
	}
}

// RecordHeartbeat notes a heartbeat that came the other way.
func (l *Link) RecordHeartbeat(now clock.Millis) {
	l.lastHeard = now
}

// Bidirectional reports whether this VM itself is answered over the link and hears from its
// end. A delegate passes on only what it has so, or else two delegates would confirm each
// other's old news.
func (l *Link) Bidirectional(now clock.Millis) bool {
	last := min(l.LastAnswered, l.lastHeard)
	return last != 0 && now-last < vm.SuspectAfter
}

// excuse moves the evidence over a pause of this VM.
func (l *Link) excuse(pause clock.Millis) {
	for _, at := range []*clock.Millis{&l.firstTried, &l.LastAnswered, &l.lastVouched, &l.lastHeard} {
		if *at != 0 {
			*at += pause
		}
	}
}

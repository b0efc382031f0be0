// Package intake bounds what the callers of a VM take of its memory and its descriptors before their requests are
// jobs. It does no I/O: the server reports what its connections do, and cuts those that it is told to cut.
package intake

import (
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Config holds the bounds of an intake.
type Config struct {
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// MaxBodyBytes bounds the buffers of all bodies that are being read.
	MaxBodyBytes link.Bytes
	// MinBodyRate is the rate at which a body has to arrive to be kept when there is no room for another.
	MinBodyRate link.Rate
}

const (
	// rateWindow is how long a body may be slower than MinBodyRate, at its beginning and in between.
	rateWindow = clock.Second
	// smallBodyBytes is the size up to which bodies may use all of MaxBodyBytes, and largeBodyShare the part that
	// longer ones may use: most jobs are small, and a crowd of large ones must not keep them out.
	smallBodyBytes = link.Bytes(16 << 10)
	largeBodyShare = 0.75
)

// Intake is the state of the connections of a VM's callers. It is not safe for concurrent use.
type Intake struct {
	config Config
	// connections are in the order in which they were opened.
	connections []*Connection
	// buffered is the size of the buffers of all bodies.
	buffered link.Bytes
	// sealed means that no body is read any more.
	sealed bool
}

// Connection is an open connection of a caller.
type Connection struct{ phase phase }

// phase is what a connection is doing. It is one of the types below.
type phase interface{ phase() }

// waiting means that the caller has sent no complete headers of a request since then.
type waiting struct{ since clock.Millis }

// reading means that the body of a request is arriving.
type reading struct {
	buffer link.Bytes
	// paidUntil is until when the bytes that have arrived allow the body to take, at MinBodyRate.
	paidUntil clock.Millis
}

// running means that a request is being answered.
type running struct{}

// leaving means that a body was given up since then, for another or with all. The connection is open until its caller has been
// told so.
type leaving struct{ since clock.Millis }

// cut means that the connection was given up for another, and is being closed.
type cut struct{}

func (waiting) phase()  {}
func (*reading) phase() {}
func (running) phase()  {}
func (leaving) phase()  {}
func (cut) phase()      {}

// New returns an intake without connections.
func New(c Config) *Intake { return &Intake{config: c} }

// Open adds a connection. If there are too many, another one is cut that has waited longest, whose body is slow, or
// that is leaving. Both are nil if there is none, and the new connection has to be closed.
func (i *Intake) Open(now clock.Millis) (opened, given *Connection) {
	if len(i.connections) >= i.config.MaxConnections {
		if given = i.slowest(nil, now); given == nil {
			given = longest[waiting](i)
		}
		if given == nil {
			given = longest[leaving](i)
		}
		if given == nil {
			return nil, nil
		}
		// It counts no longer, since its descriptor and its buffer are about to be free.
		i.Close(given)
		given.phase = cut{}
	}
	opened = &Connection{phase: waiting{since: now}}
	i.connections = append(i.connections, opened)
	return opened, given
}

// Close removes a connection.
func (i *Intake) Close(c *Connection) {
	i.release(c)
	for n, other := range i.connections {
		if other == c {
			i.connections = append(i.connections[:n], i.connections[n+1:]...)
			return
		}
	}
}

// Begin records that the headers of a request have arrived. It reports false if the connection was cut.
func (i *Intake) Begin(c *Connection) bool { return i.enter(c, running{}) }

// End records that a request has been answered.
func (i *Intake) End(c *Connection, now clock.Millis) { i.enter(c, waiting{since: now}) }

// BeginBody records that the body of a request is going to be read.
func (i *Intake) BeginBody(c *Connection, now clock.Millis) bool {
	if i.sealed {
		i.enter(c, leaving{since: now})
		return false
	}
	return i.enter(c, &reading{paidUntil: now + rateWindow})
}

// Seal gives up all bodies that are being read, and those that would be read later.
func (i *Intake) Seal(now clock.Millis) {
	i.sealed = true
	for _, c := range i.connections {
		if i.IsReading(c) {
			i.enter(c, leaving{since: now})
		}
	}
}

// EndBody records that a body has been read and decoded, or given up, and that its buffer is free. It reports false if
// the connection was cut before.
func (i *Intake) EndBody(c *Connection) bool { return i.enter(c, running{}) }

// Grow makes room for a buffer of the given size. If there is too little, bodies that are slow are given up, the slowest
// first. It reports false if that does not help, or if the connection was cut.
func (i *Intake) Grow(c *Connection, size link.Bytes, now clock.Millis) (given []*Connection, ok bool) {
	body, isReading := c.phase.(*reading)
	if !isReading {
		return nil, false
	}
	limit := i.config.MaxBodyBytes
	if size > smallBodyBytes {
		limit = link.Bytes(float64(limit) * largeBodyShare)
	}
	for i.buffered-body.buffer+size > limit {
		slow := i.slowest(c, now)
		if slow == nil {
			return given, false
		}
		i.enter(slow, leaving{since: now})
		given = append(given, slow)
	}
	i.buffered += size - body.buffer
	body.buffer = size
	return given, true
}

// Received records that bytes of a body have arrived.
func (i *Intake) Received(c *Connection, n link.Bytes, now clock.Millis) {
	if body, ok := c.phase.(*reading); ok {
		body.paidUntil = min(max(body.paidUntil, now-rateWindow)+i.config.MinBodyRate.TransferTime(n), now+rateWindow)
	}
}

// IsReading reports whether the body of a request may still be read.
func (i *Intake) IsReading(c *Connection) bool {
	_, ok := c.phase.(*reading)
	return ok
}

// Connections returns the number of open connections, and Buffered the size of the buffers of all bodies.
func (i *Intake) Connections() int { return len(i.connections) }

// Buffered returns the size of the buffers of all bodies that are being read.
func (i *Intake) Buffered() link.Bytes { return i.buffered }

// enter changes the phase of a connection unless it was given up.
func (i *Intake) enter(c *Connection, p phase) bool {
	switch c.phase.(type) {
	case leaving, cut:
		return false
	}
	i.release(c)
	c.phase = p
	return true
}

func (i *Intake) release(c *Connection) {
	if body, ok := c.phase.(*reading); ok {
		i.buffered -= body.buffer
		body.buffer = 0
	}
}

// slowest returns the connection other than one whose body has been slow for longest, or nil if none is slow.
func (i *Intake) slowest(but *Connection, now clock.Millis) *Connection {
	var found *Connection
	paidUntil := now
	for _, c := range i.connections {
		if body, ok := c.phase.(*reading); ok && c != but && body.paidUntil < paidUntil {
			found, paidUntil = c, body.paidUntil
		}
	}
	return found
}

// lasting is a phase that began at a known time.
type lasting interface {
	phase
	begun() clock.Millis
}

func (w waiting) begun() clock.Millis { return w.since }
func (l leaving) begun() clock.Millis { return l.since }

// longest returns the connection that has been in a phase for longest, or nil.
func longest[P lasting](i *Intake) *Connection {
	var found *Connection
	var since clock.Millis
	for _, c := range i.connections {
		if p, ok := c.phase.(P); ok && (found == nil || p.begun() < since) {
			found, since = c, p.begun()
		}
	}
	return found
}

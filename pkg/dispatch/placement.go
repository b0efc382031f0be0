package dispatch

import (
	"math"
	"math/bits"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// Four buckets per octave of speed: endpoints whose speeds differ by at most 19 % share a
	// bucket and are used in turn.
	placementBuckets = 64
	probationBucket  = 0
	suspectBucket    = placementBuckets - 1
)

// placement orders the endpoints with free slots by speed. Each bucket is a ring, and a
// bit mask finds the first non-empty one, so that a choice takes constant time for any
// number of endpoints.
type placement struct {
	buckets  [placementBuckets]*endpoint
	nonEmpty uint64
	free     datacentre.Slots
	total    datacentre.Slots
}

// fastest returns the endpoint for the next task, or nil if no slot is free.
func (p *placement) fastest() *endpoint {
	if p.nonEmpty == 0 {
		return nil
	}
	return p.buckets[bits.TrailingZeros64(p.nonEmpty)]
}

// rotate makes the next endpoint of the same bucket the first one.
func (p *placement) rotate(ep *endpoint) {
	if ep.bucket != absent {
		p.buckets[ep.bucket] = ep.next
	}
}

func bucketOf(ep *endpoint) int {
	switch ep.health {
	case suspect:
		return suspectBucket
	case probation:
		return probationBucket
	case healthy, ejected:
	}
	i := placementBuckets/2 + int(math.Floor(bucketsPerOctave*ep.logSlowness))
	return min(max(i, probationBucket+1), suspectBucket-1)
}

// beginChange subtracts an endpoint from the sums before a change to it.
func (p *placement) beginChange(ep *endpoint) {
	p.free -= ep.free()
	p.total -= ep.capacity()
}

// endChange adds an endpoint to the sums after a change and moves it to its new bucket.
func (p *placement) endChange(ep *endpoint) {
	p.free += ep.free()
	p.total += ep.capacity()
	p.relink(ep)
}

func (p *placement) relink(ep *endpoint) {
	bucket := absent
	if ep.free() > 0 {
		bucket = bucketOf(ep)
	}
	if bucket == ep.bucket {
		return
	}
	if ep.bucket != absent {
		p.unlink(ep)
	}
	if bucket != absent {
		p.link(ep, bucket)
	}
}

func (p *placement) link(ep *endpoint, bucket int) {
	ep.bucket = bucket
	first := p.buckets[bucket]
	if first == nil {
		ep.prev, ep.next = ep, ep
		p.buckets[bucket] = ep
		p.nonEmpty |= 1 << bucket
		return
	}
	ep.prev, ep.next = first.prev, first
	first.prev.next = ep
	first.prev = ep
}

func (p *placement) unlink(ep *endpoint) {
	b := ep.bucket
	ep.bucket = absent
	if ep.next == ep {
		p.buckets[b] = nil
		p.nonEmpty &^= 1 << b
		ep.prev, ep.next = nil, nil
		return
	}
	if p.buckets[b] == ep {
		p.buckets[b] = ep.next
	}
	ep.prev.next, ep.next.prev = ep.next, ep.prev
	ep.prev, ep.next = nil, nil
}

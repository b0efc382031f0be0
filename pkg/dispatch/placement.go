package dispatch

import (
	"math"
	"math/bits"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// Four buckets to an octave of speed; endpoints within 19 % of each other take turns.
	placementBuckets = 64
	trialBucket      = 0
	suspectBucket    = placementBuckets - 1
)

// placement orders the endpoints with free slots by speed. Each bucket is a ring; a mask
// finds the first that is not empty, so a choice costs the same for any number of
// endpoints.
type placement struct {
	buckets [placementBuckets]*endpoint
	filled  uint64
	free    datacentre.Slots
	total   datacentre.Slots
}

// fastest returns the endpoint for the next task.
func (p *placement) fastest() *endpoint {
	if p.filled == 0 {
		return nil
	}
	return p.buckets[bits.TrailingZeros64(p.filled)]
}

// rotate lets the next endpoint of the same speed have the next turn.
func (p *placement) rotate(m *endpoint) {
	if m.bucket != absent {
		p.buckets[m.bucket] = m.next
	}
}

func bucketOf(m *endpoint) int {
	switch m.standing {
	case suspect:
		return suspectBucket
	case onTrial:
		return trialBucket
	case trusted, ejected:
	}
	i := placementBuckets/2 + int(math.Floor(bucketsPerOctave*m.logSlowness))
	return min(max(i, trialBucket+1), suspectBucket-1)
}

// before takes an endpoint out of the sums, ahead of a change to it.
func (p *placement) before(m *endpoint) {
	p.free -= m.free()
	p.total -= m.capacity()
}

// after counts an endpoint again and moves it to where it belongs after the change.
func (p *placement) after(m *endpoint) {
	p.free += m.free()
	p.total += m.capacity()
	p.relink(m)
}

func (p *placement) relink(m *endpoint) {
	bucket := absent
	if m.free() > 0 {
		bucket = bucketOf(m)
	}
	if bucket == m.bucket {
		return
	}
	if m.bucket != absent {
		p.unlink(m)
	}
	if bucket != absent {
		p.link(m, bucket)
	}
}

func (p *placement) link(m *endpoint, bucket int) {
	m.bucket = bucket
	first := p.buckets[bucket]
	if first == nil {
		m.prev, m.next = m, m
		p.buckets[bucket] = m
		p.filled |= 1 << bucket
		return
	}
	m.prev, m.next = first.prev, first
	first.prev.next = m
	first.prev = m
}

func (p *placement) unlink(m *endpoint) {
	b := m.bucket
	m.bucket = absent
	if m.next == m {
		p.buckets[b] = nil
		p.filled &^= 1 << b
		m.prev, m.next = nil, nil
		return
	}
	if p.buckets[b] == m {
		p.buckets[b] = m.next
	}
	m.prev.next, m.next.prev = m.next, m.prev
	m.prev, m.next = nil, nil
}

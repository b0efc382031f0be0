// Package link describes the network link of a VM.
package link

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Bytes is an amount of data.
type Bytes int64

// Rate is a transfer rate in bytes per millisecond.
type Rate float64

// MegabitsPerSecond converts the usual unit of links.
func MegabitsPerSecond(v float64) Rate { return Rate(v * 1e6 / 8 / 1000) }

// TransferTime returns how long a link of the rate takes to carry an amount of data.
func (r Rate) TransferTime(n Bytes) clock.Millis {
	if r <= 0 {
		return 0
	}
	return clock.Millis(float64(n) / float64(r))
}

// Backlog estimates how long the data that a VM has exchanged lately still occupies its link. Data that
// is sent faster than the link carries it waits in front of it, in the order of sending.
type Backlog struct {
	rate    Rate
	pending float64
	at      clock.Millis
}

// NewBacklog returns the backlog of an idle link.
func NewBacklog(r Rate) Backlog { return Backlog{rate: r} }

const (
	// packetBytes is the size of the headers of a packet and of its acknowledgement.
	packetBytes = 80
	// maxBacklog bounds the estimate: senders are blocked before more data waits.
	maxBacklog = clock.Second
)

// Add counts a message that is sent or has been received.
func (b *Backlog) Add(n Bytes, now clock.Millis) {
	b.drain(now)
	b.pending = min(b.pending+float64(n)+packetBytes, float64(b.rate)*float64(maxBacklog))
}

// Delay returns how long a message that is sent now waits.
func (b *Backlog) Delay(now clock.Millis) clock.Millis {
	b.drain(now)
	if b.rate <= 0 {
		return 0
	}
	return clock.Millis(b.pending / float64(b.rate))
}

func (b *Backlog) drain(now clock.Millis) {
	b.pending = max(b.pending-float64(b.rate)*float64(now-b.at), 0)
	b.at = now
}

package daemon

import (
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// maxReadTime is how long an answer of the store may occupy the VM's link. Answers of endpoints wait
	// behind it, and a start counts as uncertain after 30 ms.
	maxReadTime = clock.Millis(20)
	// minReadPause bounds the rate of reads, since each is a call to the store.
	minReadPause = clock.Millis(100)
	// rowOverhead is the size of a row in an answer besides its value, which is encoded in base64.
	rowOverhead = 120
)

// readPace shortens the pause between reads of a table that changes all the time, so that the answers
// do not fill a narrow link for long.
type readPace struct {
	pause clock.Millis
}

func newReadPace() readPace { return readPace{pause: successorEndpointsPause} }

// adapt adjusts the pause to the time that the latest answer took on the link.
func (p *readPace) adapt(took clock.Millis) {
	if took > maxReadTime {
		p.pause = max(p.pause*maxReadTime/took, minReadPause)
		return
	}
	p.pause = min(p.pause+minReadPause/10, successorEndpointsPause)
}

func bytesOf(rows []store.Row) link.Bytes {
	n := link.Bytes(0)
	for _, r := range rows {
		n += rowBytes(r)
	}
	return n
}

func rowBytes(r store.Row) link.Bytes { return link.Bytes(len(r.Value)*4/3 + rowOverhead) }

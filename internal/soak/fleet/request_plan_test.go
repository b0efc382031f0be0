package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// connectionPlan is a connection that its caller opens at a time and uses until it is closed.
type connectionPlan struct {
	openAt   time.Duration
	requests []requestPlan
}

// requestPlan is a request whose first bytes are sent after a pause, and the others after another one.
type requestPlan struct {
	pause, gap time.Duration
	split      split
	job        standin.Job
	// cancels means that the job is cancelled, which another connection submits.
	cancels bool
}

// split says where a request is divided. It is one of the types below.
type split interface{ split() }

// unsplit means that all is sent at once.
type unsplit struct{}

// inHeaders and inBody mean that a share of the headers, or of the body, is sent first.
type (
	inHeaders struct{ share float64 }
	inBody    struct{ share float64 }
)

func (unsplit) split()   {}
func (inHeaders) split() {}
func (inBody) split()    {}

// String implements fmt.Stringer.
func (r *requestPlan) String() string {
	return fmt.Sprintf("job %s (cancels: %v, runs for %d ms, %T, pause %s, gap %s)", r.job.ID, r.cancels, r.job.Payload.RunMs, r.split, r.pause, r.gap)
}

// firstBytes returns how many bytes of a request are sent first.
func (r *requestPlan) firstBytes(text []byte) int {
	header := headerLength(text)
	switch s := r.split.(type) {
	case inHeaders:
		return 1 + int(s.share*float64(header-1))
	case inBody:
		return header + int(s.share*float64(len(text)-header))
	case unsplit:
	}
	return len(text)
}

func headerLength(text []byte) int { return bytes.Index(text, []byte("\r\n\r\n")) }

// drawConnection draws a connection to a VM that gets SIGTERM at a time.
func (f *fleet) drawConnection(random *rand.Rand, terminateAt time.Duration) connectionPlan {
	p := connectionPlan{openAt: terminateAt + milliseconds(random, -seriesLead, 3*time.Second)}
	for range 1 + random.IntN(2)*random.IntN(4) {
		p.requests = append(p.requests, f.drawRequest(random))
	}
	if len(p.requests) > 1 {
		// The server gives a new connection 3 s for its first headers, and 60 s for the next ones.
		p.requests[0].pause, p.requests[0].split = 0, unsplit{}
		p.requests[0].job.Payload.RunMs = 10
	}
	return p
}

func (f *fleet) drawRequest(random *rand.Rand) requestPlan {
	f.requestsDrawn++
	r := requestPlan{split: unsplit{}, pause: milliseconds(random, 0, 2800*time.Millisecond), cancels: random.IntN(8) == 0}
	r.job = standin.Job{ID: fmt.Sprintf("dddddd%010x", f.requestsDrawn), Tasks: 1 + random.IntN(2), Payload: standin.Payload{RunMs: 10 + int64(random.IntN(100)), MilliCores: taskMilliCores}}
	if random.IntN(3) == 0 {
		r.job.Payload.RunMs = 400 + int64(random.IntN(1600))
	}
	if r.cancels {
		r.job.ID = fmt.Sprintf("dddddd%010x", max(f.requestsDrawn-1-random.IntN(4), 1))
	}
	switch share, kind := random.Float64(), random.IntN(3); {
	case kind == 0:
		r.pause, r.gap, r.split = milliseconds(random, 0, 1200*time.Millisecond), milliseconds(random, 200*time.Millisecond, 1500*time.Millisecond), inHeaders{share}
	case kind == 1 && !r.cancels:
		r.pause, r.gap, r.split = milliseconds(random, 0, 1500*time.Millisecond), milliseconds(random, 200*time.Millisecond, 3500*time.Millisecond), inBody{share}
	}
	return r
}

// milliseconds draws a time of whole milliseconds.
func milliseconds(random *rand.Rand, from, until time.Duration) time.Duration {
	return from + time.Duration(random.Int64N((until-from).Milliseconds()))*time.Millisecond
}

func (r *requestPlan) text() []byte {
	if r.cancels {
		return r.job.CancelRequest()
	}
	return r.job.Request()
}

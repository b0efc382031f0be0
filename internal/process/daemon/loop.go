package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// mailboxCapacity bounds the events that wait for the control goroutine. At 700 starts a
	// second a VM has about 3,000 events a second, so a full mailbox takes a third of a second.
	mailboxCapacity = 1024
	// tickBusy and tickIdle are the intervals of Tick events with and without work in progress.
	tickBusy = clock.Millis(10)
	tickIdle = clock.Millis(40)
	// maxEventInterval is the time without an event from which the VM counts as paused.
	maxEventInterval = clock.Millis(300)
	// settlePeriod is how long after a pause requests may be read that arrived during it, and
	// settleDelay how long the server takes to notice that the caller of such a request has gone.
	settlePeriod = clock.Millis(200)
	settleDelay  = clock.Millis(20)
)

// executor executes actions without blocking.
type executor interface{ execute(node.Action) }

// loop runs the control state on a single goroutine and publishes the parts of it that other
// goroutines read.
type loop struct {
	control  *node.Control
	clock    clock.Clock
	executor executor
	mailbox  chan node.Event
	ended    chan struct{}
	// desiredPublished is closed when the first desired state is published.
	desiredPublished chan struct{}

	desired   atomic.Pointer[queue.State]
	endpoints atomic.Pointer[endpointList]
	ready     atomic.Bool
	idle      atomic.Bool
	// lastEventAt is when the control goroutine took the latest event. It took pausedAt's before the
	// latest pause, and resumedAt's after it.
	lastEventAt, pausedAt, resumedAt atomic.Int64
	// role is one of the roles below.
	role atomic.Int32
	// endpointsReader is the VM that reads the list of endpoints for all, or nil if it is this one or
	// unknown.
	endpointsReader atomic.Pointer[shard.Member]
}

// endpointList is a list of endpoints at a version of the store.
type endpointList struct {
	endpoints []endpoint.Endpoint
	version   int64
}

// Roles of a VM. They determine how often it reads the list of endpoints.
const (
	roleEntry int32 = iota
	roleSuccessor
	roleLeader
)

func newLoop(control *node.Control, c clock.Clock) *loop {
	l := &loop{control: control, clock: c, mailbox: make(chan node.Event, mailboxCapacity), ended: make(chan struct{}), desiredPublished: make(chan struct{})}
	l.endpoints.Store(&endpointList{})
	l.lastEventAt.Store(int64(c.Now()))
	return l
}

// Post implements peer.Local.
func (l *loop) Post(e node.Event) bool {
	select {
	case l.mailbox <- e:
		return true
	case <-l.ended:
		return false
	}
}

// Desired implements peer.Local.
func (l *loop) Desired() *queue.State { return l.desired.Load() }

// AwaitDesiredState implements caller.Local.
func (l *loop) AwaitDesiredState(ctx context.Context, limit clock.Millis) *queue.State {
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case <-l.desiredPublished:
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.desired.Load()
}

// AwaitSettled implements caller.Local. A request may have waited in its socket during a pause, and
// its caller may have sent the job to another VM since.
func (l *loop) AwaitSettled(ctx context.Context) (waitsSince clock.Millis, waits bool) {
	now := l.clock.Now()
	since := l.waitsSince(now)
	if since != now {
		select {
		case <-ctx.Done():
		case <-l.clock.After(settleDelay):
		}
	}
	return since, ctx.Err() == nil
}

// waitsSince returns the earliest time at which a request that is read now may have arrived: the
// beginning of the pause if the VM is paused or was paused until recently.
func (l *loop) waitsSince(now clock.Millis) clock.Millis {
	if last := clock.Millis(l.lastEventAt.Load()); now > last+maxEventInterval {
		return last
	}
	if now < clock.Millis(l.resumedAt.Load())+settlePeriod {
		return clock.Millis(l.pausedAt.Load())
	}
	return now
}

// recordEvent records that the control goroutine takes an event.
func (l *loop) recordEvent(now clock.Millis) {
	last := clock.Millis(l.lastEventAt.Load())
	if now > last+maxEventInterval {
		l.pausedAt.Store(int64(last))
		l.resumedAt.Store(int64(now))
	}
	// Stored last, so that a request is never read between a pause and its record.
	l.lastEventAt.Store(int64(now))
}

// Endpoints implements peer.Local.
func (l *loop) Endpoints() ([]endpoint.Endpoint, int64) {
	e := l.endpoints.Load()
	return e.endpoints, e.version
}

func (l *loop) run(ctx context.Context) error {
	defer close(l.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var e node.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e = <-l.mailbox:
		case <-timer.C:
			e = node.Tick{}
		}
		now := l.clock.Now()
		l.recordEvent(now)
		for _, a := range l.control.Handle(now, e) {
			l.executor.execute(a)
		}
		if _, isTick := e.(node.Tick); isTick {
			l.publish()
			next := tickIdle
			if l.control.Busy() {
				next = tickBusy
			}
			timer.Reset(next.Duration())
			continue
		}
		switch e.(type) {
		case node.DesiredStateLoaded, node.EndpointsLoaded:
			l.publish()
		default:
		}
	}
}

// publish stores the parts of the control state that other goroutines read.
func (l *loop) publish() {
	if d := l.control.Desired(); d != nil && l.desired.Swap(d) == nil {
		close(l.desiredPublished)
	}
	if e, v := l.control.Endpoints(); v != l.endpoints.Load().version {
		l.endpoints.Store(&endpointList{endpoints: e, version: v})
	}
	l.ready.Store(l.control.Ready())
	l.idle.Store(l.control.Idle())
	role := roleEntry
	member, leading := l.control.InReplicaSet()
	if member {
		role = roleSuccessor
	}
	if leading {
		role = roleLeader
	}
	l.role.Store(role)
	if reader, ok := l.control.EndpointsReader(); ok {
		l.endpointsReader.Store(&reader)
	} else {
		l.endpointsReader.Store(nil)
	}
}

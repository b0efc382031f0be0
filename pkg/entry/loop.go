package entry

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ErrMailboxFull means that the control goroutine's mailbox has no capacity for another event.
const ErrMailboxFull = errors.ConstError("mailbox is full")

// ErrStopped means that the control goroutine has ended.
const ErrStopped = errors.ConstError("control has stopped")

// Executor carries out actions on traffic goroutines. Execute must not block.
type Executor interface {
	Execute(Action)
}

// LoopConfig configures a loop.
type LoopConfig struct {
	Control  *Control
	Clock    clock.Clock
	Executor Executor
	// Mailbox is the capacity of the event queue.
	Mailbox int
	// TickInterval is the time between ticks.
	TickInterval clock.Millis
}

// Loop runs the control state machine on one goroutine.
type Loop struct {
	config  LoopConfig
	mailbox chan envelope
	waiters map[WaiterID]chan<- Reply
	lastID  atomic.Uint64
	stopped chan struct{}
	// queued is a copy of the queue length for readers on other goroutines.
	queued atomic.Int64
	// strayAnswers is a copy of the number of dropped attempt results.
	strayAnswers atomic.Int64
}

type envelope struct {
	event  Event
	waiter WaiterID
	reply  chan<- Reply
}

// NewLoop returns a loop that has not started.
func NewLoop(c LoopConfig) *Loop {
	return &Loop{
		config:  c,
		mailbox: make(chan envelope, c.Mailbox),
		waiters: make(map[WaiterID]chan<- Reply),
		stopped: make(chan struct{}),
	}
}

// Run handles events until the context ends. It may be called only once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	tick := l.config.Clock.After(l.config.TickInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.mailbox:
			l.handle(e)
		case <-tick:
			l.handle(envelope{event: Tick{}})
			tick = l.config.Clock.After(l.config.TickInterval)
		}
	}
}

// MailboxLength returns the number of events in the mailbox.
func (l *Loop) MailboxLength() int { return len(l.mailbox) }

// QueuedTasks returns how many tasks wait for a slot.
func (l *Loop) QueuedTasks() int { return int(l.queued.Load()) }

// StrayAnswers returns how many attempt results were dropped.
func (l *Loop) StrayAnswers() int { return int(l.strayAnswers.Load()) }

// Post sends an event that must not be lost. It blocks while the mailbox is full, until the
// context ends or the loop has stopped.
func (l *Loop) Post(ctx context.Context, e Event) {
	select {
	case l.mailbox <- envelope{event: e}:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// Call sends an event and waits for its reply. It fails with ErrMailboxFull when the mailbox
// is full; the event is then not handled at all. When the context ends it sends
// WaiterCancelled and still waits for a reply, so that the outcome of the event is known.
// After ErrStopped the event may or may not have been handled.
func (l *Loop) Call(ctx context.Context, makeEvent func(WaiterID) Event) (Reply, error) {
	e, reply := l.envelope(makeEvent)
	select {
	case l.mailbox <- e:
		return l.await(ctx, e.waiter, reply)
	default:
		return nil, errors.Annotate(ErrMailboxFull, "hand event to control")
	}
}

// CallBlocking is like Call, but blocks while the mailbox is full.
func (l *Loop) CallBlocking(ctx context.Context, makeEvent func(WaiterID) Event) (Reply, error) {
	e, reply := l.envelope(makeEvent)
	select {
	case l.mailbox <- e:
		return l.await(ctx, e.waiter, reply)
	case <-ctx.Done():
		return nil, errors.Annotate(ErrMailboxFull, "hand event to control")
	case <-l.stopped:
		return nil, errors.Annotate(ErrStopped, "hand event to control")
	}
}

func (l *Loop) envelope(makeEvent func(WaiterID) Event) (envelope, <-chan Reply) {
	id := WaiterID(l.lastID.Add(1))
	reply := make(chan Reply, 1)
	return envelope{event: makeEvent(id), waiter: id, reply: reply}, reply
}

func (l *Loop) await(ctx context.Context, id WaiterID, reply <-chan Reply) (Reply, error) {
	select {
	case r := <-reply:
		return r, nil
	case <-l.stopped:
		return nil, errors.Annotate(ErrStopped, "wait for control")
	case <-ctx.Done():
	}
	l.Post(context.WithoutCancel(ctx), WaiterCancelled{Waiter: id})
	select {
	case r := <-reply:
		return r, nil
	case <-l.stopped:
		return nil, errors.Annotate(ErrStopped, "wait for control")
	}
}

func (l *Loop) handle(e envelope) {
	if e.reply != nil {
		l.waiters[e.waiter] = e.reply
	}
	for _, a := range l.config.Control.Handle(l.config.Clock.Now(), e.event) {
		l.execute(a)
	}
	l.queued.Store(int64(l.config.Control.QueuedTasks()))
	l.strayAnswers.Store(int64(l.config.Control.StrayAnswers()))
}

func (l *Loop) execute(a Action) {
	reply, ok := a.(ReplyTo)
	if !ok {
		l.config.Executor.Execute(a)
		return
	}
	if ch, ok := l.waiters[reply.Waiter]; ok {
		ch <- reply.Reply
		delete(l.waiters, reply.Waiter)
	}
}

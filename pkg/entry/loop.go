package entry

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ErrMailboxFull says that the control goroutine has no room for new work.
const ErrMailboxFull = errors.ConstError("mailbox is full")

// ErrStopped says that the control goroutine has ended.
const ErrStopped = errors.ConstError("control has stopped")

// Executor carries out actions on traffic goroutines. Execute must not block.
type Executor interface {
	Execute(Action)
}

// LoopConfig holds what a loop is made of.
type LoopConfig struct {
	Control  *Control
	Clock    clock.Clock
	Executor Executor
	// Mailbox bounds the events that wait.
	Mailbox int
	// TickInterval is the span between ticks.
	TickInterval clock.Millis
}

// Loop runs the control state machine on one goroutine.
type Loop struct {
	config  LoopConfig
	mailbox chan envelope
	waiters map[WaiterID]chan<- Reply
	lastID  atomic.Uint64
	stopped chan struct{}
	// queued mirrors the length of the queue for readers on other goroutines.
	queued atomic.Int64
	// strays mirrors the count of dropped ends of attempts.
	strays atomic.Int64
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

// Run handles events until the context ends. It runs once.
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

// MailboxLength returns how many events wait.
func (l *Loop) MailboxLength() int { return len(l.mailbox) }

// QueuedTasks returns how many tasks wait for a slot.
func (l *Loop) QueuedTasks() int { return int(l.queued.Load()) }

// StrayAnswers returns how many ends of attempts were dropped.
func (l *Loop) StrayAnswers() int { return int(l.strays.Load()) }

// Post hands over an event that must not be lost; it waits for room, as long as the
// loop runs.
func (l *Loop) Post(ctx context.Context, e Event) {
	select {
	case l.mailbox <- envelope{event: e}:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// Call hands over an event and waits for its reply. It fails with ErrMailboxFull when
// there is no room; the event is then not handled at all. When the context ends it
// sends WaiterCancelled and waits for control to reply to that, so that the reply tells what
// became of the event. With ErrStopped the event may or may not have been handled.
func (l *Loop) Call(ctx context.Context, makeEvent func(WaiterID) Event) (Reply, error) {
	e, reply := l.envelope(makeEvent)
	select {
	case l.mailbox <- e:
		return l.await(ctx, e.waiter, reply)
	default:
		return nil, errors.Annotate(ErrMailboxFull, "hand event to control")
	}
}

// CallBlocking is Call for the few events that wait for room instead of failing.
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
	l.strays.Store(int64(l.config.Control.StrayAnswers()))
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

package entry

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ErrMailboxFull says that the control goroutine has no room for new work.
const ErrMailboxFull = errors.ConstError("mailbox is full")

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
	// TickEvery is the span between ticks.
	TickEvery clock.Millis
}

// Loop runs the control state machine on one goroutine.
type Loop struct {
	config  LoopConfig
	mailbox chan envelope
	waiters map[WaiterID]chan<- Reply
	lastID  atomic.Uint64
	// queued mirrors the length of the queue for readers on other goroutines.
	queued atomic.Int64
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
	}
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	tick := l.config.Clock.After(l.config.TickEvery)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.mailbox:
			l.handle(e)
		case <-tick:
			l.handle(envelope{event: Tick{}})
			tick = l.config.Clock.After(l.config.TickEvery)
		}
	}
}

// MailboxLength returns how many events wait.
func (l *Loop) MailboxLength() int { return len(l.mailbox) }

// QueuedTasks returns how many tasks wait for a slot.
func (l *Loop) QueuedTasks() int { return int(l.queued.Load()) }

// Post hands over an event that must not be lost; it waits for room.
func (l *Loop) Post(ctx context.Context, e Event) {
	select {
	case l.mailbox <- envelope{event: e}:
	case <-ctx.Done():
	}
}

// Call hands over an event and waits for its reply. It fails with ErrMailboxFull when
// there is no room; the event is then not handled at all.
func (l *Loop) Call(ctx context.Context, makeEvent func(WaiterID) Event) (Reply, error) {
	id := WaiterID(l.lastID.Add(1))
	reply := make(chan Reply, 1)
	select {
	case l.mailbox <- envelope{event: makeEvent(id), waiter: id, reply: reply}:
	default:
		return nil, errors.Annotate(ErrMailboxFull, "hand event to control")
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		l.Post(context.WithoutCancel(ctx), WaiterGone{Waiter: id})
		return nil, ctx.Err()
	}
}

func (l *Loop) handle(e envelope) {
	if e.reply != nil {
		l.waiters[e.waiter] = e.reply
	}
	if gone, ok := e.event.(WaiterGone); ok {
		delete(l.waiters, gone.Waiter)
	}
	for _, a := range l.config.Control.Handle(l.config.Clock.Now(), e.event) {
		l.execute(a)
	}
	l.queued.Store(int64(l.config.Control.QueuedTasks()))
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

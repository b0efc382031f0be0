package fleet

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	events "github.com/sequoiacart/sequoiacart/pkg/event"
)

// unanswered is a request whose connection has ended without a whole answer.
type unanswered struct {
	vm      *node
	process *incarnation
	request requestPlan
	// sent is when the last byte was sent; it is zero if the connection had ended before.
	sent   time.Time
	answer answer
}

// lossSlack is how late a request may be read without an answer, by the platform's rules.
const lossSlack = 200 * time.Millisecond

func (f *fleet) addUnanswered(u unanswered) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = append(f.unanswered, u)
}

// checkUnanswered checks that each request without an answer was one that its VM had no time to read or to answer.
func (f *fleet) checkUnanswered() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for _, u := range f.unanswered {
		f.checker.mu.Lock()
		started := f.checker.started[u.request.job.ID] && !u.request.cancels
		f.checker.mu.Unlock()
		isLost := u.isLost(started)
		f.t.Logf("%s, process %d: no answer to %s, sent at %s, closed at %s (%v), SIGTERM at %s; its task started: %v, lost: %v", u.vm.name, u.process.command.Process.Pid,
			&u.request, u.sent.Format(timeFormat), u.answer.at.Format(timeFormat), u.answer.err, u.process.terminated.Format(timeFormat), started, isLost)
		if isLost {
			lost++
		}
	}
	if lost > 0 {
		f.t.Errorf("got %d requests lost, want none", lost)
	}
	f.t.Logf("open connections: answers by status %v, %d closed without one", f.answered, len(f.unanswered))
}

// isLost reports whether the VM has read the request, or had the time to do so, and owes an answer.
func (u *unanswered) isLost(started bool) bool {
	u.vm.mu.Lock()
	defer u.vm.mu.Unlock()
	p, closed := u.process, u.answer.at
	isKilled := !p.killed.IsZero() && p.killed.Before(closed)
	// A connection with bytes that were not read is reset.
	isUnread := errors.Is(u.answer.err, syscall.ECONNRESET)
	switch {
	case isKilled || p.isFrozenAtTheEnd(closed):
		return false
	case started || u.answer.isCut:
		return true
	case u.sent.IsZero() || isUnread && p.isFrozen(u.sent, closed):
		return false
	}
	return closed.Sub(u.sent) > lossSlack
}

// Guards against a soak that excuses requests which a VM has dropped.
func TestLostRequests(t *testing.T) {
	const ms = time.Millisecond
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	terminated := func(freezes ...freeze) incarnation { return incarnation{terminated: began, freezes: freezes} }
	for _, c := range []struct {
		name         string
		process      incarnation
		sent, closed time.Duration
		err          error
		isCut        bool
		started      bool
		want         bool
	}{
		{"read late and dropped", terminated(freeze{at(2900 * ms), at(3500 * ms)}), 2950 * ms, 3502 * ms, io.EOF, false, false, true},
		{"not read for long", terminated(), 2900 * ms, 3150 * ms, syscall.ECONNRESET, false, false, true},
		{"passed on and dropped at once", terminated(), 3000 * ms, 3050 * ms, io.EOF, false, true, true},
		{"answer cut", terminated(), 3000 * ms, 3050 * ms, io.ErrUnexpectedEOF, true, false, true},
		{"frozen long before the last answers", terminated(freeze{at(500 * ms), at(900 * ms)}), 3000 * ms, 5600 * ms, io.EOF, false, false, true},
		{"closed without SIGTERM", incarnation{}, 3000 * ms, 3500 * ms, io.EOF, false, false, true},
		{"closed when it was sent", terminated(), 3000 * ms, 3020 * ms, io.EOF, false, false, false},
		{"not read in a freeze", terminated(freeze{at(2900 * ms), at(3500 * ms)}), 2950 * ms, 3502 * ms, syscall.ECONNRESET, false, false, false},
		{"killed", incarnation{killed: at(3200 * ms)}, 2900 * ms, 3201 * ms, io.EOF, false, true, false},
		{"frozen instead of the last answers", terminated(freeze{at(4500 * ms), at(6500 * ms)}), 4000 * ms, 6510 * ms, io.EOF, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := unanswered{vm: &node{}, process: &c.process, sent: at(c.sent), answer: answer{at: at(c.closed), err: c.err, isCut: c.isCut}}
			if got := u.isLost(c.started); got != c.want {
				t.Errorf("got lost %v, want %v", got, c.want)
			}
		})
	}
	u := unanswered{vm: &node{}, process: &incarnation{terminated: began}, answer: answer{at: at(3 * time.Second), err: io.EOF}}
	if u.isLost(false) {
		t.Error("got lost a request whose connection had ended before its last byte, want not")
	}
}

// Guards against a soak that takes its own pauses for a late end of a process, or misses one that ends late.
func TestEndOfAProcess(t *testing.T) {
	began := time.Now().Truncate(time.Millisecond)
	stopped := began.Add(5800 * time.Millisecond)
	log := fmt.Appendf(nil, "{\"event\":\"SQ-7001\",\"time\":%q}\n{\"event\":%q,\"time\":%q}\n", began.Format(time.RFC3339Nano), events.VMStopping, stopped.Format(time.RFC3339Nano))
	p := incarnation{ended: began.Add(7 * time.Second)}
	if got := p.endedAt(log); !got.Equal(stopped) {
		t.Errorf("got an end at %s, want that of the log, %s", got, stopped)
	}
	if got := p.endedAt(nil); got != p.ended {
		t.Errorf("got an end at %s of a process that has not logged it, want %s", got, p.ended)
	}
}

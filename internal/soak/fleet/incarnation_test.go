package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	events "github.com/sequoiacart/sequoiacart/pkg/event"
)

// incarnation is a process of a VM and what was done to it. The fields below exited belong to the lock of its VM.
type incarnation struct {
	command *exec.Cmd
	exited  chan struct{}

	// logStart and logEnd are the part of the VM's log that it wrote.
	logStart, logEnd int64
	// terminated is the time of the first SIGTERM.
	terminated, killed, ended time.Time
	freezes                   []freeze
}

// freeze is a time without processor time. It lasts until a SIGCONT.
type freeze struct{ from, until time.Time }

const (
	// gracePeriod is the default of the VMs.
	gracePeriod = 6 * time.Second
	// lastAnswers is when a VM gives up what it has, counted from SIGTERM, less some time for a late processor. One that
	// is frozen later than that has no time for its answers.
	lastAnswers = 5 * time.Second
)

func (f freeze) overlaps(from, until time.Time) bool {
	return f.from.Before(until) && (f.until.IsZero() || f.until.After(from))
}

// record keeps the effect of a signal.
func (p *incarnation) record(s syscall.Signal, now time.Time) {
	last := len(p.freezes) - 1
	isFrozen := last >= 0 && p.freezes[last].until.IsZero()
	switch {
	case s == syscall.SIGTERM && p.terminated.IsZero():
		p.terminated = now
	case s == syscall.SIGKILL:
		p.killed = now
	case s == syscall.SIGSTOP && !isFrozen:
		p.freezes = append(p.freezes, freeze{from: now})
	case s == syscall.SIGCONT && isFrozen:
		p.freezes[last].until = now
	}
}

// shutdownBegan is when the process received SIGTERM; a frozen one receives it with SIGCONT.
func (p *incarnation) shutdownBegan() time.Time {
	began := p.terminated
	for _, f := range p.freezes {
		if !began.IsZero() && f.overlaps(began, began) {
			began = f.until
		}
	}
	return began
}

// isHungUp reports whether a SIGHUP has ended the process before it had begun to handle it.
func (p *incarnation) isHungUp() bool {
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

func (p *incarnation) isFrozen(from, until time.Time) bool {
	for _, f := range p.freezes {
		if f.overlaps(from, until) {
			return true
		}
	}
	return false
}

// isFrozenAtTheEnd reports whether the process had no processor time, before a moment, for its last answers.
func (p *incarnation) isFrozenAtTheEnd(moment time.Time) bool {
	began := p.shutdownBegan()
	return !p.terminated.IsZero() && (began.IsZero() || p.isFrozen(began.Add(lastAnswers), moment))
}

// checkShutdowns checks that the processes which got SIGTERM have ended in time, that they have logged no request
// without an answer, and that no process has ended by itself.
func (f *fleet) checkShutdowns() {
	f.t.Helper()
	for _, n := range f.vms {
		n.mu.Lock()
		incarnations := n.incarnations
		n.mu.Unlock()
		for _, p := range incarnations {
			if n.isLeaving(p) {
				select {
				case <-p.exited:
				case <-time.After(2 * gracePeriod):
				}
			}
			for _, problem := range n.shutdownProblems(p) {
				f.t.Errorf("%s, process %d: %s", n.name, p.command.Process.Pid, problem)
			}
		}
	}
}

// endedAt is when the process ended by its own log, or else when the soak noticed that, which may be late.
func (p *incarnation) endedAt(log []byte) time.Time {
	for line := range bytes.Lines(log) {
		var entry struct {
			Event events.Number
			Time  time.Time
		}
		if json.Unmarshal(line, &entry) == nil && entry.Event == events.VMStopping {
			return entry.Time
		}
	}
	return p.ended
}

func (n *node) isLeaving(p *incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !p.terminated.IsZero()
}

func (n *node) shutdownProblems(p *incarnation) (problems []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !p.killed.IsZero() {
		return nil
	}
	if p.terminated.IsZero() {
		if !p.ended.IsZero() && !p.isHungUp() {
			problems = append(problems, "got an end without a signal, want none")
		}
		return problems
	}
	if p.isFrozenAtTheEnd(p.terminated.Add(time.Hour)) {
		return nil
	}
	if p.ended.IsZero() {
		return append(problems, fmt.Sprintf("got no end since SIGTERM of %s, want one", p.shutdownBegan().Format(timeFormat)))
	}
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return append(problems, err.Error())
	}
	text = text[p.logStart:p.logEnd]
	ended := p.endedAt(text)
	if took := ended.Sub(p.shutdownBegan()); took > gracePeriod {
		problems = append(problems, fmt.Sprintf("got end at %s, %s after SIGTERM of %s, want %s at most", ended.Format(timeFormat), took, p.shutdownBegan().Format(timeFormat), gracePeriod))
	}
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte(events.CallerUnanswered)) && !bytes.Contains(line, []byte(`"answering"`)) {
			problems = append(problems, fmt.Sprintf("got %s, want all requests answered", bytes.TrimSpace(line)))
		}
	}
	return problems
}

package fleet

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// shutdownRequest is a request on a connection that is open when a VM shuts down. All times are since SIGTERM.
type shutdownRequest struct {
	name string
	// openAt is when the connection is opened; the parts of the request are sent at the times of sendAt.
	openAt time.Duration
	sendAt []part
	runFor time.Duration
	// want are the statuses that the answer may have.
	want []int
}

// part is what is sent of a request at a time: its first bytes up to a length, or up to one that is counted from the end.
type part struct {
	at   time.Duration
	upTo int
}

const (
	allBytes    = 0
	butLastByte = -1
)

// answer sends the request and returns the status of its answer, or an error if the connection ended without one.
func (r *shutdownRequest) answer(address string, id int, signalled time.Time) (int, error) {
	text := standin.Job{ID: fmt.Sprintf("%016x", id), Tasks: 1, Payload: standin.Payload{RunMs: r.runFor.Milliseconds(), MilliCores: taskMilliCores}}.Request()
	time.Sleep(time.Until(signalled.Add(r.openAt)))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	go func() {
		sent := 0
		for _, p := range r.sendAt {
			time.Sleep(time.Until(signalled.Add(p.at)))
			upTo := p.upTo
			if upTo <= 0 {
				upTo += len(text)
			}
			if _, err := conn.Write(text[sent:upTo]); err != nil {
				// The answer may have come before the end of the request.
				return
			}
			sent = upTo
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against requests that a VM reads during its shutdown and never answers, and against work that it takes
// although it will have to give it up: a request that waited in the socket of a VM without processor time when the
// listener was closed, headers that were still arriving then, and bodies that end late or after the last answers.
func TestRequestsDuringAShutdownAreAnswered(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const ms = time.Millisecond
	short, long := 100*ms, 900*ms
	// The listener is closed after 3 s of 6, and the last answers are written after 5.4 s.
	requests := []shutdownRequest{
		{"waits in the socket", 2800 * ms, []part{{2950 * ms, allBytes}}, short, []int{http.StatusOK}},
		{"waits in the backlog", 2950 * ms, []part{{2960 * ms, allBytes}}, short, []int{http.StatusOK}},
		{"headers arrive in time and are read late", 400 * ms, []part{{450 * ms, 1}, {2950 * ms, allBytes}}, short, []int{http.StatusOK}},
		{"headers arrive", 2000 * ms, []part{{2800 * ms, 1}, {3700 * ms, allBytes}}, short, []int{http.StatusOK}},
		{"headers arrive too late for the work", 2500 * ms, []part{{2800 * ms, 1}, {5000 * ms, allBytes}}, long, []int{http.StatusServiceUnavailable}},
		{"body ends in time", 900 * ms, []part{{2500 * ms, butLastByte}, {3800 * ms, allBytes}}, short, []int{http.StatusOK}},
		{"body ends too late for the work", 900 * ms, []part{{2500 * ms, butLastByte}, {5000 * ms, allBytes}}, long, []int{http.StatusServiceUnavailable}},
		{"body stands still", 900 * ms, []part{{2500 * ms, butLastByte}}, short, []int{http.StatusServiceUnavailable}},
		{"body ends after the last answers", 900 * ms, []part{{2500 * ms, butLastByte}, {5450 * ms, allBytes}}, short, []int{http.StatusServiceUnavailable}},
	}
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.vms[len(f.vms)-1]
	n.signal(syscall.SIGTERM)
	signalled := time.Now()
	frozen := make(chan struct{})
	go func() {
		defer close(frozen)
		time.Sleep(time.Until(signalled.Add(2900 * ms)))
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Until(signalled.Add(3500 * ms)))
		n.signal(syscall.SIGCONT)
	}()
	failures := make([]string, len(requests))
	done := make(chan struct{})
	for i := range requests {
		go func() {
			defer func() { done <- struct{}{} }()
			r := &requests[i]
			got, err := r.answer(n.callerAddress, i+1, signalled)
			for _, want := range r.want {
				if got == want {
					return
				}
			}
			failures[i] = fmt.Sprintf("%s: got answer %d (%v) after %s, want one of %v", r.name, got, err, time.Since(signalled).Round(ms), r.want)
		}()
	}
	for range requests {
		<-done
	}
	<-frozen
	for _, failure := range failures {
		if failure != "" {
			t.Error(failure)
		}
	}
	if t.Failed() {
		t.Log(n.tail(20))
	}
}

// Guards against requests that a VM closes without an answer, although it has processor time again before it is killed.
func TestLateShutdownAnswersRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const ms = time.Millisecond
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.vms[len(f.vms)-1]
	n.signal(syscall.SIGTERM)
	signalled := time.Now()
	stands := shutdownRequest{openAt: 500 * ms, sendAt: []part{{1000 * ms, butLastByte}}}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if got, err := stands.answer(n.callerAddress, 1, signalled); got != http.StatusServiceUnavailable {
			t.Errorf("got answer %d (%v), want %d", got, err, http.StatusServiceUnavailable)
		}
	}()
	time.Sleep(time.Until(signalled.Add(5000 * ms)))
	n.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(signalled.Add(5900 * ms)))
	n.signal(syscall.SIGCONT)
	<-answered
}

// Guards against a shutdown that is counted from the end of a pause in which SIGTERM was sent, and that goes on until
// the process is killed.
func TestShutdownEndsInTimeAfterAPause(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const ms = time.Millisecond
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.vms[len(f.vms)-1]
	stands := shutdownRequest{openAt: -500 * ms, sendAt: []part{{-400 * ms, butLastByte}}}
	signalled := time.Now().Add(700 * ms)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		got, err := stands.answer(n.callerAddress, 1, signalled)
		if took := time.Since(signalled); got != http.StatusServiceUnavailable || took > gracePeriod {
			t.Errorf("got answer %d (%v) after %s, want %d within %s", got, err, took, http.StatusServiceUnavailable, gracePeriod)
		}
	}()
	time.Sleep(time.Until(signalled.Add(-50 * ms)))
	n.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(signalled))
	n.signal(syscall.SIGTERM)
	time.Sleep(700 * ms)
	n.signal(syscall.SIGCONT)
	<-answered
	p := n.current()
	<-p.exited
	log, err := os.ReadFile(n.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	// The race detector waits for a second before it lets a process exit.
	if got := p.endedAt(log[p.logStart:p.logEnd]).Sub(signalled); got > gracePeriod {
		t.Errorf("got the end of the process after %s, want it within %s", got, gracePeriod)
	}
}

package fleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// connection is an open connection of a caller, without retries.
type connection struct {
	net.Conn
	process *incarnation
	answers chan answer
	// headersSince is since when the server has waited for the headers of the latest request.
	headersSince time.Time
}

// answer is a whole answer, or the end of a connection.
type answer struct {
	at       time.Time
	response *http.Response
	text     string
	// isCut means that the answer ended early.
	isCut bool
	err   error
}

// answerTimeout is longer than the wait limit, a freeze and a shutdown together.
const answerTimeout = 20 * time.Second

// use opens a connection and sends its requests one after the other, as long as the connection is open.
func (f *fleet) use(n *node, p connectionPlan, began time.Time) {
	time.Sleep(time.Until(began.Add(p.openAt)))
	c := n.open()
	if c == nil {
		return
	}
	defer func() { _ = c.Close() }()
	go c.readAnswers(len(p.requests))
	for i, r := range p.requests {
		sent, a := c.exchange(&r, i == 0)
		if a.err != nil {
			f.addUnanswered(unanswered{n, c.process, r, sent, a})
			return
		}
		f.checkAnswer(n, c, &r, a)
		// After an early answer the server would take the next request for the rest of this one.
		if a.response.Close || sent.IsZero() {
			return
		}
	}
}

// open connects to the present process of a VM. It returns nil if there is none that listens.
func (n *node) open() *connection {
	p := n.current()
	c, err := net.Dial("tcp", n.callerAddress)
	if err != nil {
		return nil
	}
	if n.current() != p {
		_ = c.Close()
		return nil
	}
	return &connection{Conn: c, process: p, answers: make(chan answer, 1), headersSince: time.Now()}
}

// exchange sends a request and returns its answer, which may come before its last byte is sent.
func (c *connection) exchange(r *requestPlan, isFirst bool) (sent time.Time, a answer) {
	text := r.text()
	at := r.firstBytes(text)
	for i, p := range []struct {
		pause time.Duration
		text  []byte
	}{{r.pause, text[:at]}, {r.gap, text[at:]}} {
		select {
		case a := <-c.answers:
			return time.Time{}, a
		case <-time.After(p.pause):
		}
		if i == 0 && !isFirst {
			c.headersSince = time.Now()
		}
		if _, err := c.Write(p.text); err != nil {
			return time.Time{}, <-c.answers
		}
	}
	sent = time.Now()
	select {
	case a = <-c.answers:
	case <-time.After(answerTimeout):
		a = answer{at: time.Now(), err: errors.New("no answer in time")}
	}
	return sent, a
}

func (c *connection) readAnswers(count int) {
	reader := bufio.NewReader(c)
	for range count {
		var a answer
		if _, a.err = reader.Peek(1); a.err == nil {
			a.response, a.text, a.err = readAnswer(reader)
			a.isCut = a.err != nil
		}
		a.at = time.Now()
		c.answers <- a
		if a.err != nil || a.response.Close {
			return
		}
	}
}

func readAnswer(reader *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// headerTimeout is how long the server waits for headers.
const headerTimeout = 3 * time.Second

// isHeaderTimeout reports whether the server has given up a request whose headers were late.
func (c *connection) isHeaderTimeout(a answer) bool {
	return a.text == "400 Bad Request" && a.at.Sub(c.headersSince) >= headerTimeout
}

// checkAnswer holds the answer to a job against its attempts.
func (f *fleet) checkAnswer(n *node, c *connection, r *requestPlan, a answer) {
	f.mu.Lock()
	f.answered[a.response.StatusCode]++
	f.mu.Unlock()
	switch {
	case a.response.StatusCode == http.StatusBadRequest && !c.isHeaderTimeout(a):
		f.t.Errorf("%s, process %d: got answer 400 (%s) at %s to %s, want none to a valid request", n.name, c.process.command.Process.Pid, a.text, a.at.Format(timeFormat), r)
	case r.cancels:
	case a.response.StatusCode == http.StatusOK && strings.Contains(a.text, `"completed"`):
		f.checker.completed(r.job.ID, r.job.Tasks)
	case a.response.StatusCode == http.StatusServiceUnavailable:
		f.checker.refused(r.job.ID)
	}
}

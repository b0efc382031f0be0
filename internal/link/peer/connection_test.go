package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// slowLeader answers heartbeats and keeps submissions until the test ends them.
type slowLeader struct {
	submitted chan node.PeerSubmitted
	// beats receives the first heartbeats, which the test answers, up to its capacity.
	beats chan node.PeerHeartbeat
}

func (l *slowLeader) Post(e node.Event) bool {
	switch e := e.(type) {
	case node.PeerSubmitted:
		l.submitted <- e
	case node.PeerHeartbeat:
		select {
		case l.beats <- e:
		default:
			e.Reply <- node.HeartbeatReply{}
		}
	default:
	}
	return true
}

func (l *slowLeader) Desired() *queue.State                   { return nil }
func (l *slowLeader) Endpoints() ([]endpoint.Endpoint, int64) { return nil, 0 }

// silencingDialer opens connections that it can make silent: they stay open, and nothing arrives on
// them any more. Later connections work.
type silencingDialer struct {
	mu   sync.Mutex
	open []*silencedConn
}

type silencedConn struct {
	net.Conn
	silenced chan struct{}
}

func (c *silencedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		select {
		case <-c.silenced:
			if err == nil {
				continue
			}
		default:
		}
		return n, err
	}
}

func (d *silencingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &silencedConn{Conn: n, silenced: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = append(d.open, c)
	return c, nil
}

func (d *silencingDialer) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.open {
		close(c.silenced)
	}
	d.open = nil
}

// pendingSubmission is a submission whose leader has received it and not answered.
type pendingSubmission struct {
	client   *Client
	dialer   *silencingDialer
	to       shard.Member
	received node.PeerSubmitted
	answered chan job.Outcome
}

// submit submits a job to a leader.
func submit(t *testing.T, leader *slowLeader) *pendingSubmission {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(ServerConfig{Listener: listener, Local: leader, SubmitTimeout: 10 * clock.Second, ControlTimeout: 2 * clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	p := &pendingSubmission{dialer: &silencingDialer{}, to: shard.Member{Incarnation: "vm-2", Address: listener.Addr().String()}, answered: make(chan job.Outcome, 1)}
	p.client = NewClient(ClientConfig{Dialer: p.dialer, Timeout: 150})
	t.Cleanup(p.client.Close)
	go func() {
		p.answered <- p.client.Submit(p.to, "centro", validSubmission(), 10*clock.Second)
	}()
	p.received = <-leader.submitted
	return p
}

// heartbeat sends heartbeats until one is answered.
func (p *pendingSubmission) heartbeat(t *testing.T) {
	t.Helper()
	for range 20 {
		if _, _, err := p.client.SendHeartbeat(p.to, node.HeartbeatRequest{}, 0); err == nil {
			return
		}
	}
	t.Fatal("got no answer to 20 heartbeats, want one on a new connection")
}

// Guards against a caller that gets no answer although its job has ended: the connection on which
// the submission is pending has gone silent, and heartbeats go on over another one.
func TestSubmissionOnASilentConnectionEnds(t *testing.T) {
	p := submit(t, &slowLeader{submitted: make(chan node.PeerSubmitted, 1)})
	p.dialer.silence()
	p.received.Ended <- job.Completed{}
	p.heartbeat(t)
	select {
	case o := <-p.answered:
		if _, ok := o.(job.Unanswered); !ok {
			t.Errorf("got %#v, want no answer", o)
		}
	case <-time.After(time.Second):
		t.Errorf("got a submission that is still pending a second after a new connection has answered, want it ended")
	}
}

// Guards against submissions that end without an answer because their leader is slow for a moment:
// they could then no longer be refused or forwarded.
func TestSubmissionToASlowLeaderStaysPending(t *testing.T) {
	leader := &slowLeader{submitted: make(chan node.PeerSubmitted, 1), beats: make(chan node.PeerHeartbeat, 1)}
	p := submit(t, leader)
	if _, _, err := p.client.SendHeartbeat(p.to, node.HeartbeatRequest{}, 0); err == nil {
		t.Fatal("got an answer to a heartbeat that the leader keeps, want a time-out")
	}
	first := <-leader.beats
	leader.beats <- node.PeerHeartbeat{}
	first.Reply <- node.HeartbeatReply{}
	p.heartbeat(t)
	time.Sleep(400 * time.Millisecond)
	p.received.Ended <- job.Completed{}
	if o := <-p.answered; o != (job.Completed{}) {
		t.Errorf("got %#v, want the answer of the leader", o)
	}
}

// countingMeter keeps the counters of a client and a server.
type countingMeter struct {
	mu       sync.Mutex
	counters map[string]int64
}

func (m *countingMeter) Add(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name] += n
}

// Guards against bytes of peers that no metric names, and against a client and a server that count the
// same messages differently.
func TestBytesOfCallsAreCounted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := &countingMeter{counters: make(map[string]int64)}
	server, err := NewServer(ServerConfig{Listener: listener, Local: &slowLeader{}, SubmitTimeout: clock.Second, ControlTimeout: clock.Second, Meter: served})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	sent := &countingMeter{counters: make(map[string]int64)}
	client := NewClient(ClientConfig{Dialer: &net.Dialer{}, Timeout: clock.Second, Meter: sent})
	for range 3 {
		if _, _, err := client.SendHeartbeat(shard.Member{Incarnation: "a-1", Address: listener.Addr().String()}, node.HeartbeatRequest{Cell: "centro"}, 0); err != nil {
			t.Fatal(err)
		}
	}
	client.Close()
	server.Close()
	for _, m := range []*countingMeter{sent, served} {
		m.mu.Lock()
		defer m.mu.Unlock()
	}
	for _, direction := range [][2]string{{"sent", "received"}, {"received", "sent"}} {
		name, other := "peer.beat."+direction[0], "peer.beat."+direction[1]
		if got, want := sent.counters["messages."+name], int64(3); got != want {
			t.Errorf("%s: got %d messages at the client, want %d", name, got, want)
		}
		if got, want := sent.counters["bytes."+name], served.counters["bytes."+other]; got != want || got == 0 {
			t.Errorf("%s: got %d bytes at the client and %d at the server, want the same", name, got, want)
		}
	}
}

func validSubmission() job.Submission {
	return job.Submission{Key: job.Key{Entry: "vm-1", Seq: 1}, Job: job.Job{ID: "1", Queue: "q", Steps: []job.Step{{Tasks: 1}, {Tasks: 2, After: []int{0}}}}}
}

// Guards against a malformed message of another VM that ends the process: the control goroutine takes
// the first task of a job, the steps that others come after, and memory for each task.
func TestMalformedSubmissionsAreRefused(t *testing.T) {
	leader := &slowLeader{submitted: make(chan node.PeerSubmitted, 1)}
	p := submit(t, leader)
	for name, change := range map[string]func(*job.Submission){
		"no steps":                func(s *job.Submission) { s.Job.Steps = nil },
		"no job":                  func(s *job.Submission) { s.Job.ID = "" },
		"no sender":               func(s *job.Submission) { s.Key.Entry = "" },
		"no tasks":                func(s *job.Submission) { s.Job.Steps[0].Tasks = 0 },
		"too many tasks":          func(s *job.Submission) { s.Job.Steps[1].Tasks = 1 << 30 },
		"step after itself":       func(s *job.Submission) { s.Job.Steps[1].After = []int{1} },
		"step after no step":      func(s *job.Submission) { s.Job.Steps[1].After = []int{-1} },
		"negative demand":         func(s *job.Submission) { s.Job.Steps[0].Demand.CPU = -1 },
		"estimate that overflows": func(s *job.Submission) { s.Job.Steps[0].Estimate = 1 << 62 },
		"negative first task":     func(s *job.Submission) { s.First = -1 },
		"negative wait":           func(s *job.Submission) { s.Waited = -1 },
	} {
		s := validSubmission()
		change(&s)
		if got, ok := p.client.Submit(p.to, "centro", s, clock.Second).(job.Refused); !ok || got.Reason != job.Malformed {
			t.Errorf("%s: got %+v, want a refusal", name, got)
		}
	}
	if n := len(leader.submitted); n != 0 {
		t.Errorf("got %d malformed submissions at the control goroutine, want none", n)
	}
}

// Guards against a desired state or a list of endpoints that can never be fetched again from a peer: the
// connection for large answers has gone silent, and no heartbeat uses it.
func TestBulkCallAfterATimeoutUsesANewConnection(t *testing.T) {
	p := submit(t, &slowLeader{submitted: make(chan node.PeerSubmitted, 1)})
	if _, _, err := p.client.FetchEndpoints(p.to); err != nil {
		t.Fatal(err)
	}
	p.dialer.silence()
	attempts := 1
	for attempts < 4 {
		if _, _, err := p.client.FetchEndpoints(p.to); err == nil {
			break
		}
		attempts++
	}
	if got, want := attempts, 2; got > want {
		t.Errorf("got an answer to call %d, want one to call %d at the latest", got, want)
	}
}

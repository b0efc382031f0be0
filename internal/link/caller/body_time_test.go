package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// Guards against bodies that hold their buffer while they stand still, or without end, where no other body needs the
// room, and against a bound that refuses a body which pauses for less.
func TestBodiesEndInTime(t *testing.T) {
	for _, tt := range []struct {
		name       string
		pause      time.Duration
		parts      int
		wantStatus int
		wantAfter  time.Duration
	}{
		{"short pauses", 9 * time.Second, 4, http.StatusOK, 27 * time.Second},
		{"a long pause", 11 * time.Second, 2, http.StatusServiceUnavailable, 10 * time.Second},
		{"pauses without end", 9 * time.Second, 100, http.StatusServiceUnavailable, 60 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &local{jobs: make(chan node.JobArrived, 1)}
				listener := standin.NewPipeListener()
				s := NewServer(Config{
					Listener: listener, Local: l, Counter: &counts{byName: make(map[string]int)}, Clock: clock.NewManual(clock.Hour),
					Intake: intake.Config{MaxConnections: 1, MaxBodyBytes: 20_000, MinBodyRate: 16}, Limits: testLimits,
				})
				go func() {
					for j := range l.jobs {
						j.Ended <- job.Completed{}
					}
				}()
				go func() { _ = s.Serve() }()
				conn, err := listener.DialContext(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				sent := make(chan struct{})
				go func() {
					sendInParts(conn, testJob(), tt.parts, tt.pause)
					close(sent)
				}()

				begin := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if got := time.Since(begin); response.StatusCode != tt.wantStatus || got != tt.wantAfter {
					t.Errorf("got %d after %s, want %d after %s", response.StatusCode, got, tt.wantStatus, tt.wantAfter)
				}
				_ = conn.Close()
				<-sent
				s.Close()
				close(l.jobs)
			})
		})
	}
}

// sendInParts sends a job in parts of the same length, until the server closes the connection.
func sendInParts(conn net.Conn, body string, parts int, pause time.Duration) {
	if _, err := fmt.Fprintf(conn, "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
		return
	}
	for n := range parts {
		if n > 0 {
			time.Sleep(pause)
		}
		if _, err := conn.Write([]byte(body[n*len(body)/parts : (n+1)*len(body)/parts])); err != nil {
			return
		}
	}
}

// Guards against callers that read no answers and keep their connections, whatever the buffers of the kernel hold: a
// pipe has none. Guards also against a limit that counts while a connection waits for its next request.
func TestAnswersThatAreNotRead(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pause time.Duration
		want  bool
	}{
		{"read in time", 9 * time.Second, true},
		{"read too late", 11 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, counted := standin.NewPipeListener(), &counts{byName: make(map[string]int)}
				s := NewServer(Config{
					Listener: listener, Local: &local{}, Counter: counted, Clock: clock.NewManual(clock.Hour),
					Intake: intake.Config{MaxConnections: 1, MaxBodyBytes: 20_000, MinBodyRate: 16}, Limits: testLimits, AnswerTimeout: 10 * clock.Second,
				})
				go func() { _ = s.Serve() }()
				conn, err := listener.DialContext(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				reader := bufio.NewReader(conn)
				// The second request comes long after the first answer.
				for i := range 2 {
					if _, err := fmt.Fprint(conn, "GET /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					if i == 1 {
						time.Sleep(tt.pause)
					}
					response, err := http.ReadResponse(reader, nil)
					if got, want := err == nil, i == 0 || tt.want; got != want {
						t.Errorf("got error %v for answer %d, want an answer: %v", err, i, want)
					}
					if err == nil {
						_ = response.Body.Close()
					}
					time.Sleep(20 * time.Second)
				}
				if tt.want {
					// The server answers this by itself.
					if _, err := fmt.Fprint(conn, "GET\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusBadRequest {
						t.Errorf("got error %v for a malformed request, want status 400", err)
					}
				}
				_ = conn.Close()
				s.Close()
				synctest.Wait()
				if got, want := counted.of(answerUnread), map[bool]int{true: 0, false: 1}[tt.want]; got != want {
					t.Errorf("got %d answers counted as not read, want %d", got, want)
				}
			})
		})
	}
}

// countingListener counts the accepted connections that are open.
type countingListener struct {
	net.Listener
	open atomic.Int64
}

type countedConn struct {
	net.Conn
	close func()
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, close: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

func (c *countedConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// Guards against connections beyond the bound: one whose body had to give way stays open until its caller has been
// told so, which a caller delays that does not read, and another one is accepted meanwhile.
func TestConnectionsOfCutBodiesCount(t *testing.T) {
	const maxConnections, bodyBytes = 4, 12_000
	synctest.Test(t, func(t *testing.T) {
		pipe := standin.NewPipeListener()
		listener, now, counted := &countingListener{Listener: pipe}, clock.NewManual(clock.Hour), &counts{byName: make(map[string]int)}
		s := NewServer(Config{
			Listener: listener, Local: &local{}, Counter: counted, Clock: now,
			Intake: intake.Config{MaxConnections: maxConnections, MaxBodyBytes: bodyBytes + 1, MinBodyRate: 16}, Limits: testLimits,
		})
		go func() { _ = s.Serve() }()
		// send opens a connection and sends so many bytes of a body.
		send := func(n int) {
			conn, err := pipe.DialContext(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = fmt.Fprintf(conn, "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", n))
			}()
			synctest.Wait()
			if got := listener.open.Load(); got > maxConnections {
				t.Errorf("got %d open connections, want %d at most", got, maxConnections)
			}
		}
		// Two bodies that stop give way to one that needs all the room.
		send(1)
		send(1)
		now.Advance(2 * clock.Second)
		send(bodyBytes - 1)
		if got := counted.of(bodyCut); got != 2 {
			t.Errorf("got %d bodies cut, want 2", got)
		}
		for range maxConnections {
			send(0)
		}
		s.Close()
		synctest.Wait()
	})
}

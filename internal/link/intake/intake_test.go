package intake

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	testConnections = 10
	testBodyBytes   = link.Bytes(1 << 20)
	fullBody        = link.Bytes(256 << 10)
	testRate        = link.Rate(16)
)

func newIntake() *Intake {
	return New(Config{MaxConnections: testConnections, MaxBodyBytes: testBodyBytes, MinBodyRate: testRate})
}

// open opens a connection whose body has a buffer of the given size and has just arrived in part.
func open(t *testing.T, i *Intake, buffer link.Bytes, now clock.Millis) *Connection {
	t.Helper()
	c, _ := i.Open(now)
	if c == nil || !i.Begin(c) || !i.BeginBody(c, now) {
		t.Fatal("got no connection, want one")
	}
	if _, ok := i.Grow(c, buffer, now); !ok {
		t.Fatalf("got no room for %d bytes, want it", buffer)
	}
	i.Received(c, buffer, now)
	return c
}

// Guards against crowds of bodies that take more memory than they may: those that arrive at their rate are kept, and
// new ones are refused; those that have stopped, or go on with a byte now and then, give way to new ones.
func TestStoppedBodiesGiveWay(t *testing.T) {
	for _, tt := range []struct {
		name string
		// bytes are how many of each body of the crowd arrive every 100 ms.
		bytes    link.Bytes
		wantRoom bool
		wantCut  int
	}{
		{"arriving", 1700, false, 0},
		{"stopped", 0, true, 1},
		{"a byte now and then", 1, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			i := newIntake()
			crowd := []*Connection{open(t, i, fullBody, 0), open(t, i, fullBody, 1), open(t, i, fullBody, 2)}
			now := clock.Millis(2)
			late, _ := i.Open(now)
			i.BeginBody(late, now)
			if given, ok := i.Grow(late, fullBody, now); ok || len(given) > 0 {
				t.Errorf("got room %v for a fourth body, %d cut, want none: a quarter is kept for small ones", ok, len(given))
			}
			for range 30 {
				now += 100
				for _, c := range crowd {
					if tt.bytes > 0 {
						i.Received(c, tt.bytes, now)
					}
				}
				i.Received(late, fullBody, now)
			}
			given, ok := i.Grow(late, fullBody, now)
			if ok != tt.wantRoom || len(given) != tt.wantCut {
				t.Errorf("got room %v, %d cut after 3 s, want %v, %d", ok, len(given), tt.wantRoom, tt.wantCut)
			}
			if tt.wantCut > 0 && given[0] != crowd[0] {
				t.Error("got another body cut, want that which has been slow for longest")
			}
			if got := i.Buffered(); got > testBodyBytes {
				t.Errorf("got buffers of %d bytes, want %d at most", got, testBodyBytes)
			}
		})
	}
}

// Guards against a crowd of large bodies that keeps small ones from being read.
func TestSmallBodiesHaveRoomBesideLargeOnes(t *testing.T) {
	i := newIntake()
	for range 3 {
		open(t, i, fullBody, 0)
	}
	for range 6 {
		open(t, i, smallBodyBytes, 0)
	}
}

// Guards against connections beyond the bound, and against a bound that cuts a request that runs or a body that
// arrives for a new connection.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	i := newIntake()
	var all []*Connection
	for now := range clock.Millis(testConnections) {
		c, _ := i.Open(now)
		all = append(all, c)
	}
	i.Begin(all[0])
	opened, given := i.Open(100)
	if opened == nil || given != all[1] {
		t.Errorf("got connection %v for %v, want one for that which has waited longest", opened, given)
	}
	if i.Begin(all[1]) {
		t.Error("got a request on a connection that was cut, want none")
	}
	i.Begin(opened)
	for _, c := range all[2:] {
		i.Begin(c)
	}
	if c, given := i.Open(101); c != nil || given != nil {
		t.Errorf("got connection %v for %v while all run, want none", c, given)
	}
	i.BeginBody(all[2], 101)
	if c, _ := i.Open(102); c != nil {
		t.Errorf("got connection %v while a body arrives, want none", c)
	}
	if c, given := i.Open(102 + rateWindow); c == nil || given != all[2] {
		t.Errorf("got connection %v for %v, want one for the body that has stopped", c, given)
	}
	i.End(all[3], 103)
	if c, given := i.Open(104); c == nil || given != all[3] {
		t.Errorf("got connection %v for %v, want one for that which has been answered", c, given)
	}
	if got := i.Connections(); got != testConnections {
		t.Errorf("got %d connections, want %d", got, testConnections)
	}
}

// Guards against buffers that still count after their body has been read, refused or cut, or its connection closed.
func TestBuffersAreReleased(t *testing.T) {
	i := newIntake()
	read, closed, stopped := open(t, i, fullBody, 0), open(t, i, fullBody, 0), open(t, i, fullBody, 0)
	if !i.EndBody(read) {
		t.Error("got a body that was cut, want it read")
	}
	i.Close(closed)
	i.Close(closed)
	late := open(t, i, fullBody, 5*clock.Second)
	open(t, i, fullBody, 5*clock.Second)
	open(t, i, fullBody, 5*clock.Second)
	if i.EndBody(stopped) {
		t.Error("got a body that was read, want it cut")
	}
	if _, ok := i.Grow(stopped, fullBody, 5*clock.Second); ok {
		t.Error("got room for a body that was cut, want none")
	}
	i.Close(stopped)
	i.End(late, 6*clock.Second)
	if got, want := i.Buffered(), 2*fullBody; got != want {
		t.Errorf("got buffers of %d bytes, want %d", got, want)
	}
}

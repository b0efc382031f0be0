package daemon

import (
	"net"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/link/peer"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// readChanges has the changes of a read of the given age.
type readChanges struct{ age clock.Millis }

func (c *readChanges) Since(after store.Revision) (store.Snapshot, clock.Millis, bool) {
	return store.Snapshot{Version: after + 1}, c.age, true
}

// Guards against a list that another VM has read too long ago: its age counts as that of the list, and one that is too
// old for the role of the VM is not used, nor is the other VM asked again for a while.
func TestOldReadsOfAnotherVMAreNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clocks, changes := clock.NewManual(clock.Hour), &readChanges{}
	server, err := peer.NewServer(peer.ServerConfig{Listener: listener, Local: newLoop(nil, clocks), SubmitTimeout: clock.Second, ControlTimeout: clock.Second, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	client := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{}, Timeout: 5 * clock.Second})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		<-served
	})
	d := &Daemon{config: Config{Clock: clocks}, loop: newLoop(nil, clocks), meter: meter.New(), peers: client, maxListAge: 1500}
	d.loop.endpointsReader.Store(&shard.Member{Incarnation: "peer-1", Address: listener.Addr().String()})
	for _, tt := range []struct {
		name string
		role int32
		age  clock.Millis
		want bool
	}{
		{"leader", roleLeader, 975, true},
		{"leader, old", roleLeader, 976, false},
		{"successor", roleSuccessor, successorRelayMaxAge, true},
		{"successor, old", roleSuccessor, successorRelayMaxAge + 1, false},
	} {
		r := &relay{daemon: d}
		d.loop.role.Store(tt.role)
		changes.age = tt.age
		s, sentAt, ok := r.follow(6)
		if ok != tt.want || ok && (s.Version != 7 || sentAt != clocks.Now()-tt.age) {
			t.Errorf("%s: got version %d of %d ms ago, used %v, want used %v", tt.name, s.Version, clocks.Now()-sentAt, ok, tt.want)
		}
		changes.age = 0
		if _, _, again := r.follow(6); again != tt.want {
			t.Errorf("%s: got the other VM asked again at once %v, want %v", tt.name, again, tt.want)
		}
	}
}

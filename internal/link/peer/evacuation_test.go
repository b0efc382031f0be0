package peer

import (
	"net"
	"reflect"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// echoingVM answers with the evacuations that it was last told.
type echoingVM struct{ told *node.EvacuationReport }

func (v *echoingVM) Post(e node.Event) bool {
	switch e := e.(type) {
	case node.PeerHeartbeat:
		v.told = e.Request.Evacuations
		e.Reply <- node.HeartbeatReply{Evacuations: v.told}
	case node.PeerStateRequested:
		e.Reply <- node.DeploymentState{Evacuations: v.told}
	default:
	}
	return true
}

func (v *echoingVM) Desired() *queue.State                   { return nil }
func (v *echoingVM) Endpoints() ([]endpoint.Endpoint, int64) { return nil, 0 }

// Guards against evacuations, or their absence, that are lost between VMs.
func TestEvacuationsBetweenVMs(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(ServerConfig{Listener: listener, Local: &echoingVM{}, SubmitTimeout: clock.Second, ControlTimeout: clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	client := NewClient(ClientConfig{Dialer: &silencingDialer{}, Timeout: 2 * clock.Second})
	t.Cleanup(client.Close)
	to := shard.Member{Incarnation: "vm-2", Address: listener.Addr().String()}
	for _, want := range []*node.EvacuationReport{
		nil,
		{Version: 7, Age: 30},
		{Version: 8, Since: map[datacentre.ID]evacuation.Revision{"sur": 3, "norte": 8}, Age: 1},
	} {
		reply, _, err := client.SendHeartbeat(to, node.HeartbeatRequest{Evacuations: want}, 0)
		if err != nil || !reflect.DeepEqual(reply.Evacuations, want) {
			t.Errorf("got %+v, %v in an answer to a heartbeat, want %+v", reply.Evacuations, err, want)
		}
		state, err := client.FetchDeploymentState(to.Address)
		if err != nil || !reflect.DeepEqual(state.Evacuations, want) {
			t.Errorf("got %+v, %v from a seed, want %+v", state.Evacuations, err, want)
		}
	}
}

package peer

import (
	"context"
	"net"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// fakeHandler answers every call with the same results.
type fakeHandler struct {
	Handler
	results [][]byte
}

func (f fakeHandler) SubmitLocal(context.Context, contract.Submission, clock.Millis) contract.Answer {
	return contract.Complete{Results: f.results}
}

func (f fakeHandler) AskLocal(context.Context, contract.SubmissionID, owner.ID, clock.Millis) contract.Answer {
	return contract.Complete{Results: f.results}
}

// TestMessageSize guards against a peer that makes this VM read a message of unlimited size.
func TestMessageSize(t *testing.T) {
	large := make([]byte, maxMessageBytes)
	cases := []struct {
		name    string
		payload []byte
		result  []byte
		ok      bool
	}{
		{"small", []byte("p"), []byte("r"), true},
		{"request too large", large, []byte("r"), false},
		{"answer too large", []byte("p"), large, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s, err := NewServer(ServerConfig{Listener: listener, Handler: fakeHandler{results: [][]byte{tc.result}}})
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve() }()
			defer s.Close()
			c := NewClient(ClientConfig{Dialer: &net.Dialer{}})
			defer c.Close()
			to := vm.VM{Incarnation: "b-1", PeerAddress: listener.Addr().String()}
			submission := contract.Submission{ID: testRecordID(), Tasks: []contract.Task{{Payload: tc.payload}}}
			// The second call checks that the connection is still usable or was replaced.
			for range 2 {
				if _, err := c.Submit(context.Background(), to, submission, 0); (err == nil) != tc.ok {
					t.Errorf("call: got error %v, want success: %t", err, tc.ok)
				}
			}
		})
	}
}

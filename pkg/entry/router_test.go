package entry

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// fakePeers returns fixed answers; a nil answer means that the peer cannot be reached.
type fakePeers struct{ issuer, witness contract.Answer }

func (f fakePeers) reply(a contract.Answer) (contract.Answer, error) {
	if a == nil {
		return nil, errors.New("peer is unreachable")
	}
	return a, nil
}

func (f fakePeers) Submit(context.Context, vm.VM, contract.Submission, clock.Millis) (contract.Answer, error) {
	return f.reply(f.issuer)
}

func (f fakePeers) Ask(context.Context, vm.VM, contract.SubmissionID, owner.ID, clock.Millis) (contract.Answer, error) {
	return f.reply(f.issuer)
}

func (f fakePeers) Cancel(context.Context, vm.VM, contract.SubmissionID, owner.ID) (contract.Answer, error) {
	return f.reply(f.issuer)
}

func (f fakePeers) AskWitness(context.Context, vm.VM, contract.Query) (contract.Answer, error) {
	return f.reply(f.witness)
}

type discardExecutor struct{}

func (discardExecutor) Execute(Action) {}

func newTestRouter(peers Peers) (*Router, *Loop, *Control) {
	c := NewControl(ControlConfig{DataCentre: "dc", Self: "a-1", Key: []byte("k"), Dispatch: dispatch.Config{MaxQueuedTasks: 10}})
	l := NewLoop(LoopConfig{Control: c, Clock: clock.NewManual(testStart), Executor: discardExecutor{}, Mailbox: 8, TickInterval: 50})
	r := NewRouter(RouterConfig{Self: "a-1", Loop: l, Peers: peers, PeerTimeout: clock.Second})
	roster := vm.NewRoster(vm.RosterConfig{Self: "a-1", VMs: []vm.VM{{Incarnation: "a-1"}, {Incarnation: "b-1"}, {Incarnation: "c-1"}}})
	r.SetPeers(PeerSnapshot{Roster: roster})
	c.Handle(testStart, RosterChanged{Roster: roster})
	c.Handle(testStart, OwnersChanged{Owners: []owner.Owner{{ID: testOwner, Classes: []owner.Class{{Name: "any"}}}}})
	return r, l, c
}

// TestWaitEnds guards against the answer Running for a submission that was not accepted, when
// the caller's wait ends before the control goroutine handles the event.
func TestWaitEnds(t *testing.T) {
	reserve := func(c *Control) contract.SubmissionID { return c.idGenerator.Reserve(testStart, testOwner, "b-1") }
	cases := []struct {
		name   string
		submit func(c *Control) contract.Submission
		want   string
	}{
		{"accepted", func(c *Control) contract.Submission { return job(reserve(c), 1) }, "contract.Running"},
		{"refused", func(c *Control) contract.Submission {
			s := job(reserve(c), 1)
			s.Class = "none"
			return s
		}, "contract.Refused"},
		{"of another owner", func(c *Control) contract.Submission {
			s := job(reserve(c), 1)
			s.Owner = "other"
			return s
		}, "contract.NotFound"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, l, c := newTestRouter(fakePeers{})
			s := tc.submit(c)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			answers := make(chan contract.Answer)
			go func() { answers <- r.SubmitLocal(ctx, s, clock.Minute) }()
			// The loop starts only after the caller's context has ended.
			running, stop := context.WithCancel(context.Background())
			defer stop()
			go func() { _ = l.Run(running) }()
			if got := kindOf(<-answers); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestForward guards against a final answer that is not returned although the witness has it,
// and against a caller that waits for a loop that has stopped.
func TestForward(t *testing.T) {
	undecided := contract.CannotTellYet{Reason: "r"}
	complete := contract.Complete{}
	cases := []struct {
		name            string
		issuer, witness contract.Answer
		stopped         bool
		want            string
	}{
		{"issuer answers", complete, nil, false, "contract.Complete"},
		{"issuer cannot tell, witness can", undecided, complete, false, "contract.Complete"},
		{"issuer cannot tell, witness unreachable", undecided, nil, false, "contract.CannotTellYet"},
		{"issuer unreachable, witness answers", nil, complete, false, "contract.Complete"},
		{"neither answers", nil, nil, false, "contract.CannotTellYet"},
		{"neither answers, control stopped", nil, nil, true, "contract.CannotTellYet"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, l, _ := newTestRouter(fakePeers{issuer: tc.issuer, witness: tc.witness})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tc.stopped {
				cancel()
			}
			go func() { _ = l.Run(ctx) }()
			id := contract.SubmissionID{DataCentre: "dc", Issuer: "b-1", Witness: "c-1", IssuedAt: testStart}
			if got := kindOf(r.Ask(context.Background(), id, testOwner, 0)); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
		})
	}
}

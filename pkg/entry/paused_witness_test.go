package entry

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// TestPausedWitnessDoesNotFence guards against a witness that was paused and takes the time in
// which it could handle no message for a silence of the issuer.
func TestPausedWitnessDoesNotFence(t *testing.T) {
	const pause = 10 * clock.Second
	self := vm.VM{Incarnation: "b-1", DataCentre: "centro", PeerAddress: "b:1", Size: 1}
	issuer := vm.VM{Incarnation: "a-1", DataCentre: "centro", PeerAddress: "a:1", Size: 1}
	control := NewControl(ControlConfig{DataCentre: self.DataCentre, Self: self.Incarnation, VM: self, Now: testStart, Key: []byte("k"), AttemptTimeout: 30 * clock.Second})
	id := contract.SubmissionID{DataCentre: issuer.DataCentre, Issuer: issuer.Incarnation, Witness: self.Incarnation, IssuedAt: testStart, Sequence: 1}
	statusOf := func(now clock.Millis, batch contract.BatchNumber) contract.RecordStatus {
		t.Helper()
		for _, a := range control.Handle(now, RecordsReceived{Waiter: 1, Issuer: issuer.Incarnation, Batch: batch, Records: []contract.Record{
			contract.StartRecord{ID: id, Owner: testOwner, TaskCount: 1, Tasks: []contract.TaskIndex{0}},
		}}) {
			if r, ok := a.(ReplyTo); ok {
				return r.Reply.(RecordsReply).Statuses[0]
			}
		}
		t.Fatal("got no reply to the records, want one")
		return 0
	}
	control.Handle(testStart, Tick{})
	if got, want := statusOf(testStart, 1), contract.RecordAccepted; got != want {
		t.Fatalf("before the pause: got status %v, want %v", got, want)
	}
	other := id
	other.Sequence = 2
	control.Handle(testStart+pause, WitnessAnswerRequested{Waiter: 2, ID: other, Owner: testOwner})
	if got, want := statusOf(testStart+pause+1, 2), contract.RecordAccepted; got != want {
		t.Errorf("after the pause: got status %v, want %v", got, want)
	}
}

// TestPauseIsNoProofOfLoss guards against a VM that was paused and takes the time of its pause for
// a silence of an issuer without a row.
func TestPauseIsNoProofOfLoss(t *testing.T) {
	const absentBefore = 10 * clock.Second
	self := vm.VM{Incarnation: "b-1", DataCentre: "centro", PeerAddress: "b:1", Size: 1}
	issuer := vm.VM{Incarnation: "a-1", DataCentre: "centro", PeerAddress: "a:1", Size: 1}
	control := NewControl(ControlConfig{DataCentre: self.DataCentre, Self: self.Incarnation, VM: self, Now: testStart, Key: []byte("k"), AttemptTimeout: 30 * clock.Second})
	control.Handle(testStart, RowsRead{Rows: []vm.Row{{VM: self, Revision: 1}, {VM: issuer, Revision: 1}}, RequestedAt: testStart})
	now := testStart
	pass := func(duration clock.Millis) {
		for end := now + duration; now < end; now += clock.Second {
			control.Handle(now, RowsRead{Rows: []vm.Row{{VM: self, Revision: 1}}, RequestedAt: now})
			control.Handle(now, Tick{})
		}
	}
	check := func(when, want string) {
		t.Helper()
		id := contract.SubmissionID{DataCentre: issuer.DataCentre, Issuer: issuer.Incarnation, Witness: vm.None, IssuedAt: testStart, Sequence: 1}
		for _, a := range control.Handle(now, OrphanAnswerRequested{Waiter: 1, ID: id}) {
			if r, ok := a.(ReplyTo); ok {
				if got := kindOf(r.Reply.(AnswerReply).Answer); got != want {
					t.Errorf("%s: got answer %s, want %s", when, got, want)
				}
				return
			}
		}
		t.Fatalf("%s: got no answer, want one", when)
	}
	pass(absentBefore)
	now += 10 * contract.LostTimeout
	pass(clock.Second)
	check("after the pause", "contract.CannotTellYet")
	pass(contract.LostTimeout)
	check("after a minute without the issuer", "contract.Failed")
}

package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// TestOrphanAnswers guards against a final answer for an id whose issuer may still run it: a VM
// that is missing from a roster is not proved to be lost, and the time of issue is a time on the
// issuer's clock.
func TestOrphanAnswers(t *testing.T) {
	self := vm.VM{Incarnation: "centro0-1", DataCentre: "centro", PeerAddress: "centro0:1", Size: 1}
	issuer := vm.VM{Incarnation: "sur0-1", DataCentre: "sur", PeerAddress: "sur0:1", Size: 1}
	rows := func(vms ...vm.VM) RowsRead {
		var e RowsRead
		for _, v := range vms {
			e.Rows = append(e.Rows, vm.Row{VM: v, Revision: 1})
		}
		return e
	}
	cases := []struct {
		name string
		// read is what each read of the table returns, a second apart; nil means that the
		// platform does not answer.
		read *RowsRead
		// lost is the time at which the issuer's row is deleted; 0 means never.
		lost clock.Millis
		// outage is how long the platform has not answered at the end, and delay the age of a
		// read when it arrives.
		outage, delay clock.Millis
		// asked is how long the id has been asked for, and age how long ago it was issued by
		// this VM's clock.
		asked, age clock.Millis
		want       string
	}{
		{"unknown issuer that has just started", new(rows(self)), 0, 0, 0, 0, 100, "contract.CannotTellYet"},
		{"unknown issuer while the platform does not answer", nil, 0, 0, 0, 2 * contract.LostTimeout, 2 * contract.LostTimeout, "contract.CannotTellYet"},
		{"unknown issuer that stays unknown", new(rows(self)), 0, 0, 0, 2 * contract.LostTimeout, 2 * contract.LostTimeout, "contract.Failed"},
		{"unknown issuer, last read before the first question", new(rows(self)), 0, 2*contract.LostTimeout + 1, 0, 2 * contract.LostTimeout, 2 * contract.LostTimeout, "contract.CannotTellYet"},
		{"unknown issuer, last read soon after the first question", new(rows(self)), 0, 2*contract.LostTimeout - clock.Second, 0, 2 * contract.LostTimeout, 2 * contract.LostTimeout, "contract.CannotTellYet"},
		{"unknown issuer, reads that arrive late", new(rows(self)), 0, 0, 2 * contract.LostTimeout, 2 * contract.LostTimeout, 2 * contract.LostTimeout, "contract.CannotTellYet"},
		{"present issuer whose clock is behind", new(rows(self, issuer)), 0, 0, 0, 0, contract.RetentionWindow + clock.Minute, "contract.CannotTellYet"},
		{"unknown issuer whose clock is behind", new(rows(self)), 0, 0, 0, 0, contract.RetentionWindow + clock.Minute, "contract.CannotTellYet"},
		{"lost issuer whose clock was behind", new(rows(self, issuer)), 2 * contract.LostTimeout, 0, 0, 0, contract.RetentionWindow + clock.Minute, "contract.Failed"},
		{"issuer without a row for a short time", new(rows(self, issuer)), 10 * clock.Second, 0, 0, 0, 30 * clock.Second, "contract.CannotTellYet"},
		{"issuer without a row for a long time", new(rows(self, issuer)), 2 * contract.LostTimeout, 0, 0, 0, 3 * contract.LostTimeout, "contract.Failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const uptime = 10 * clock.Minute
			end := testStart + uptime
			control := NewControl(ControlConfig{DataCentre: self.DataCentre, Self: self.Incarnation, VM: self, Now: testStart, Key: []byte("k"), AttemptTimeout: 30 * clock.Second})
			id := contract.SubmissionID{DataCentre: issuer.DataCentre, Issuer: issuer.Incarnation, Witness: vm.None, IssuedAt: end - c.age, Sequence: 1}
			var got contract.Answer
			for now := testStart; now <= end; now += clock.Second {
				control.Handle(now, Tick{})
				switch {
				case c.read == nil || now > end-c.outage:
				case c.lost > 0 && now > end-c.lost:
					read := rows(self)
					read.RequestedAt = now - c.delay
					control.Handle(now, read)
				default:
					read := *c.read
					read.RequestedAt = now - c.delay
					control.Handle(now, read)
				}
				if now < end-c.asked {
					continue
				}
				for _, a := range control.Handle(now, OrphanAnswerRequested{Waiter: 1, ID: id}) {
					if r, ok := a.(ReplyTo); ok {
						got = r.Reply.(AnswerReply).Answer
					}
				}
				if now < end && c.want == "contract.Failed" {
					continue
				}
				if kindOf(got) != c.want {
					t.Fatalf("got answer %#v after %d ms, want %s", got, now-testStart, c.want)
				}
			}
		})
	}
}

// TestOrphanAnswerNeedsAllRows guards against a VM that counts as absent because the roster has no
// room for its row.
func TestOrphanAnswerNeedsAllRows(t *testing.T) {
	self := vm.VM{Incarnation: "centro0-1", DataCentre: "centro", PeerAddress: "centro0:1", Size: 1}
	issuer := vm.VM{Incarnation: "sur0-1", DataCentre: "sur", PeerAddress: "sur0:1", Size: 1}
	const moreThanMembers = 5000
	crowded := RowsRead{Rows: []vm.Row{{VM: self, Revision: 1}}}
	for i := range moreThanMembers {
		id := fmt.Sprintf("norte%d", i)
		crowded.Rows = append(crowded.Rows, vm.Row{VM: vm.VM{Incarnation: vm.NewIncarnation(vm.ID(id), "1"), DataCentre: "norte", PeerAddress: id + ":1", Size: 1}, Revision: 1})
	}
	crowded.Rows = append(crowded.Rows, vm.Row{VM: issuer, Revision: 1})
	control := NewControl(ControlConfig{DataCentre: self.DataCentre, Self: self.Incarnation, VM: self, Now: testStart, Key: []byte("k"), AttemptTimeout: 30 * clock.Second})
	question := OrphanAnswerRequested{Waiter: 1, ID: contract.SubmissionID{DataCentre: issuer.DataCentre, Issuer: issuer.Incarnation, Witness: vm.None, IssuedAt: testStart, Sequence: 1}}
	end := testStart + 2*contract.LostTimeout
	control.Handle(testStart, question)
	for now := testStart; now <= end; now += clock.Second {
		control.Handle(now, Tick{})
	}
	crowded.RequestedAt = end
	control.Handle(end, crowded)
	for _, a := range control.Handle(end, question) {
		if r, ok := a.(ReplyTo); ok {
			if got, want := kindOf(r.Reply.(AnswerReply).Answer), "contract.CannotTellYet"; got != want {
				t.Errorf("got answer %s, want %s", got, want)
			}
			return
		}
	}
	t.Error("got no answer, want one")
}

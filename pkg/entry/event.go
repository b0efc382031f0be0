package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// WaiterID identifies a traffic goroutine that waits for a reply of the control goroutine.
type WaiterID uint64

// Event is a message of a traffic goroutine or a timer to the control goroutine.
type Event interface{ isEvent() }

// ReserveIDs asks for new submission ids. Reply: ReservedIDs.
type ReserveIDs struct {
	Waiter WaiterID
	Owner  owner.ID
	Count  int
}

// Submitted carries a submission whose id this VM issued. Reply: AnswerReply.
type Submitted struct {
	Waiter     WaiterID
	Submission contract.Submission
	// Wait requests the final answer instead of Running.
	Wait bool
}

// AnswerRequested asks for the answer to an id that this VM issued. Reply: AnswerReply.
type AnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
	Wait   bool
}

// Cancelled asks to drop the tasks of an id that have not started. Reply: AnswerReply.
type Cancelled struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
}

// WaiterCancelled reports that a traffic goroutine no longer waits for the end of a submission
// or of the shutdown. If it has had no reply yet, it receives Running or an undrained
// ShutdownReply.
type WaiterCancelled struct{ Waiter WaiterID }

// AttemptEnded reports the result of a send to an endpoint.
type AttemptEnded struct {
	Attempt contract.AttemptID
	Start   dispatch.Start
	Result  contract.AttemptResult
}

// RecordsAnswered reports the witness's reply to a batch. Statuses are in the order of the
// batch, and nil if there was no reply.
type RecordsAnswered struct {
	Witness  vm.Incarnation
	Batch    contract.BatchNumber
	Statuses []contract.RecordStatus
}

// RecordsReceived carries records of a peer that has chosen this VM as its witness.
// Reply: RecordsReply.
type RecordsReceived struct {
	Waiter  WaiterID
	Issuer  vm.Incarnation
	Batch   contract.BatchNumber
	Records []contract.Record
}

// PeerSeen reports that another entry VM made contact.
type PeerSeen struct{ Incarnation vm.Incarnation }

// PairRowDecided reports the content of the row of a pair; PairRowUnknown causes a retry.
type PairRowDecided struct {
	Pair contract.Pair
	Row  contract.PairRow
}

// OrphanAnswerRequested asks for the answer to an id whose issuer and witness cannot be
// reached. Reply: AnswerReply.
type OrphanAnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
}

// ShutdownBegun stops the acceptance of submissions. The reply, ShutdownReply, is sent when no
// submission runs and the witnesses have all answers.
type ShutdownBegun struct{ Waiter WaiterID }

// HandOverAnswered reports the witness's reply to a part of the hand-over.
type HandOverAnswered struct {
	Witness  vm.Incarnation
	Accepted bool
}

// HandOverReceived carries the answers of an issuer outside of its regular batches. Reply:
// RecordsReply.
type HandOverReceived struct {
	Waiter  WaiterID
	Issuer  vm.Incarnation
	Records []contract.Record
	// Last means that the issuer shuts down and starts no more tasks.
	Last bool
}

// WitnessAnswerRequested asks this VM, as the witness, for the answer to an id whose issuer
// cannot be reached. Reply: AnswerReply.
type WitnessAnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
	// Digest is that of a retransmitted submission; zero requests only the answer.
	Digest contract.Digest
}

// RosterChanged carries a new roster.
type RosterChanged struct{ Roster *vm.Roster }

// EndpointsListed carries the endpoints of this VM's data centre and which of them are leaving.
type EndpointsListed struct {
	Endpoints []datacentre.Endpoint
	Leaving   []datacentre.EndpointID
}

// OwnersChanged carries the owners of a bundle that came into force.
type OwnersChanged struct{ Owners []owner.Owner }

// BundleOffered carries a verified bundle. Reply: BundleVerdict.
type BundleOffered struct {
	Waiter    WaiterID
	Candidate bundle.Candidate
}

// SignOffsRead carries the sign-offs of versions before the one in force.
type SignOffsRead struct{ Signed []bundle.SignedVersion }

// Tick triggers the periodic work.
type Tick struct{}

func (ReserveIDs) isEvent()             {}
func (Submitted) isEvent()              {}
func (AnswerRequested) isEvent()        {}
func (Cancelled) isEvent()              {}
func (WaiterCancelled) isEvent()        {}
func (AttemptEnded) isEvent()           {}
func (RecordsAnswered) isEvent()        {}
func (RecordsReceived) isEvent()        {}
func (WitnessAnswerRequested) isEvent() {}
func (RosterChanged) isEvent()          {}
func (EndpointsListed) isEvent()        {}
func (OwnersChanged) isEvent()          {}
func (Tick) isEvent()                   {}
func (PeerSeen) isEvent()               {}
func (PairRowDecided) isEvent()         {}
func (OrphanAnswerRequested) isEvent()  {}
func (ShutdownBegun) isEvent()          {}
func (HandOverAnswered) isEvent()       {}
func (HandOverReceived) isEvent()       {}
func (BundleOffered) isEvent()          {}
func (SignOffsRead) isEvent()           {}

package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// WaiterID names a traffic goroutine that waits for a reply of the control goroutine.
type WaiterID uint64

// Event is what traffic goroutines and timers report to the control goroutine.
type Event interface{ isEvent() }

// ReserveIDs asks for new submission ids. Reply: IDs.
type ReserveIDs struct {
	Waiter WaiterID
	Owner  owner.ID
	Count  int
}

// Submitted brings a submission whose id this VM issued. Reply: AnswerReply.
type Submitted struct {
	Waiter     WaiterID
	Submission contract.Submission
	// Wait asks for the final answer instead of Running.
	Wait bool
}

// AnswerRequested asks for the answer of an id that this VM issued. Reply: AnswerReply.
type AnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
	Wait   bool
}

// Cancelled asks to drop the tasks that have not started. Reply: AnswerReply.
type Cancelled struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
}

// WaiterCancelled says that a traffic goroutine no longer waits for the end of a submission.
// If it still has no reply it hears Running. Reply: AnswerReply.
type WaiterCancelled struct{ Waiter WaiterID }

// AttemptEnded reports how a send to an endpoint ended.
type AttemptEnded struct {
	Attempt contract.AttemptID
	Start   dispatch.Start
	Result  contract.AttemptResult
}

// RecordsAnswered reports the witness's reply to a batch, in the order of the batch.
// Without a reply, Statuses is nil.
type RecordsAnswered struct {
	Witness  vm.Incarnation
	Batch    contract.BatchNumber
	Statuses []contract.RecordStatus
}

// RecordsReceived brings records of a peer that has chosen this VM as its witness.
// Reply: RecordsReply.
type RecordsReceived struct {
	Waiter  WaiterID
	Issuer  vm.Incarnation
	Batch   contract.BatchNumber
	Records []contract.Record
}

// PeerSeen says that another entry VM made contact.
type PeerSeen struct{ Incarnation vm.Incarnation }

// PairRowDecided reports the content of the row of a pair; PairRowUnknown asks for
// another try.
type PairRowDecided struct {
	Pair contract.Pair
	Row  contract.PairRow
}

// OrphanAnswerRequested asks for an id when neither its issuer nor its witness can be reached.
// Reply: AnswerReply.
type OrphanAnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
}

// ShutdownBegun stops new submissions. The reply, ShutdownReply, comes when nothing
// runs any more and the witnesses have all answers.
type ShutdownBegun struct{ Waiter WaiterID }

// HandOverAnswered reports the witness's reply to a part of the hand-over.
type HandOverAnswered struct {
	Witness  vm.Incarnation
	Accepted bool
}

// HandOverReceived brings the answers of an issuer that shuts down. Reply: RecordsReply.
type HandOverReceived struct {
	Waiter  WaiterID
	Issuer  vm.Incarnation
	Records []contract.Record
	// Last says that the issuer starts nothing more.
	Last bool
}

// WitnessAnswerRequested asks this VM as the witness about an id whose issuer cannot be reached.
// Reply: AnswerReply.
type WitnessAnswerRequested struct {
	Waiter WaiterID
	ID     contract.SubmissionID
	Owner  owner.ID
	// Digest is that of a submission that is sent again; zero asks for the answer alone.
	Digest contract.Digest
}

// RosterChanged brings a new roster.
type RosterChanged struct{ Roster *vm.Roster }

// EndpointsListed brings the endpoints of this VM's data centre, and which of them leave.
type EndpointsListed struct {
	Endpoints []datacentre.Endpoint
	Leaving   []datacentre.EndpointID
}

// OwnersChanged brings the owners of a bundle that came into force.
type OwnersChanged struct{ Owners []owner.Owner }

// BundleOffered brings a verified bundle. Reply: BundleVerdict.
type BundleOffered struct {
	Waiter    WaiterID
	Candidate bundle.Candidate
}

// SignOffsRead brings the sign-offs of versions before the one in force.
type SignOffsRead struct{ Signed []bundle.SignedVersion }

// Tick says that time has passed.
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

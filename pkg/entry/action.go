package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Action is an instruction of the control goroutine to the traffic goroutines.
type Action interface{ isAction() }

// ReplyTo answers a waiting traffic goroutine.
type ReplyTo struct {
	Waiter WaiterID
	Reply  Reply
}

// RunAttempt sends a task to an endpoint. It completes with AttemptEnded.
type RunAttempt struct {
	Attempt  contract.AttemptID
	Start    dispatch.Start
	Endpoint datacentre.Endpoint
	Payload  []byte
	Timeout  clock.Millis
	// Accepted is when the submission was accepted; Trace is its parent span.
	Accepted clock.Millis
	Trace    contract.TraceParent
}

// SendRecords sends a batch of records to the witness. It completes with RecordsAnswered.
type SendRecords struct {
	Witness vm.VM
	Batch   contract.BatchNumber
	Records []contract.Record
}

// SendHandOver sends a part of the unreported answers to the witness. It completes with
// HandOverAnswered.
type SendHandOver struct {
	Witness vm.VM
	Records []contract.Record
	Last    bool
}

// WritePairRow creates the row of a pair unless it exists, and reads it back when the
// outcome of the write is unknown. It completes with PairRowDecided.
type WritePairRow struct {
	Pair contract.Pair
	Row  contract.PairRow
}

func (ReplyTo) isAction()      {}
func (RunAttempt) isAction()   {}
func (SendRecords) isAction()  {}
func (SendHandOver) isAction() {}
func (WritePairRow) isAction() {}

// PublishBundle passes the bundle in force to the traffic goroutines. Executors carry it
// out synchronously, so that bundles are published in the order of the decisions.
type PublishBundle struct{ Bundle *bundle.Bundle }

func (PublishBundle) isAction() {}

// Reply is the result that a waiting traffic goroutine receives: ReservedIDs, AnswerReply,
// RecordsReply, ShutdownReply, BundleVerdict, UsageReply, HeartbeatReply, LoansGranted or
// LoanReturnsHandled.
type Reply interface{ isReply() }

// ReservedIDs carries reserved ids.
type ReservedIDs struct{ IDs []contract.SubmissionID }

// AnswerReply carries the answer to a submission.
type AnswerReply struct{ Answer contract.Answer }

// RecordsReply carries the status of each record of a batch.
type RecordsReply struct{ Statuses []contract.RecordStatus }

// ShutdownReply reports whether all work has ended and was handed over.
type ShutdownReply struct{ Drained bool }

func (ShutdownReply) isReply() {}
func (ReservedIDs) isReply()   {}
func (AnswerReply) isReply()   {}
func (RecordsReply) isReply()  {}

// BundleVerdict carries the decision on an offered bundle.
type BundleVerdict struct{ Verdict bundle.Verdict }

func (BundleVerdict) isReply() {}

package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Action is what the control goroutine wants done by traffic goroutines.
type Action interface{ isAction() }

// ReplyTo answers a waiting traffic goroutine.
type ReplyTo struct {
	Waiter WaiterID
	Reply  Reply
}

// RunAttempt sends a task to an endpoint. Ends with AttemptEnded.
type RunAttempt struct {
	Attempt  contract.AttemptID
	Start    dispatch.Start
	Endpoint datacentre.Endpoint
	Payload  []byte
	Deadline clock.Millis
	// Accepted is when the submission was accepted, Trace the span it belongs to.
	Accepted clock.Millis
	Trace    contract.TraceParent
}

// SendRecords sends a batch to the witness. Ends with RecordsAnswered.
type SendRecords struct {
	Witness vm.VM
	Batch   contract.BatchNumber
	Records []contract.Record
}

// SendHandOver sends a part of the answers to the witness at shutdown. Ends with
// HandOverAnswered.
type SendHandOver struct {
	Witness vm.VM
	Records []contract.Record
	Last    bool
}

// WritePairRow writes the row of a pair unless it exists, and reads it back where the
// outcome is open. Ends with PairRowDecided.
type WritePairRow struct {
	Pair contract.Pair
	Row  contract.PairRow
}

func (ReplyTo) isAction()      {}
func (RunAttempt) isAction()   {}
func (SendRecords) isAction()  {}
func (SendHandOver) isAction() {}
func (WritePairRow) isAction() {}

// PublishBundle hands the bundle in force to traffic. Executors carry it out at once, so
// that traffic sees bundles in the order of the decisions.
type PublishBundle struct{ Bundle *bundle.Bundle }

func (PublishBundle) isAction() {}

// Reply is what a waiting traffic goroutine hears: IDs, AnswerReply, RecordsReply,
// ShutdownReply, BundleVerdict or UsageReply.
type Reply interface{ isReply() }

// ReservedIDs carries reserved ids.
type ReservedIDs struct{ IDs []contract.SubmissionID }

// AnswerReply carries the answer of a submission.
type AnswerReply struct{ Answer contract.Answer }

// RecordsReply carries the status of each record of a batch.
type RecordsReply struct{ Statuses []contract.RecordStatus }

// ShutdownReply says whether all work ended and was handed over.
type ShutdownReply struct{ Drained bool }

func (ShutdownReply) isReply() {}
func (ReservedIDs) isReply()   {}
func (AnswerReply) isReply()   {}
func (RecordsReply) isReply()  {}

// BundleVerdict carries what became of an offered bundle.
type BundleVerdict struct{ Verdict bundle.Verdict }

func (BundleVerdict) isReply() {}

package contract

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// Record is what an issuer reports to its witness about one id: StartRecord or SettleRecord.
type Record interface{ isRecord() }

// StartRecord says that the tasks are about to be sent to endpoints.
type StartRecord struct {
	ID    SubmissionID
	Owner owner.ID
	// TaskCount is the number of tasks of the whole submission.
	TaskCount int
	Digest    Digest
	Tasks     []TaskIndex
}

// SettleRecord carries the final answer of an id.
type SettleRecord struct {
	ID     SubmissionID
	Owner  owner.ID
	Digest Digest
	Answer Answer
}

func (StartRecord) isRecord()  {}
func (SettleRecord) isRecord() {}

// RecordStatus is the witness's reply to one record.
type RecordStatus int

// The replies to a record.
const (
	// RecordAccepted means that the witness keeps the record.
	RecordAccepted RecordStatus = iota
	// RecordFenced means that the witness already answers for the issuer.
	RecordFenced
	// RecordExpired means that the id is older than the retention window.
	RecordExpired
	// RecordFull means that the witness has no room for a new id.
	RecordFull
	// RecordStale means that the batch is a late copy of one that was overtaken.
	RecordStale
)

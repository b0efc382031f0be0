package contract

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// Record is a report of an issuer to its witness about one id: StartRecord or SettleRecord.
type Record interface{ isRecord() }

// StartRecord reports that the tasks are about to be sent to endpoints.
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
	// RecordAccepted means that the witness holds the record.
	RecordAccepted RecordStatus = iota
	// RecordFenced means that the witness accepts no more records of the issuer, or that the
	// id names another issuer or witness.
	RecordFenced
	// RecordExpired means that the id is as old as ids whose records were evicted, or
	// older.
	RecordExpired
	// RecordFull means that the witness has no capacity for a new id.
	RecordFull
	// RecordStale means that the record arrived in a late copy of a batch: the witness has
	// already processed this batch or a later one.
	RecordStale
)

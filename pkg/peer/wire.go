package peer

// The wire types of the calls between entry VMs. net/rpc requires them to be exported. gob
// sends the names of their fields, so a renamed field is lost between VMs of different releases.

// WireSubmission is a submission on the wire.
type WireSubmission struct {
	ID         string
	Owner      string
	Kind       string
	Class      string
	DeadlineMs int64
	Repeatable bool
	Payloads   [][]byte
	// TraceParent is the W3C traceparent of the peer hop.
	TraceParent string
}

// answerKind is the type of an answer. Its numbers are sent, so they must not change.
type answerKind int

const (
	kindComplete answerKind = iota + 1
	kindFailed
	kindRefused
	kindRunning
	kindCannotTellYet
	kindConflict
	kindExpired
	kindNotFound
)

// WireAnswer is an answer on the wire; Kind determines which fields are set.
type WireAnswer struct {
	Kind    answerKind
	Results [][]byte
	// States holds the contract.TaskState of each task.
	States       []int
	Cause        int
	Reason       string
	RetryAfterMs int64
}

// recordKind is the type of a record. Its numbers are sent, so they must not change.
type recordKind int

const (
	kindStart recordKind = iota + 1
	kindSettle
)

// WireRecord is a record on the wire; Kind determines which fields are set.
type WireRecord struct {
	Kind      recordKind
	ID        string
	Owner     string
	TaskCount int
	Tasks     []int
	Digest    []byte
	Answer    WireAnswer
}

// SubmitRequest forwards a submission to its issuer.
type SubmitRequest struct {
	Submission WireSubmission
	WaitMs     int64
}

// AskRequest requests the answer of a submission, or its cancellation.
type AskRequest struct {
	ID     string
	Owner  string
	WaitMs int64
	// Digest is the digest of a resent submission, for the witness.
	Digest []byte
	// TraceParent is the W3C traceparent of the peer hop.
	TraceParent string
}

// RecordRequest sends a batch of records to a witness.
type RecordRequest struct {
	Issuer  string
	Batch   uint64
	Records []WireRecord
}

// HandOverRequest sends a witness answers that an issuer gave without it, after a release or
// at shutdown.
type HandOverRequest struct {
	Issuer  string
	Records []WireRecord
	// Last means that the issuer shuts down and starts no more tasks.
	Last bool
}

// RecordReply carries one status for each record.
type RecordReply struct {
	Statuses []int
}

package peer

// The wire types of the calls between entry VMs. gob encodes them, and net/rpc wants
// them exported.

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

// WireAnswer is an answer on the wire; Kind tells which fields count.
type WireAnswer struct {
	Kind         answerKind
	Results      [][]byte
	States       []int
	Cause        int
	Reason       string
	RetryAfterMs int64
}

type recordKind int

const (
	kindStart recordKind = iota + 1
	kindSettle
)

// WireRecord is a record on the wire; Kind tells which fields count.
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

// AskRequest asks for the answer of an id.
type AskRequest struct {
	ID     string
	Owner  string
	WaitMs int64
	// Digest is that of a submission that is sent again, for the witness.
	Digest []byte
	// TraceParent is the W3C traceparent of the peer hop.
	TraceParent string
}

// RecordRequest brings a batch of records to a witness.
type RecordRequest struct {
	Issuer  string
	Batch   uint64
	Records []WireRecord
}

// HandOverRequest brings answers of an issuer that shuts down.
type HandOverRequest struct {
	Issuer  string
	Records []WireRecord
	Last    bool
}

// RecordReply carries one status for each record.
type RecordReply struct {
	Statuses []int
}

package contract

// AttemptResult is how one send of a task ended: Succeeded, RanAndFailed, NotStarted
// or Ambiguous.
type AttemptResult interface{ isAttemptResult() }

// Succeeded carries the endpoint's result.
type Succeeded struct{ Result []byte }

// RanAndFailed says that the endpoint ran the task and reported a failure.
type RanAndFailed struct{ Reason string }

// NotStarted says that the endpoint is known not to have started the task.
type NotStarted struct{ Cause NotStartedCause }

// Ambiguous says that the task may or may not have run.
type Ambiguous struct{ Reason string }

func (Succeeded) isAttemptResult()    {}
func (RanAndFailed) isAttemptResult() {}
func (NotStarted) isAttemptResult()   {}
func (Ambiguous) isAttemptResult()    {}

// NotStartedCause tells why an endpoint did not start a task.
type NotStartedCause int

// The causes.
const (
	EndpointBusy NotStartedCause = iota
	EndpointLeaving
	EndpointUnreachable
	// NotSent means that this VM did not send the task; the endpoint has no part in it.
	NotSent
)

// String returns the cause as it appears in logs.
func (c NotStartedCause) String() string {
	switch c {
	case EndpointBusy:
		return "busy"
	case EndpointLeaving:
		return "leaving"
	case NotSent:
		return "not tried"
	default:
		return "unreachable"
	}
}

package contract

// AttemptResult is the result of one attempt of a task: Succeeded, RanAndFailed, NotStarted
// or Ambiguous.
type AttemptResult interface{ isAttemptResult() }

// Succeeded carries the endpoint's result.
type Succeeded struct{ Result []byte }

// RanAndFailed means that the endpoint ran the task and reported a failure.
type RanAndFailed struct{ Reason string }

// NotStarted means that the endpoint certainly did not start the task.
type NotStarted struct{ Cause NotStartedCause }

// Ambiguous means that the task may or may not have run.
type Ambiguous struct{ Reason string }

func (Succeeded) isAttemptResult()    {}
func (RanAndFailed) isAttemptResult() {}
func (NotStarted) isAttemptResult()   {}
func (Ambiguous) isAttemptResult()    {}

// NotStartedCause is the reason why a task was not started.
type NotStartedCause int

// The causes of NotStarted.
const (
	EndpointBusy NotStartedCause = iota
	EndpointLeaving
	EndpointUnreachable
	// NotSent means that this VM did not send the task, so no endpoint was involved.
	NotSent
)

// String returns the cause as it appears in logs and metric names.
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

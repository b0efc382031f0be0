package standin

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Behaviour is how a stand-in endpoint handles its tasks: Healthy, FailFast,
// DropAnswer, DelayAnswer, SwapAttempt, TruncateAnswer or Oversize.
type Behaviour interface{ isBehaviour() }

// Healthy runs each task for its run time.
type Healthy struct{}

// FailFast fails each task immediately.
type FailFast struct{}

// DropAnswer runs the task and closes the connection without sending an answer.
type DropAnswer struct{}

// DelayAnswer runs the task and delays the answer.
type DelayAnswer struct{ Delay clock.Millis }

// SwapAttempt runs the task and answers under another attempt id.
type SwapAttempt struct{}

// TruncateAnswer runs the task and closes the connection before the answer is complete.
type TruncateAnswer struct{}

// Oversize runs the task and answers with 8 MiB, more than clients accept by default.
type Oversize struct{}

func (Healthy) isBehaviour()        {}
func (FailFast) isBehaviour()       {}
func (DropAnswer) isBehaviour()     {}
func (DelayAnswer) isBehaviour()    {}
func (SwapAttempt) isBehaviour()    {}
func (TruncateAnswer) isBehaviour() {}
func (Oversize) isBehaviour()       {}

// ParseBehaviour returns the behaviour for the name in PUT /behaviour/{name}.
func ParseBehaviour(name string) (Behaviour, bool) {
	switch name {
	case "healthy":
		return Healthy{}, true
	case "failFast":
		return FailFast{}, true
	case "dropAnswer":
		return DropAnswer{}, true
	case "delayAnswer":
		return DelayAnswer{Delay: clock.Second}, true
	case "swapAttempt":
		return SwapAttempt{}, true
	case "truncateAnswer":
		return TruncateAnswer{}, true
	case "oversize":
		return Oversize{}, true
	}
	return nil, false
}

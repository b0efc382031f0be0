package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

// micros is time in microseconds since the start of a run. Link delays are below the
// millisecond of the decisions.
type micros int64

const second micros = 1_000_000

// decisionEpoch keeps the clock of the decisions away from 0.
const decisionEpoch = clock.Hour

func (m micros) millis() clock.Millis {
	return decisionEpoch + clock.Millis(m/1000)
}

func toMicros(m clock.Millis) micros {
	return micros(m) * 1000
}

// event is what happens at a point in time.
type event interface{ isEvent() }

type (
	// jobArrives at an entry VM.
	jobArrives struct{ job *job }
	// taskArrives at its endpoint.
	taskArrives struct{ task *task }
	// taskEnds at its endpoint.
	taskEnds struct{ task *task }
	// answerArrives at the entry VM that sent the task.
	answerArrives struct {
		task   *task
		result outcome
	}
	// vmTicks is the periodic check of an entry VM.
	vmTicks struct{ vm *entryVM }
	// digestArrives brings the usage of a peer.
	digestArrives struct {
		from, to *entryVM
		usage    []dispatch.OwnerUsage
		slots    dispatch.SlotReport
	}
	// loanAsked brings a peer's need of slots.
	loanAsked struct {
		from, to *entryVM
		need     dispatch.LoanNeed
	}
	// loanGranted brings the answer, which may be empty.
	loanGranted struct {
		from, to *entryVM
		loans    []dispatch.SlotLoan
		promised datacentre.Slots
		left     dispatch.SlotReport
		// answer marks the answer to a request; promised slots follow without one.
		answer bool
	}
	// loanExpires ends a loan at the borrower.
	loanExpires struct {
		lender, borrower *entryVM
		loan             dispatch.SlotLoan
	}
	// loanReturned brings slots back to the lender.
	loanReturned struct {
		to   *entryVM
		loan dispatch.SlotLoan
	}
	// loadReported refreshes the view that power of two choices has of the endpoints.
	loadReported struct{}
)

func (jobArrives) isEvent()    {}
func (taskArrives) isEvent()   {}
func (taskEnds) isEvent()      {}
func (answerArrives) isEvent() {}
func (vmTicks) isEvent()       {}
func (digestArrives) isEvent() {}
func (loanAsked) isEvent()     {}
func (loanGranted) isEvent()   {}
func (loanExpires) isEvent()   {}
func (loanReturned) isEvent()  {}
func (loadReported) isEvent()  {}

// outcome is how a task ended, as its entry VM hears it.
type outcome int

const (
	done outcome = iota
	failed
	busy
)

package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

// micros is a time in microseconds since the start of a run. Link delays are below the
// millisecond resolution of the scheduler.
type micros int64

const second micros = 1_000_000

// schedulerEpoch is the scheduler's time at the start of a run, so that it is never 0.
const schedulerEpoch = clock.Hour

// schedulerTime returns the scheduler's time at m.
func (m micros) schedulerTime() clock.Millis {
	return schedulerEpoch + clock.Millis(m/1000)
}

func microsOf(m clock.Millis) micros {
	return micros(m) * 1000
}

// event is an arrival, the end of a task, a message or a timer in a simulation.
type event interface{ isEvent() }

type (
	// jobArrives means that a job arrives at an entry VM.
	jobArrives struct{ job *job }
	// taskArrives means that a task arrives at its endpoint.
	taskArrives struct{ task *task }
	// taskEnds means that a task ends at its endpoint.
	taskEnds struct{ task *task }
	// answerArrives means that an answer arrives at the entry VM that sent the task.
	answerArrives struct {
		task   *task
		result outcome
	}
	// vmTicks is the periodic check of an entry VM.
	vmTicks struct{ vm *entryVM }
	// digestArrives delivers the usage and slots of a peer.
	digestArrives struct {
		from, to *entryVM
		usage    []dispatch.OwnerUsage
		slots    dispatch.SlotReport
	}
	// loanRequested delivers a loan request of a peer.
	loanRequested struct {
		from, to *entryVM
		need     dispatch.LoanNeed
	}
	// loanGranted delivers the answer to a loan request, which may be empty, or a deferred loan.
	loanGranted struct {
		from, to *entryVM
		loans    []dispatch.SlotLoan
		// deferred is the number of slots that the lender will lend once they are free.
		deferred datacentre.Slots
		// slotsLeft is the lender's slot report after the grant.
		slotsLeft dispatch.SlotReport
		// answer is set in the answer to a request and not in the deferred loans that follow it.
		answer bool
	}
	// loanExpires ends a loan at the borrower.
	loanExpires struct {
		lender, borrower *entryVM
		loan             dispatch.SlotLoan
	}
	// loanReturned returns slots to the lender.
	loanReturned struct {
		to   *entryVM
		loan dispatch.SlotLoan
	}
	// loadReported refreshes the endpoint loads that power of two choices uses.
	loadReported struct{}
)

func (jobArrives) isEvent()    {}
func (taskArrives) isEvent()   {}
func (taskEnds) isEvent()      {}
func (answerArrives) isEvent() {}
func (vmTicks) isEvent()       {}
func (digestArrives) isEvent() {}
func (loanRequested) isEvent() {}
func (loanGranted) isEvent()   {}
func (loanExpires) isEvent()   {}
func (loanReturned) isEvent()  {}
func (loadReported) isEvent()  {}

// outcome is how a task ended, as reported to its entry VM.
type outcome int

const (
	done outcome = iota
	failed
	busy
)

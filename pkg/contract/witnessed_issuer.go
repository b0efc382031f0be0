package contract

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// witnessedIssuer is the state that a witness holds about one issuer.
type witnessedIssuer struct {
	entries     map[SubmissionID]*witnessEntry
	lastContact clock.Millis
	lastBatch   BatchNumber
	// fenced means that records are no longer accepted, either because queries were or
	// may have been answered from the absence of records, or because the issuer shut
	// down. A fence is final: contact with the issuer does not remove it.
	fenced bool
	// evictedUpTo is the latest time of issue among the evicted records.
	evictedUpTo clock.Millis
	pairRow     PairRow
}

// witnessEntry is the record that a witness holds about one id.
type witnessEntry struct {
	owner     owner.ID
	digest    Digest
	taskCount int
	started   []uint64
	final     Answer
}

const wordBits = 64

func (e *witnessEntry) markStarted(t TaskIndex) {
	for int(t)/wordBits >= len(e.started) {
		e.started = append(e.started, 0)
	}
	e.taskCount = max(e.taskCount, int(t)+1)
	e.started[int(t)/wordBits] |= 1 << (int(t) % wordBits)
}

func (e *witnessEntry) hasStarted(t int) bool {
	return t/wordBits < len(e.started) && e.started[t/wordBits]&(1<<(t%wordBits)) != 0
}

// lostAnswer returns the answer for an issuer that may no longer answer. Tasks with a recorded
// start may have run. The others can no longer run if recordedOnly is true; otherwise they
// may have run too.
func (e *witnessEntry) lostAnswer(recordedOnly bool) Answer {
	states := make([]TaskState, e.taskCount)
	for i := range states {
		if !recordedOnly || e.hasStarted(i) {
			states[i] = MayHaveRun
		}
	}
	return Failed{Reason: "the VM that ran the submission was lost", Tasks: states}
}

// bytes estimates the memory of the entry, including its items in the map and the queue.
func (e *witnessEntry) bytes() int {
	const overheadBytes = 450
	return overheadBytes + len(e.owner) + 8*len(e.started) + answerBytes(e.final)
}

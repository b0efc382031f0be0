package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// pairState is the state of the pair of this issuer and one of its witnesses.
type pairState int

const (
	// pairOpen means that starts and answers are recorded at the witness.
	pairOpen pairState = iota
	// pairReleasing means that the issuer waits for the decision by the platform's pair row.
	pairReleasing
	// pairReleased means that the issuer continues without the witness.
	pairReleased
	// pairFenced means that the witness answers for the issuer.
	pairFenced
)

const (
	// maxBatchItems limits the starts and answers in one call to a witness, maxBatchBytes its
	// size.
	maxBatchItems = 1000
	maxBatchBytes = 1 << 20
)

// outbox collects the records for one witness. One batch is in flight at a time; records
// that are added meanwhile form the next batch.
type outbox struct {
	witness  vm.Incarnation
	state    pairState
	queued   []outgoing
	inFlight []outgoing
	// records is the number of records in the batch in flight.
	records     int
	batch       contract.BatchNumber
	callBackoff backoff
	// failingSince is the time of the first of the current consecutive failures.
	failingSince clock.Millis
	rowRequested bool
	rowBackoff   backoff
	// entries are the submissions without a final answer.
	entries map[*contract.LedgerEntry]struct{}
	// unreported are submissions whose final answer the witness has not received.
	unreported []*contract.LedgerEntry
	handOver   handOver
}

// outgoing is a step that waits for its record: a task's start, or a submission's final answer.
type outgoing struct {
	// final is the answer to record; nil means a start.
	final contract.Answer
	entry *contract.LedgerEntry
	start dispatch.Start
	task  contract.TaskIndex
	sent  bool
	// record is the index in the batch in flight. Consecutive starts of one submission share
	// a record.
	record int
}

func newOutbox(witness vm.Incarnation) *outbox {
	return &outbox{witness: witness, entries: make(map[*contract.LedgerEntry]struct{})}
}

func (o *outbox) add(out outgoing) {
	o.queued = append(o.queued, out)
}

// nextBatch returns the next batch, or nothing while one is in flight. Starts that became
// obsolete before they were sent are left out and returned separately.
func (o *outbox) nextBatch(now clock.Millis) (batch []contract.Record, dropped []outgoing) {
	if len(o.inFlight) > 0 || len(o.queued) == 0 || o.state != pairOpen || !o.callBackoff.due(now) {
		return nil, nil
	}
	size, taken := 0, 0
	for _, out := range o.queued {
		if len(o.inFlight) == maxBatchItems || size > maxBatchBytes {
			break
		}
		taken++
		if out.obsolete() {
			dropped = append(dropped, out)
			continue
		}
		out.sent, out.entry.RecordSent = true, true
		batch, size = o.appendRecord(batch, out), size+recordBytes(out.final)
		out.record = len(batch) - 1
		o.inFlight = append(o.inFlight, out)
	}
	o.queued = slices.Delete(o.queued, 0, taken)
	o.records = len(batch)
	if len(batch) > 0 {
		o.batch++
	}
	return batch, dropped
}

// appendRecord adds a start to the previous record if that holds starts of the same
// submission, so that a job of many tasks takes one record per batch.
func (o *outbox) appendRecord(batch []contract.Record, out outgoing) []contract.Record {
	if out.final != nil {
		return append(batch, settleRecord(out.entry, out.final))
	}
	if n := len(o.inFlight); n > 0 && o.inFlight[n-1].final == nil && o.inFlight[n-1].entry == out.entry {
		last := batch[len(batch)-1].(contract.StartRecord)
		last.Tasks = append(last.Tasks, out.task)
		batch[len(batch)-1] = last
		return batch
	}
	return append(batch, contract.StartRecord{
		ID:        out.entry.Submission.ID,
		Owner:     out.entry.Submission.Owner,
		TaskCount: out.entry.TaskCount(),
		Digest:    out.entry.Digest,
		Tasks:     []contract.TaskIndex{out.task},
	})
}

// obsolete reports whether the submission of a start was stopped or ended before a record of
// the start was sent to the witness.
func (o outgoing) obsolete() bool {
	return o.final == nil && !o.sent && (o.entry.Cancelled || o.entry.Final != nil)
}

// takeInFlight returns the batch in flight and clears it.
func (o *outbox) takeInFlight() []outgoing {
	batch := o.inFlight
	o.inFlight = nil
	return batch
}

// retry moves the batch in flight to the head of the queue.
func (o *outbox) retry() {
	o.queued = append(o.inFlight, o.queued...)
	o.inFlight = nil
}

// discard removes and returns all entries that were to be recorded. A late answer to the
// batch in flight is ignored from then on.
func (o *outbox) discard() []outgoing {
	all := append(o.inFlight, o.queued...)
	o.inFlight, o.queued = nil, nil
	o.batch++
	return all
}

// unsettled returns the submissions without a final answer, in the order of their ids.
func (o *outbox) unsettled() []*contract.LedgerEntry {
	entries := make([]*contract.LedgerEntry, 0, len(o.entries))
	for e := range o.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *contract.LedgerEntry) int {
		return int(a.Submission.ID.Sequence) - int(b.Submission.ID.Sequence)
	})
	return entries
}

// recordBytes estimates the encoded size of a record; final is nil for a start.
func recordBytes(final contract.Answer) int {
	const overheadBytes = 200
	n := overheadBytes
	if c, ok := final.(contract.Complete); ok {
		for _, result := range c.Results {
			n += len(result)
		}
	}
	return n
}

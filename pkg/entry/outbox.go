package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// pairState is how the issuer stands with one of its witnesses.
type pairState int

const (
	// pairOpen means that starts and answers are recorded at the witness.
	pairOpen pairState = iota
	// pairReleasing means that the issuer waits for the platform to decide.
	pairReleasing
	// pairReleased means that the issuer goes on without the witness.
	pairReleased
	// pairFenced means that the witness answers for the issuer.
	pairFenced
)

const (
	// maxBatch and maxBatchBytes bound one call to a witness.
	maxBatch      = 1000
	maxBatchBytes = 1 << 20
)

// outbox gathers the records for one witness. One batch is under way at a time; what
// arrives meanwhile forms the next batch.
type outbox struct {
	witness  vm.Incarnation
	state    pairState
	waiting  []outgoing
	underWay []outgoing
	// records counts the records of the batch under way.
	records int
	batch   contract.BatchNumber
	calls   backoff
	// failingSince is the time of the first of the failures in a row.
	failingSince clock.Millis
	rowAsked     bool
	row          backoff
	// entries are the submissions without an ending.
	entries map[*contract.LedgerEntry]struct{}
	// owed are endings that the witness has not heard.
	owed     []*contract.LedgerEntry
	handOver handOver
}

// outgoing is what a record holds up: a start, or the end of the submission.
type outgoing struct {
	// final is the answer to settle; nil stands for a start.
	final contract.Answer
	entry *contract.LedgerEntry
	start dispatch.Start
	task  contract.TaskIndex
	sent  bool
	// record is the position in the batch under way. Starts of one submission that
	// follow each other share a record.
	record int
}

func newOutbox(witness vm.Incarnation) *outbox {
	return &outbox{witness: witness, entries: make(map[*contract.LedgerEntry]struct{})}
}

func (o *outbox) add(out outgoing) {
	o.waiting = append(o.waiting, out)
}

// nextBatch returns the next batch, or nothing while one is under way. Starts that
// became void before they were sent are dropped and returned apart.
func (o *outbox) nextBatch(now clock.Millis) (batch []contract.Record, dropped []outgoing) {
	if len(o.underWay) > 0 || len(o.waiting) == 0 || o.state != pairOpen || !o.calls.due(now) {
		return nil, nil
	}
	size, taken := 0, 0
	for _, out := range o.waiting {
		if len(o.underWay) == maxBatch || size > maxBatchBytes {
			break
		}
		taken++
		if out.void() {
			dropped = append(dropped, out)
			continue
		}
		out.sent, out.entry.RecordSent = true, true
		batch, size = o.appendRecord(batch, out), size+recordBytes(out.final)
		out.record = len(batch) - 1
		o.underWay = append(o.underWay, out)
	}
	o.waiting = slices.Delete(o.waiting, 0, taken)
	o.records = len(batch)
	if len(batch) > 0 {
		o.batch++
	}
	return batch, dropped
}

// appendRecord adds a start to the record before, where that is one of starts of the same
// submission; a job of many tasks then costs the witness one record for each batch.
func (o *outbox) appendRecord(batch []contract.Record, out outgoing) []contract.Record {
	if out.final != nil {
		return append(batch, settleRecord(out.entry, out.final))
	}
	if n := len(o.underWay); n > 0 && o.underWay[n-1].final == nil && o.underWay[n-1].entry == out.entry {
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

// void reports whether a start is no longer wanted and the witness cannot know of it.
func (o outgoing) void() bool {
	return o.final == nil && !o.sent && (o.entry.Cancelled || o.entry.Final != nil)
}

// answered takes the batch that was under way.
func (o *outbox) answered() []outgoing {
	batch := o.underWay
	o.underWay = nil
	return batch
}

// retry puts the batch that was under way in front of what waits.
func (o *outbox) retry() {
	o.waiting = append(o.underWay, o.waiting...)
	o.underWay = nil
}

// abandon takes everything that was to be recorded. A late answer to the batch under
// way no longer counts.
func (o *outbox) abandon() []outgoing {
	all := append(o.underWay, o.waiting...)
	o.underWay, o.waiting = nil, nil
	o.batch++
	return all
}

// open returns the submissions without an ending, in the order of their ids.
func (o *outbox) open() []*contract.LedgerEntry {
	entries := make([]*contract.LedgerEntry, 0, len(o.entries))
	for e := range o.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *contract.LedgerEntry) int {
		return int(a.Submission.ID.Sequence) - int(b.Submission.ID.Sequence)
	})
	return entries
}

// recordBytes estimates the size of a record on the wire; a start has no answer.
func recordBytes(final contract.Answer) int {
	const overhead = 200
	n := overhead
	if c, ok := final.(contract.Complete); ok {
		for _, result := range c.Results {
			n += len(result)
		}
	}
	return n
}

package peer

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

func encodeSubmission(s contract.Submission) WireSubmission {
	payloads := make([][]byte, len(s.Tasks))
	for i, t := range s.Tasks {
		payloads[i] = t.Payload
	}
	return WireSubmission{
		ID:         s.ID.String(),
		Owner:      string(s.Owner),
		Kind:       string(s.Kind),
		Class:      string(s.Class),
		DeadlineMs: int64(s.Deadline),
		Repeatable: s.Repeatable,
		Payloads:   payloads,

		TraceParent: string(s.Trace),
	}
}

func decodeSubmission(w WireSubmission) (contract.Submission, error) {
	id, err := contract.ParseSubmissionID(w.ID)
	if err != nil {
		return contract.Submission{}, errors.Trace(err)
	}
	tasks := make([]contract.Task, len(w.Payloads))
	for i, p := range w.Payloads {
		tasks[i] = contract.Task{Payload: p}
	}
	return contract.Submission{
		ID:         id,
		Owner:      owner.ID(w.Owner),
		Kind:       contract.Kind(w.Kind),
		Class:      owner.ClassName(w.Class),
		Deadline:   clock.Millis(w.DeadlineMs),
		Repeatable: w.Repeatable,
		Tasks:      tasks,
		Trace:      contract.TraceParent(w.TraceParent),
	}, nil
}

func encodeAnswer(a contract.Answer) WireAnswer {
	switch a := a.(type) {
	case contract.Complete:
		return WireAnswer{Kind: kindComplete, Results: a.Results}
	case contract.Failed:
		return WireAnswer{Kind: kindFailed, Reason: a.Reason, States: encodeStates(a.Tasks)}
	case contract.Refused:
		return WireAnswer{Kind: kindRefused, Cause: int(a.Cause), Reason: a.Reason, RetryAfterMs: int64(a.RetryAfter)}
	case contract.Running:
		return WireAnswer{Kind: kindRunning}
	case contract.CannotTellYet:
		return WireAnswer{Kind: kindCannotTellYet, Reason: a.Reason, RetryAfterMs: int64(a.RetryAfter)}
	case contract.Conflict:
		return WireAnswer{Kind: kindConflict}
	case contract.Expired:
		return WireAnswer{Kind: kindExpired}
	default:
		return WireAnswer{Kind: kindNotFound}
	}
}

func decodeAnswer(w WireAnswer) (contract.Answer, error) {
	switch w.Kind {
	case kindComplete:
		return contract.Complete{Results: restoreEmpty(w.Results)}, nil
	case kindFailed:
		return contract.Failed{Reason: w.Reason, Tasks: decodeStates(w.States)}, nil
	case kindRefused:
		return contract.Refused{Cause: contract.RefusalCause(w.Cause), Reason: w.Reason, RetryAfter: clock.Millis(w.RetryAfterMs)}, nil
	case kindRunning:
		return contract.Running{}, nil
	case kindCannotTellYet:
		return contract.CannotTellYet{Reason: w.Reason, RetryAfter: clock.Millis(w.RetryAfterMs)}, nil
	case kindConflict:
		return contract.Conflict{}, nil
	case kindExpired:
		return contract.Expired{}, nil
	case kindNotFound:
		return contract.NotFound{}, nil
	}
	return nil, errors.NotValidf("decode answer of peer: kind %d: answer", w.Kind)
}

// restoreEmpty replaces nil results by empty ones, since gob decodes an empty slice as nil.
func restoreEmpty(results [][]byte) [][]byte {
	for i, r := range results {
		if r == nil {
			results[i] = []byte{}
		}
	}
	return results
}

func encodeStates(states []contract.TaskState) []int {
	encoded := make([]int, len(states))
	for i, s := range states {
		encoded[i] = int(s)
	}
	return encoded
}

func decodeStates(encoded []int) []contract.TaskState {
	states := make([]contract.TaskState, len(encoded))
	for i, s := range encoded {
		states[i] = contract.TaskState(s)
	}
	return states
}

func encodeRecord(r contract.Record) WireRecord {
	switch r := r.(type) {
	case contract.StartRecord:
		tasks := make([]int, len(r.Tasks))
		for i, t := range r.Tasks {
			tasks[i] = int(t)
		}
		return WireRecord{Kind: kindStart, ID: r.ID.String(), Owner: string(r.Owner), TaskCount: r.TaskCount, Digest: r.Digest[:], Tasks: tasks}
	case contract.SettleRecord:
		return WireRecord{Kind: kindSettle, ID: r.ID.String(), Owner: string(r.Owner), Digest: r.Digest[:], Answer: encodeAnswer(r.Answer)}
	default:
		return WireRecord{}
	}
}

// Limits on the records from a peer, so that it cannot cause unbounded allocations.
const (
	maxRecords    = 10000
	maxTaskCount  = 100000
	maxOwnerBytes = 256
)

func decodeRecords(issuer string, encoded []WireRecord) ([]contract.Record, error) {
	if !vm.Incarnation(issuer).Valid() {
		return nil, errors.NotValidf("decode records of peer: issuer")
	}
	if len(encoded) > maxRecords {
		return nil, errors.NotValidf("decode records of peer %s: %d records, allowed %d: batch", issuer, len(encoded), maxRecords)
	}
	records := make([]contract.Record, len(encoded))
	for i, w := range encoded {
		r, err := decodeRecord(w)
		if err != nil {
			return nil, errors.Annotatef(err, "decode records of peer %s", issuer)
		}
		records[i] = r
	}
	return records, nil
}

func decodeRecord(w WireRecord) (contract.Record, error) {
	id, err := contract.ParseSubmissionID(w.ID)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(w.Owner) > maxOwnerBytes || w.TaskCount < 0 || w.TaskCount > maxTaskCount || len(w.Tasks) > w.TaskCount {
		return nil, errors.NotValidf("decode record of peer: owner of %d bytes, %d of %d tasks: record", len(w.Owner), len(w.Tasks), w.TaskCount)
	}
	switch w.Kind {
	case kindStart:
		return decodeStart(id, w)
	case kindSettle:
		answer, err := decodeAnswer(w.Answer)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !contract.IsFinal(answer) {
			return nil, errors.NotValidf("decode record of peer: settlement without a final answer: record")
		}
		r := contract.SettleRecord{ID: id, Owner: owner.ID(w.Owner), Answer: answer}
		copy(r.Digest[:], w.Digest)
		return r, nil
	}
	return nil, errors.NotValidf("decode record of peer: kind %d: record", w.Kind)
}

func decodeStart(id contract.SubmissionID, w WireRecord) (contract.Record, error) {
	tasks := make([]contract.TaskIndex, len(w.Tasks))
	for i, t := range w.Tasks {
		if t < 0 || t >= w.TaskCount {
			return nil, errors.NotValidf("decode record of peer: task %d of %d: record", t, w.TaskCount)
		}
		tasks[i] = contract.TaskIndex(t)
	}
	r := contract.StartRecord{ID: id, Owner: owner.ID(w.Owner), TaskCount: w.TaskCount, Tasks: tasks}
	copy(r.Digest[:], w.Digest)
	return r, nil
}

// Package contract defines submissions, their ids and answers, and the records of the issuer
// and the witness, which ensure that a task that may not be repeated runs at most once and
// that answers do not contradict each other. It does no I/O.
package contract

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Kind names a group of tasks with similar run times.
type Kind string

// TaskIndex is the position of a task in its submission.
type TaskIndex int

// Digest is the SHA-256 digest of a submission's content.
type Digest [sha256.Size]byte

// TraceParent is the W3C traceparent of the span that a submission belongs to. It is not
// part of the Digest: a resubmission under another trace has the same content.
type TraceParent string

// Task is one unit of work of a submission.
type Task struct {
	Payload []byte
}

// Submission is a job of one or more tasks that gets one answer.
type Submission struct {
	ID    SubmissionID
	Owner owner.ID
	Kind  Kind
	Class owner.ClassName
	// Deadline is the time after acceptance by which the answer is due; 0 selects the
	// deadline of the class.
	Deadline clock.Millis
	// Repeatable marks a single request as idempotent: it may be retried after an
	// ambiguous failure.
	Repeatable bool
	Tasks      []Task
	Trace      TraceParent
}

// Digest returns a digest of everything that the caller sent, so that different content
// under the same id is detected as a conflict.
func (s Submission) Digest() Digest {
	h := sha256.New()
	write := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	repeatable := byte(0)
	if s.Repeatable {
		repeatable = 1
	}
	write([]byte(s.Owner))
	write([]byte(s.Kind))
	write([]byte(s.Class))
	write(binary.BigEndian.AppendUint64(nil, uint64(s.Deadline)))
	write([]byte{repeatable})
	for _, t := range s.Tasks {
		write(t.Payload)
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

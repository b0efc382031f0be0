// Package contract holds what a caller and the service agree on: submissions, their
// ids, their answers, and the records that keep the answers exact. It does no I/O.
package contract

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Kind names a sort of task whose run times are alike.
type Kind string

// TaskIndex is the position of a task in its submission.
type TaskIndex int

// Digest is the SHA-256 digest of a submission's content.
type Digest [sha256.Size]byte

// TraceParent is the W3C traceparent of the span that a submission belongs to. It is not
// part of the Digest: a resubmission under another trace has the same content.
type TraceParent string

// Task is one piece of work.
type Task struct {
	Payload []byte
}

// Submission is a job of one or more tasks that is answered as a whole.
type Submission struct {
	ID    SubmissionID
	Owner owner.ID
	Kind  Kind
	Class owner.ClassName
	// Deadline is the span from acceptance within which the answer is wanted;
	// 0 takes the deadline of the class.
	Deadline clock.Millis
	// Repeatable marks a single request as idempotent: it may be retried after an
	// ambiguous failure.
	Repeatable bool
	Tasks      []Task
	Trace      TraceParent
}

// Digest covers all that the caller sent, so that other content under the same id is
// recognised as a conflict.
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

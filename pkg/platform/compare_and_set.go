package platform

import (
	"context"

	"github.com/juju/errors"
)

// Write is one compare-and-set of a row.
type Write struct {
	Key      Key
	Expected Revision
	Value    []byte
	// IsOwn reports whether this writer wrote the value, by a token that no other writer uses.
	IsOwn func(value []byte) bool
}

// WriteOutcome is the outcome of a compare-and-set: Written or Conflicted.
type WriteOutcome interface{ isWriteOutcome() }

// Written means that the row holds this writer's value.
type Written struct{ Revision Revision }

// Conflicted means that another writer changed the row first. Row is its current content; a
// row with revision 0 has been deleted.
type Conflicted struct{ Row Row }

func (Written) isWriteOutcome()    {}
func (Conflicted) isWriteOutcome() {}

// CompareAndSet writes a row if it has the expected revision. If an answer is lost, it reads
// the row back and looks for the writer's token; a write that did not arrive is sent again
// with the same expected revision, so that it takes effect at most once. After an error, the
// write may still take effect.
func CompareAndSet(ctx context.Context, t Table, w Write) (WriteOutcome, error) {
	var lastErr error
	for range writeAttempts {
		revision, err := t.Put(ctx, w.Key, w.Expected, w.Value)
		if err == nil {
			return Written{Revision: revision}, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return nil, errors.Annotatef(err, "write row %s", w.Key)
		}
		row, err := t.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return nil, errors.Annotatef(err, "read row %s back", w.Key)
		}
		switch {
		case row.Revision > 0 && w.IsOwn(row.Value):
			return Written{Revision: row.Revision}, nil
		case row.Revision != w.Expected:
			return Conflicted{Row: row}, nil
		}
		lastErr = errors.Annotatef(ErrUnavailable, "write row %s: the platform lost %d writes", w.Key, writeAttempts)
	}
	return nil, lastErr
}

// writeAttempts bounds the writes; each retry follows a successful read of the row.
const writeAttempts = 4

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
	// IsOwn recognises a value that this writer wrote, by a token that no other writer uses.
	IsOwn func(value []byte) bool
}

// WriteOutcome is how a compare-and-set ended: Won or LostTo.
type WriteOutcome interface{ isWriteOutcome() }

// Written says that this writer's value is in the row.
type Written struct{ Revision Revision }

// Conflicted says that another writer was first, and what its row holds. A row with revision
// 0 was deleted meanwhile.
type Conflicted struct{ Row Row }

func (Written) isWriteOutcome()    {}
func (Conflicted) isWriteOutcome() {}

// CompareAndSet writes a row by compare-and-set. A lost answer is settled by reading the row
// back and looking for the writer's token; a write that did not arrive is sent again
// under the same expected revision, so that it takes effect once at most. With an error,
// the write may still take effect.
func CompareAndSet(ctx context.Context, t Table, w Write) (WriteOutcome, error) {
	var lost error
	for range writeAttempts {
		revision, err := t.Put(ctx, w.Key, w.Expected, w.Value)
		if err == nil {
			return Written{Revision: revision}, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return nil, errors.Annotatef(err, "write row %s", w.Key)
		}
		row, err := t.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrAbsent) {
			return nil, errors.Annotatef(err, "read row %s back", w.Key)
		}
		switch {
		case row.Revision > 0 && w.IsOwn(row.Value):
			return Written{Revision: row.Revision}, nil
		case row.Revision != w.Expected:
			return Conflicted{Row: row}, nil
		}
		lost = errors.Annotatef(ErrUnavailable, "write row %s: the platform lost %d writes", w.Key, writeAttempts)
	}
	return nil, lost
}

// writeAttempts bounds the writes; between two of them lies a read that succeeded.
const writeAttempts = 4

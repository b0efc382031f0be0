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
	// Mine recognises a value that this writer wrote, by a token that no other writer uses.
	Mine func(value []byte) bool
}

// WriteOutcome is how a compare-and-set ended: Won or LostTo.
type WriteOutcome interface{ isWriteOutcome() }

// Won says that this writer's value is in the row.
type Won struct{ Revision Revision }

// LostTo says that another writer was first, and what its row holds. A row with revision
// 0 was deleted meanwhile.
type LostTo struct{ Row Row }

func (Won) isWriteOutcome()    {}
func (LostTo) isWriteOutcome() {}

// WriteOnce writes a row by compare-and-set. A lost answer is settled by reading the row
// back and looking for the writer's token; a write that did not arrive is sent again
// under the same expected revision, so that it takes effect once at most. With an error,
// the write may still take effect.
func WriteOnce(ctx context.Context, t Table, w Write) (WriteOutcome, error) {
	var lost error
	for range writeAttempts {
		revision, err := t.Put(ctx, w.Key, w.Expected, w.Value)
		if err == nil {
			return Won{Revision: revision}, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrRevision) {
			return nil, errors.Annotatef(err, "write row %s", w.Key)
		}
		row, err := t.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrAbsent) {
			return nil, errors.Annotatef(err, "read row %s back", w.Key)
		}
		switch {
		case row.Revision > 0 && w.Mine(row.Value):
			return Won{Revision: row.Revision}, nil
		case row.Revision != w.Expected:
			return LostTo{Row: row}, nil
		}
		lost = errors.Annotatef(ErrUnavailable, "write row %s: the platform lost %d writes", w.Key, writeAttempts)
	}
	return nil, lost
}

// writeAttempts bounds the writes; between two of them lies a read that succeeded.
const writeAttempts = 4

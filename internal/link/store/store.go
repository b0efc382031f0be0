// Package store defines the interface to the platform's store: tables of rows with revisions,
// conditional writes and a change feed. It also encodes and decodes the product's own rows.
package store

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Table names a table of rows.
type Table string

// The product's own tables. Their names are stored and so differ from those of the constants.
const (
	// VMs has a row for each entry VM; the key is its name.
	VMs Table = "vms"
	// ReplicaSets has a row for each shard; the key is its name.
	ReplicaSets Table = "lineups"
	// Estimates has a row with the performance estimates of each shard.
	Estimates Table = "experiences"
	// Crashes has a row with the crashes of endpoints that each shard's leader knew of.
	Crashes Table = "crashes"
	// Cancellations has rows of cancelled jobs; a key begins with the VM that wrote the row.
	Cancellations Table = "cancellations"
	// Entry has the rows of the entry daemon; keys begin with the purpose of the row.
	Entry Table = "entry"
)

// Revision orders the changes of the whole store. 0 is the revision of a row that doesn't exist.
type Revision int64

// Row is a row of a table.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// Removed means that the row was deleted; only Follow returns such rows.
	Removed bool
}

// Snapshot is the content of a table, or its changes, at a version.
type Snapshot struct {
	Rows    []Row
	Version Revision
}

var (
	// ErrUnavailable means that the store did not answer, or answered with an unexpected
	// status. A write may have been done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrConflict means that a row was not at the expected revision, and the write had no
	// effect.
	ErrConflict = errors.New("row changed")
	// ErrNotFound means that the row doesn't exist.
	ErrNotFound = errors.New("no such row")
	// ErrTooLarge means that the answer exceeds the client's limit.
	ErrTooLarge = errors.New("answer too large")
	// ErrHistoryTruncated means that the store no longer has all changes since the given version.
	ErrHistoryTruncated = errors.New("history truncated")
)

// Store is the platform's store.
type Store interface {
	// Read returns all rows of a table in ascending order of their keys.
	Read(ctx context.Context, t Table) (Snapshot, error)
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, t Table, key string) (Row, error)
	// Follow returns the changes after a version. It returns as soon as there is one, at the
	// latest after wait.
	Follow(ctx context.Context, t Table, after Revision, wait clock.Millis) (Snapshot, error)
	// Write writes a row if it is at the expected revision, and returns its new revision.
	Write(ctx context.Context, t Table, key string, value []byte, expected Revision) (Revision, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, t Table, key string, value []byte) error
	// RemoveAll removes up to 100 rows unconditionally.
	RemoveAll(ctx context.Context, t Table, keys []string) error
}

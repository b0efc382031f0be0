// Package store is what the product needs of the platform's store: tables of rows with
// versions, conditional writes and a feed of changes.
package store

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Table names a table of rows.
type Table string

// The product's own tables.
const (
	// VMs has a row for each entry VM, by its name.
	VMs Table = "vms"
	// ReplicaSets has a row for each cell, by its name.
	ReplicaSets Table = "lineups"
	// Estimates has a row for each cell: what its home has learnt.
	Estimates Table = "experiences"
	// Entry has the rows of the entry daemon, by names that begin with their purpose.
	Entry Table = "entry"
)

// Revision orders the changes of the whole store. 0 stands for a row that does not exist.
type Revision int64

// Row is a row of a table.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// Removed says that the row was dropped; only Follow returns such rows.
	Removed bool
}

// Snapshot is the content of a table, or its changes, as of a version.
type Snapshot struct {
	Rows    []Row
	Version Revision
}

var (
	// ErrUnavailable means that the store did not answer, or did not want to. A write may
	// have been done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrConflict means that a row was not at the expected revision. Nothing was written.
	ErrConflict = errors.New("row changed")
	// ErrNotFound means that there is no such row.
	ErrNotFound = errors.New("no such row")
	// ErrTooLarge means that the answer is longer than the client takes.
	ErrTooLarge = errors.New("answer too large")
	// ErrHistoryTruncated means that changes since the given version are no longer known.
	ErrHistoryTruncated = errors.New("history gone")
)

// Store is the platform's store.
type Store interface {
	// Read returns a whole table. Rows are in ascending order of their keys.
	Read(ctx context.Context, t Table) (Snapshot, error)
	// Get returns one row, or ErrAbsent.
	Get(ctx context.Context, t Table, key string) (Row, error)
	// Follow returns the changes after a version as soon as there is one, or after wait.
	Follow(ctx context.Context, t Table, after Revision, wait clock.Millis) (Snapshot, error)
	// Write puts a row if it is at the expected revision, and returns its new one.
	Write(ctx context.Context, t Table, key string, value []byte, expected Revision) (Revision, error)
	// Put puts a row whatever its revision.
	Put(ctx context.Context, t Table, key string, value []byte) error
}

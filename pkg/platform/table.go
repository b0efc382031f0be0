// Package platform gives the entry daemon access to the platform: a table service, an object
// store and a list of endpoint VMs. It uses the client in package platform at the root of the
// repository.
package platform

import (
	"context"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
)

// Key names a row.
type Key string

// Revision is the version of the store at the latest change of a row, so it grows with each
// change; 0 means that the row is absent.
type Revision uint64

// Row is a row of the table service.
type Row struct {
	Key      Key
	Revision Revision
	Value    []byte
}

// Errors of the table service and the object store.
var (
	ErrNotFound    = store.ErrNotFound
	ErrConflict    = store.ErrConflict
	ErrUnavailable = store.ErrUnavailable
	ErrTooLarge    = store.ErrTooLarge
)

// Table is the transactional table service. A write whose answer is lost may have taken
// effect: it fails with ErrUnavailable, and the writer has to read the row to find out.
type Table interface {
	Get(ctx context.Context, key Key) (Row, error)
	List(ctx context.Context, prefix Key) ([]Row, error)
	// Put writes the row if it has the expected revision; 0 expects that the row is absent.
	Put(ctx context.Context, key Key, expected Revision, value []byte) (Revision, error)
	Delete(ctx context.Context, key Key, expected Revision) error
}

// RowsTable is the table of the platform's store that holds the daemon's rows.
const RowsTable = store.Entry

// ObjectName names an object.
type ObjectName string

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name ObjectName, body []byte) error
	Get(ctx context.Context, name ObjectName) ([]byte, error)
}

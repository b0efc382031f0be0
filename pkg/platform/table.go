// Package platform is what the entry daemon needs of the platform: a table service, an object
// store and a list of endpoint VMs. Package platform at the root of the repository speaks to it.
package platform

import (
	"context"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
)

// Key names a row.
type Key string

// Revision counts the changes of a row; 0 stands for an absent row.
type Revision uint64

// Row is a row of the table service.
type Row struct {
	Key      Key
	Revision Revision
	Value    []byte
}

// Errors of the table service and the object store.
var (
	ErrAbsent      = store.ErrAbsent
	ErrConflict    = store.ErrConflict
	ErrUnavailable = store.ErrUnavailable
	ErrTooLarge    = store.ErrTooLarge
)

// Table is the transactional table service. A write whose answer is lost may have taken
// effect: it fails with ErrUnavailable, and the writer has to read the row back.
type Table interface {
	Get(ctx context.Context, key Key) (Row, error)
	List(ctx context.Context, prefix Key) ([]Row, error)
	// Put writes the row if its revision is as expected; 0 expects no row.
	Put(ctx context.Context, key Key, expected Revision, value []byte) (Revision, error)
	Delete(ctx context.Context, key Key, expected Revision) error
}

// RowsTable is the table of the platform's store that has the daemon's rows.
const RowsTable = store.Entry

// ObjectName names an object.
type ObjectName string

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name ObjectName, body []byte) error
	Get(ctx context.Context, name ObjectName) ([]byte, error)
}

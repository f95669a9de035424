package model

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrConflict reports a commit whose conditions did not hold; nothing was written.
var ErrConflict = errors.New("the row was changed by someone else")

// ErrUncertain reports a commit whose answer was lost; it may have taken effect.
var ErrUncertain = errors.New("the answer of the platform was lost; the commit may have taken effect")

type (
	// Row is a row of the platform's table; Revision 0 means that it does not exist.
	Row struct {
		Key      string
		Revision int64
		Value    []byte
	}
	// Condition requires a row to have a revision, where 0 means that it must not exist.
	Condition struct {
		Key      string
		Revision int64
	}
	// Write puts a value to a row, or deletes the row.
	Write struct {
		Key    string
		Value  []byte
		Delete bool
	}
	// Commit is a transaction on the table: it takes effect as a whole and only if all conditions hold, or not at all.
	Commit struct {
		Conditions []Condition
		Writes     []Write
	}
)

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row; a missing row has revision 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows with after < Key <= until, in key order.
	Scan(ctx context.Context, after, until string, limit int) ([]Row, error)
	// Commit returns ErrConflict if a condition failed and ErrUncertain if the answer was lost.
	Commit(ctx context.Context, commit Commit) error
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object in full.
	PutObject(ctx context.Context, name string, value []byte) error
	// GetObject returns an object and whether it exists.
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

package model

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrStoreUnavailable reports a store that refused a request or could not be reached; nothing was done.
	ErrStoreUnavailable = errors.New("the platform's store is unavailable")
	// ErrHistoryUnavailable reports a feed version from which the store no longer has all changes; the table has to be read in full.
	ErrHistoryUnavailable = errors.New("the history of the table is no longer available")
)

type (
	// TableName names a table of the platform's store.
	TableName string

	// StoredRow is a row of the platform's store; version 0 means that it does not exist.
	StoredRow struct {
		Table   TableName
		Key     string
		Version int64
		Value   []byte
		Removed bool
	}

	// Change is a transaction on rows: it takes effect as a whole and only if all expected versions hold, or not at all.
	Change struct {
		// Expected gives the versions that the rows must have.
		Expected []StoredRow
		Writes   []StoredRow
		Deletes  []StoredRow
	}

	// RowsPage holds rows as the store returned them.
	RowsPage struct {
		Rows []StoredRow
		// Version is the newest version of the store at the moment of the answer.
		Version int64
		// StoreTime is the monotonic clock of the store at that moment.
		StoreTime time.Duration
	}

	// RowStore is the platform's store as rows with versions and a change feed.
	RowStore interface {
		// Rows returns all rows of a table.
		Rows(ctx context.Context, table TableName) (RowsPage, error)
		// Feed returns the rows changed after a version, or none after wait has passed; it may return ErrHistoryUnavailable.
		Feed(ctx context.Context, table TableName, after int64, wait time.Duration) (RowsPage, error)
		// Apply returns the store's version after the change. Its errors are ErrConflict, ErrStoreUnavailable if nothing was done, and
		// ErrUncertain.
		Apply(ctx context.Context, change Change) (int64, error)
	}

	// Promotions orders new primaries at the platform.
	Promotions interface {
		// Promote orders the next primary and waits for the answer until the context ends. ErrConflict means that the instance does not run, and
		// ErrUncertain that the order was sent and not answered, so that it may still be carried out. After any other error it will not be.
		Promote(ctx context.Context, order PromoteOrder) error
	}

	// PromoteOrder names an instance that becomes the primary, under the fencing token of the holder of the coordinator lease.
	PromoteOrder struct {
		Group  GroupName
		Target InstanceName
		Holder VMID
		Fence  int64
		// SendBy is the instant after which the order is not sent any more; zero sets no limit.
		SendBy time.Time
	}
)

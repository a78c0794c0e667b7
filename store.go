package hoist

import (
	"context"
	"time"
)

// TableName names a table of the platform's store.
type TableName string

// PartName names a part of a table. A transaction within one part is cheaper
// than one over several, and parts work independently of each other.
type PartName string

// RowRef identifies one row of the store.
type RowRef struct {
	Table TableName
	Part  PartName
	Key   RowKey
}

// StoredRow is one row of the store. All rows written by one transaction have
// the same version.
type StoredRow struct {
	RowRef
	Value   []byte
	Version RowVersion
	// IsRemoved is set in changes for a row that no longer exists.
	IsRemoved bool
	// ReadAt is what the clock of the store showed when Get read the row.
	ReadAt StoreTime
}

// Precondition requires a row to be at a version; 0 means that it does not exist.
type Precondition struct {
	RowRef
	Version RowVersion
}

// Write sets the value of a row.
type Write struct {
	RowRef
	Value []byte
}

// Transaction changes rows if all preconditions hold, else none.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
	Remove        []RowRef
}

// Store is the platform's store as the scheduler of plans uses it: rows whose
// versions come from one counter, and a stream of changes. Its methods may be
// called concurrently.
type Store interface {
	// Commit applies a transaction and returns the version of the rows that it
	// wrote. It returns ErrConflict if a precondition does not hold,
	// ErrUnavailable if the transaction certainly had no effect, and
	// ErrOutcomeUnknown if it took effect or may still do so while its
	// preconditions hold.
	Commit(ctx context.Context, t Transaction) (RowVersion, error)
	// Get returns a row, with the time at which it was read if the store tells it. A row
	// that does not exist has version 0.
	Get(ctx context.Context, ref RowRef) (StoredRow, error)
	// Scan returns the rows of a part of a table, and the newest version that
	// the store had before the first of them was read.
	Scan(ctx context.Context, table TableName, part PartName) ([]StoredRow, RowVersion, error)
	// Changes waits up to wait for rows of a table that changed after a version.
	// It returns them in order, with the version from which to continue, or
	// ErrHistoryLost if the store no longer has all of the changes.
	Changes(ctx context.Context, table TableName, after RowVersion, wait time.Duration) ([]StoredRow, RowVersion, error)
}

package provider

import (
	"context"
	"time"
)

// StoreRow is one row of a table of a Store. Version 0 means that the row does
// not exist.
type StoreRow struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted is set in a result of Watch if the row was deleted.
	Deleted bool
}

// Page is the content of a table as of Version, or the changes up to Version.
type Page struct {
	Rows    []StoreRow
	Version uint64
}

// Commit is a transaction: either all of its changes apply or none.
type Commit struct {
	// Expect lists rows with the versions that they must have.
	Expect []StoreRow
	Put    []StoreRow
	Delete []StoreRow
}

// CommitResult says whether a Commit applied. If not, Current holds the current
// state of the expected rows.
type CommitResult struct {
	Applied bool
	Version uint64
	Current []StoreRow
}

// Store holds tables whose changes can be watched. An error of Commit means that
// the outcome is unknown, unless the error has type Refused.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a version. It waits for the first change for
	// at most wait. An error of type Compacted means that the store no longer has
	// all of these changes; the table has to be read again.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	Commit(ctx context.Context, change Commit) (CommitResult, error)
}

var (
	// Refused is the type of errors of calls that the platform rejected without
	// effect.
	Refused = namespace.NewType("refused")
	// Compacted is the type of errors of Watch for changes that the store no
	// longer has.
	Compacted = namespace.NewType("compacted")
)

package provider

import (
	"context"
	"time"
)

// StoreRow is one row of one of the platform's tables. Version 0 means that the
// row does not exist.
type StoreRow struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks an entry of Watch that says that the row is gone.
	Deleted bool
}

// Page is the content of a table, or what has changed in it, as of Version.
type Page struct {
	Rows    []StoreRow
	Version uint64
}

// Commit is a change that applies whole or not at all.
type Commit struct {
	// Expect lists rows with the versions that they must have.
	Expect []StoreRow
	Put    []StoreRow
	Delete []StoreRow
}

// CommitResult says whether a Commit applied. If not, Current holds the rows
// that it expected as they are.
type CommitResult struct {
	Applied bool
	Version uint64
	Current []StoreRow
}

// Store is the platform's store of tables whose changes can be followed.
// Errors of Commit mean that the outcome is unknown, except those of type
// Refused.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a version. It waits for the first of them
	// for at most wait. An error of type Compacted means that the history
	// begins later: the table has to be read again.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	Commit(ctx context.Context, change Commit) (CommitResult, error)
}

var (
	// Refused is the type of errors of calls that the platform turned away
	// without effect.
	Refused = namespace.NewType("refused")
	// Compacted is the type of errors of Watch when history is gone.
	Compacted = namespace.NewType("compacted")
)

package provider

import (
	"context"
	"time"
)

// Version orders the states of a store. A store that returns from an older copy begins
// a new era and gives out numbers again, so any version of a later era is newer than all
// of an earlier one. Zero is the version of a row that does not exist.
type Version uint64

const (
	eraShift   = 40
	numberMask = 1<<eraShift - 1
)

// NewVersion returns the version with a number, below 2^40, in an era, below 2^24. The
// era is 0 for a store without eras.
func NewVersion(era, number uint64) Version { return Version(era<<eraShift | number&numberMask) }

// Era returns the era of a version.
func (v Version) Era() uint64 { return uint64(v) >> eraShift }

// Number returns the number of a version in its era.
func (v Version) Number() uint64 { return uint64(v) & numberMask }

// StoreRow is one row of a table of a Store. Version 0 means that the row does
// not exist.
type StoreRow struct {
	Table   string
	Key     string
	Value   []byte
	Version Version
	// Deleted is set in a result of Watch if the row was deleted.
	Deleted bool
}

// Page is the content of a table as of Version, or the changes up to Version.
type Page struct {
	Rows    []StoreRow
	Version Version
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
	Version Version
	Current []StoreRow
}

// Store holds tables whose changes can be watched. An error of Commit means that
// the outcome is unknown, unless the error has type Refused.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a version. It waits for the first change for
	// at most wait. An error of type Compacted means that the store no longer has
	// all of these changes, or has begun a new era; the table has to be read again.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
	// Commit is refused if a row is expected to have a version of an earlier era. If an
	// era begins during the call, the outcome is unknown.
	Commit(ctx context.Context, change Commit) (CommitResult, error)
	// Era returns the newest era that the store has reported, 0 if none.
	Era() uint64
}

var (
	// Refused is the type of errors of calls that the platform rejected without
	// effect.
	Refused = namespace.NewType("refused")
	// Compacted is the type of errors of Watch for changes that the store no
	// longer has.
	Compacted = namespace.NewType("compacted")
)

package emulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// History is how long changes are kept for Watch. Zero means forever.
	History time.Duration
	// Latency, if set, returns how long an answer is on its way.
	Latency func() time.Duration
	Now     func() time.Time
}

// Store is a store of rows in memory that counts its calls. Its answers to Watch have
// all changes since a version, in order, also those of a row that was deleted since. It
// implements provider.Store and is safe for concurrent use.
type Store struct {
	cfg StoreConfig

	mu      sync.Mutex
	number  provider.Version
	rows    map[string]map[string]provider.StoreRow
	history map[string][]storeChange
	// forgotten is the version up to which changes are no longer kept.
	forgotten provider.Version
	changed   chan struct{}
	calls     map[string]int
}

// storeChange is a change of a row and when it was made.
type storeChange struct {
	row provider.StoreRow
	at  time.Time
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{
		cfg: cfg, rows: map[string]map[string]provider.StoreRow{}, history: map[string][]storeChange{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Era returns 0: the store never returns from an older copy.
func (s *Store) Era() uint64 { return 0 }

// Put writes rows and returns their version.
func (s *Store) Put(rows ...provider.StoreRow) provider.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(rows, nil)
}

// Delete deletes a row and returns the version of the deletion.
func (s *Store) Delete(table, key string) provider.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(nil, []provider.StoreRow{{Table: table, Key: key}})
}

// Calls returns the numbers of calls by kind and table.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// TotalCalls returns the number of all calls.
func (s *Store) TotalCalls() (sum int) {
	for _, n := range s.Calls() {
		sum += n
	}
	return sum
}

// Read returns a whole table.
func (s *Store) Read(ctx context.Context, table string) (provider.Page, error) {
	s.mu.Lock()
	s.calls["read "+table]++
	page := provider.Page{Version: max(1, s.number)}
	for _, key := range slices.Sorted(maps.Keys(s.rows[table])) {
		page.Rows = append(page.Rows, s.rows[table][key])
	}
	s.mu.Unlock()
	return page, s.deliver(ctx)
}

// Watch returns the changes of a table after a version. It waits for the first one.
func (s *Store) Watch(ctx context.Context, table string, after provider.Version, wait time.Duration) (provider.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.count("watch " + table)
	for waiting := true; ; {
		page, changed, err := s.changesAfter(table, after)
		if err != nil {
			return provider.Page{}, err
		}
		if len(page.Rows) > 0 || !waiting {
			return page, s.deliver(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return provider.Page{}, provider.Unreachable.Wrap(ctx.Err(), "watch %s", table)
		}
	}
}

// Commit applies all parts of a change or none.
func (s *Store) Commit(ctx context.Context, change provider.Commit) (provider.CommitResult, error) {
	result := s.commit(change)
	return result, s.deliver(ctx)
}

func (s *Store) commit(change provider.Commit) provider.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range change.Put {
		s.calls["write "+row.Table]++
	}
	for _, row := range change.Delete {
		s.calls["delete "+row.Table]++
	}
	for _, row := range change.Expect {
		if current := s.rows[row.Table][row.Key]; current.Version != row.Version {
			return provider.CommitResult{Version: s.number, Current: []provider.StoreRow{current}}
		}
	}
	return provider.CommitResult{Applied: true, Version: s.apply(change.Put, change.Delete)}
}

// apply writes and deletes rows in one transaction. The lock must be held.
func (s *Store) apply(put, remove []provider.StoreRow) provider.Version {
	s.number++
	for _, row := range put {
		row.Version = s.number
		if s.rows[row.Table] == nil {
			s.rows[row.Table] = map[string]provider.StoreRow{}
		}
		s.rows[row.Table][row.Key] = row
		s.record(row)
	}
	for _, row := range remove {
		if _, exists := s.rows[row.Table][row.Key]; exists {
			delete(s.rows[row.Table], row.Key)
			s.record(provider.StoreRow{Table: row.Table, Key: row.Key, Version: s.number, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.number
}

// record adds a change to the history and forgets those that are too old.
func (s *Store) record(row provider.StoreRow) {
	now := s.cfg.Now()
	history := append(s.history[row.Table], storeChange{row: row, at: now})
	for s.cfg.History > 0 && now.Sub(history[0].at) > s.cfg.History {
		s.forgotten = max(s.forgotten, history[0].row.Version)
		history = history[1:]
	}
	s.history[row.Table] = history
}

// changesAfter returns the changes of a table after a version and a channel that is closed
// at the next change of any table.
func (s *Store) changesAfter(table string, after provider.Version) (provider.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return provider.Page{}, nil, provider.Compacted.New("changes up to %d are no longer kept", s.forgotten)
	}
	page := provider.Page{Version: max(1, s.number)}
	for _, change := range s.history[table] {
		if change.row.Version > after {
			page.Rows = append(page.Rows, change.row)
		}
	}
	return page, s.changed, nil
}

func (s *Store) count(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
}

// latency returns how long the next answer is on its way.
func (s *Store) latency() time.Duration {
	if s.cfg.Latency == nil {
		return 0
	}
	return s.cfg.Latency()
}

// deliver waits while an answer is on its way.
func (s *Store) deliver(ctx context.Context) error {
	if delay := s.latency(); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return provider.Unreachable.Wrap(ctx.Err(), "the answer of the store")
	}
	return nil
}

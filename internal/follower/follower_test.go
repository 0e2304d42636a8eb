package follower_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

// step is one response of a scripted store and the duration of the call.
type step struct {
	after time.Duration
	page  provider.Page
	err   error
	// read and waits say what call the step expects.
	read  bool
	waits time.Duration
}

// script is a store that answers from a list and moves the clock.
type script struct {
	t     *testing.T
	steps []step
	now   time.Time
	done  context.CancelFunc

	mu   sync.Mutex
	seen map[string]string
	log  []string
}

func (s *script) next(read bool, wait time.Duration) (provider.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		s.done()
		return provider.Page{}, errors.New("the script has ended")
	}
	at := s.steps[0]
	s.steps = s.steps[1:]
	require.Equal(s.t, at.read, read, "%d steps left", len(s.steps))
	require.Equal(s.t, at.waits, wait, "%d steps left", len(s.steps))
	s.now = s.now.Add(at.after)
	return at.page, at.err
}

func (s *script) Read(context.Context, string) (provider.Page, error) { return s.next(true, 0) }

func (s *script) Watch(_ context.Context, _ string, _ uint64, wait time.Duration) (provider.Page, error) {
	return s.next(false, wait)
}

func (s *script) Commit(context.Context, provider.Commit) (provider.CommitResult, error) {
	return provider.CommitResult{}, errors.New("not part of the script")
}

func (s *script) apply(_ time.Time, changed []provider.StoreRow) {
	for _, e := range changed {
		if e.Deleted {
			delete(s.seen, e.Key)
			s.log = append(s.log, "-"+e.Key)
			continue
		}
		s.seen[e.Key] = string(e.Value)
		s.log = append(s.log, "+"+e.Key)
	}
}

func (s *script) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

const (
	wait  = 5 * time.Second
	grace = 2400 * time.Millisecond
	// probing is the wait of calls while rows are missing.
	probing = grace / 4
)

func play(t *testing.T, steps ...step) *script {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{t: t, steps: steps, now: time.UnixMilli(1_700_000_000_000), done: cancel, seen: map[string]string{}}
	f := follower.New(follower.Config{
		Store: s, Table: "servers", PollTimeout: wait, GracePeriod: grace, Apply: s.apply, Now: s.clock, Log: zerolog.Nop(),
	})
	_, ever := f.Age(s.now)
	require.False(t, ever)
	require.NoError(t, f.Run(ctx))
	return s
}

func row(key string, version uint64) provider.StoreRow {
	return provider.StoreRow{Table: "servers", Key: key, Value: []byte(key), Version: version}
}

func dropped(key string, version uint64) provider.StoreRow {
	return provider.StoreRow{Table: "servers", Key: key, Version: version, Deleted: true}
}

func whole(version uint64, rows ...provider.StoreRow) step {
	return step{read: true, page: provider.Page{Version: version, Rows: rows}}
}

func changes(version uint64, rows ...provider.StoreRow) step {
	return step{waits: wait, page: provider.Page{Version: version, Rows: rows}}
}

var errDown = provider.Unreachable.New("down")

func TestFollowsChangesAndDropsAtOnce(t *testing.T) {
	s := play(t, whole(5, row("a", 3), row("b", 5)), changes(6, row("c", 6)), changes(8, dropped("a", 7), row("b", 8)))
	require.Equal(t, []string{"b", "c"}, slices.Sorted(maps.Keys(s.seen)))
	require.Equal(t, []string{"+a", "+b", "+c", "-a", "+b"}, s.log)
}

// After a loss of history the table is read again. Rows that were deleted in
// between are removed, and a page that is older than the copy changes nothing.
func TestReadsAgainAfterLostHistory(t *testing.T) {
	gone := step{waits: wait, err: provider.Compacted.New("gone")}
	s := play(t, whole(5, row("a", 3), row("b", 5), row("c", 5)), gone, whole(4, row("a", 3)), whole(9, row("b", 5), row("c", 5), row("d", 9)))
	require.Equal(t, []string{"b", "c", "d"}, slices.Sorted(maps.Keys(s.seen)))
}

// Most rows lapsed while the store was away. They are kept until their writers
// have had time to write them again; what is missing then is gone.
func TestLapsedRowsAreKeptForTheGrace(t *testing.T) {
	s := play(
		t,
		whole(5, row("a", 1), row("b", 2), row("c", 3)),
		step{waits: wait, err: errDown}, step{after: 4 * time.Second, err: errDown},
		step{page: provider.Page{Version: 8, Rows: []provider.StoreRow{dropped("a", 6), dropped("b", 7), dropped("c", 8)}}},
		step{waits: probing, after: time.Second, page: provider.Page{Version: 9, Rows: []provider.StoreRow{row("a", 9)}}},
		step{waits: probing, after: time.Second, page: provider.Page{Version: 9}},
		step{waits: probing, after: time.Second, page: provider.Page{Version: 9}},
	)
	require.Equal(t, []string{"+a", "+b", "+c", "+a", "-b", "-c"}, s.log)
}

// One row of many that is dropped after the store was away from this entry is
// gone at once: its writer left.
func TestSingleRowIsDroppedAfterTheStoreWasAway(t *testing.T) {
	s := play(
		t,
		whole(5, row("a", 1), row("b", 2), row("c", 3)),
		step{waits: wait, err: errDown}, step{after: 4 * time.Second, err: errDown},
		step{page: provider.Page{Version: 6, Rows: []provider.StoreRow{dropped("a", 6)}}},
	)
	require.Equal(t, []string{"b", "c"}, slices.Sorted(maps.Keys(s.seen)))
}

// What others have read from the store counts where the copy is not past it, and
// is not undone by older pages that arrive later.
func TestLearnsFromOthersByVersion(t *testing.T) {
	s := &script{t: t, now: time.UnixMilli(1_700_000_000_000), seen: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var f *follower.Follower
	learn := func(rows ...provider.StoreRow) { f.Update(s.now, rows) }
	s.steps = []step{
		whole(5, row("a", 3), row("b", 5), row("c", 4)),
		changes(5),
		{read: false, waits: wait, page: provider.Page{Version: 7, Rows: []provider.StoreRow{row("a", 6), row("e", 7)}}},
		{read: false, waits: wait, err: provider.Compacted.New("gone")},
		whole(8, row("a", 6), row("b", 5)),
	}
	rounds := 0
	s.done = cancel
	f = follower.New(follower.Config{
		Store: s, Table: "servers", PollTimeout: wait, GracePeriod: grace, Apply: s.apply, Log: zerolog.Nop(),
		Now: func() time.Time {
			if rounds++; rounds == 2 {
				learn(row("a", 4), dropped("b", 5), dropped("c", 6), row("d", 9), dropped("x", 9), row("a", 6))
			}
			return s.clock()
		},
	})
	learn(row("z", 1))
	require.NoError(t, f.Run(ctx))
	require.Equal(t, []string{"+a", "+b", "+c", "-c", "+d", "+a", "+e", "-e"}, s.log)
	require.Equal(t, []string{"a", "b", "d"}, slices.Sorted(maps.Keys(s.seen)))
}

// While others tell of changes calls are rare; when they fall silent the next
// call is made at once.
func TestCallsAreRareWhileOthersTell(t *testing.T) {
	s := &script{t: t, now: time.UnixMilli(1_700_000_000_000), seen: map[string]string{}}
	s.steps = []step{whole(5, row("a", 3)), changes(6), changes(7)}
	ctx, cancel := context.WithCancel(context.Background())
	s.done = cancel
	looks := 0
	f := follower.New(follower.Config{
		Store: s, Table: "servers", PollTimeout: wait, GracePeriod: grace, Apply: s.apply, Log: zerolog.Nop(), SlowPollInterval: time.Hour,
		Now:              s.clock,
		PeersSendUpdates: func(time.Time) bool { looks++; return looks%2 == 1 },
	})
	require.NoError(t, f.Run(ctx))
	require.Equal(t, 6, looks, "each pause went on once")
}

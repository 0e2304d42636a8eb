package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// countingStore is a store that counts its calls by kind and table.
type countingStore struct {
	mu      sync.Mutex
	number  provider.Version
	rows    map[string]map[string]provider.StoreRow
	changed chan struct{}
	calls   map[string]int
}

func newCountingStore() *countingStore {
	return &countingStore{rows: map[string]map[string]provider.StoreRow{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (s *countingStore) Era() uint64 { return 0 }

// page returns the rows of a table that are newer than a version.
func (s *countingStore) page(table string, after provider.Version) provider.Page {
	page := provider.Page{Version: max(1, s.number)}
	for _, key := range slices.Sorted(maps.Keys(s.rows[table])) {
		if row := s.rows[table][key]; row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (s *countingStore) Read(_ context.Context, table string) (provider.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["read "+table]++
	return s.page(table, 0), nil
}

func (s *countingStore) Watch(ctx context.Context, table string, after provider.Version, wait time.Duration) (provider.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls["watch "+table]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		page, changed := s.page(table, after), s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return provider.Page{}, ctx.Err()
		}
	}
}

func (s *countingStore) Commit(_ context.Context, change provider.Commit) (provider.CommitResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range change.Put {
		s.calls["write "+row.Table]++
	}
	for _, row := range change.Expect {
		if s.rows[row.Table][row.Key].Version != row.Version {
			return provider.CommitResult{Current: []provider.StoreRow{s.rows[row.Table][row.Key]}}, nil
		}
	}
	s.put(change.Put...)
	return provider.CommitResult{Applied: true, Version: s.number}, nil
}

func (s *countingStore) put(rows ...provider.StoreRow) {
	s.number++
	for _, row := range rows {
		row.Version = s.number
		if s.rows[row.Table] == nil {
			s.rows[row.Table] = map[string]provider.StoreRow{}
		}
		s.rows[row.Table][row.Key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// counts returns the numbers of calls by kind and table.
func (s *countingStore) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// total returns the number of all calls.
func (s *countingStore) total() (sum int) {
	for _, n := range s.counts() {
		sum += n
	}
	return sum
}

// startStoreLoad starts the tasks of the entries of a cluster that call its store, and
// their messages, in a synctest bubble, until the returned function is called.
func startStoreLoad(t *testing.T, n int, s *countingStore) (*cluster, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	c := newCluster(t, n)
	for _, g := range c.entries {
		g.cfg.Store, g.cfg.Now, g.cfg.LeaseNow, g.cfg.Log, g.cfg.Cloud = s, time.Now, time.Now, zerolog.Nop(), &fakeCloud{}
		g.cfg.Tables = Tables{Operator: "operator", ConfigKey: "config", Upstreams: "upstreams", Entries: "entries", Leases: "leases", Quarantine: "quarantine"}
		g.cfg.Decoder = listDecoder{}
		g.cfg.StoreHistory, g.cfg.OrdersVMs, g.cfg.UsageWindow = 20*time.Second, false, 0
		g.startedAt = time.Now()
		g.state = newState(g.cfg, g.boot)
		g.leader = newLeader(g)
		g.follow()
		for _, run := range []func(context.Context) error{
			g.configFollower.Run, g.upstreamFollower.Run, g.followEntries, g.quarantineFollower.Run, g.maintainMemberRow, g.leader.run,
		} {
			running.Go(func() { _ = run(ctx) })
		}
	}
	running.Go(func() {
		for ctx.Err() == nil {
			for _, g := range c.entries {
				for _, envelope := range g.roundMessages(time.Now()) {
					for _, to := range envelope.Receivers {
						c.entries[c.byAddress[to]].receive(time.Now(), netip.AddrPort{}, envelope.Message)
					}
				}
			}
			time.Sleep(gossipInterval)
		}
	})
	return c, func() {
		cancel()
		running.Wait()
	}
}

// leastStoreCalls returns how many calls in a time without changes the bounds ask for: in
// each group one relay reads the list, each relay waits for changes of the other shared
// tables, one entry confirms those for all, and each entry writes its row and reads those
// of the others.
func leastStoreCalls(g *Gateway, n int, d time.Duration) float64 {
	relays, readers := 2*clusterDomains, clusterDomains
	if n <= 16 {
		relays, readers = n, n
	}
	times := func(interval time.Duration) float64 { return d.Seconds() / interval.Seconds() }
	share := func(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
	g.state.mu.Lock()
	rowInterval := memberRowInterval * g.state.memberIntervalFactor()
	g.state.mu.Unlock()
	lists := float64(readers) * times(share(listPollShare+listPauseShare, g.cfg.MaxLeavingDelay))
	polls := float64(relays) * (times(configPollTimeout) + times(quarantinePollTimeout))
	checks := 2 * times(share(firstFreshShare, g.cfg.MaxStaleness))
	rows := float64(n) * 2 * times(min(rowInterval, maxMemberPollInterval))
	return lists + polls + checks + rows + times(g.cfg.MinLeaderGap/2)
}

// On a quiet day each of many entries waited for changes of each table by itself, and
// most of what the deployment cost were calls to the store (10,105 of 195 entries).
func TestQuietStoreLoad(t *testing.T) {
	for _, n := range []int{9, 18, 81, 195} {
		synctest.Test(t, func(t *testing.T) {
			s := newCountingStore()
			c, stop := startStoreLoad(t, n, s)
			defer stop()
			const settled, measured = 15 * time.Second, 20 * time.Second
			time.Sleep(settled)
			for i, g := range c.entries {
				require.Equal(t, c.entries[0].state.memberCount(), g.state.memberCount(), "entry %d knows all others", i)
			}
			before := s.total()
			time.Sleep(measured)
			calls := s.total() - before
			least := leastStoreCalls(c.entries[0], n, measured)
			t.Logf("%d entries: %d calls in %v, at least %.0f: %v", n, calls, measured, least, s.counts())
			require.LessOrEqual(t, float64(calls), 2*least, "%d entries: %v", n, s.counts())
		})
	}
}

// A change of the configuration reaches members that do not wait for it themselves.
func TestMembersLearnChangesFromRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCountingStore()
		c, stop := startStoreLoad(t, 81, s)
		defer stop()
		// Longer than the store keeps its history.
		time.Sleep(25 * time.Second)
		s.mu.Lock()
		s.put(provider.StoreRow{Table: "operator", Key: "config"})
		version := s.number
		s.mu.Unlock()
		before := s.total()
		time.Sleep(time.Second)
		for i, g := range c.entries {
			status, _ := g.configFollower.Status(time.Now(), false)
			require.Equal(t, version, status.Newest, "entry %d, relay %t", i, g.state.plan.IsRelay)
		}
		require.Less(t, s.total()-before, 81+40, "one call an entry")
	})
}

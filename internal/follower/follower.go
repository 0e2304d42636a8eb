package follower

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
)

const (
	// minBackoff and MaxBackoff limit the delay after a failed call.
	minBackoff = 50 * time.Millisecond
	MaxBackoff = 800 * time.Millisecond
	// minOutage is the shortest time of failed calls that counts as an outage of
	// the store.
	minOutage = time.Second
	// massExpiryShare is the share of the rows above which rows that are missing
	// after an outage are kept for the grace period.
	massExpiryShare = 0.5
)

// Config configures a Follower.
type Config struct {
	Store provider.Store
	Table string
	// PollTimeout is how long one call waits for changes.
	PollTimeout time.Duration
	// MaxPollTimeout, if set, is called before each call and limits PollTimeout.
	// A shorter timeout keeps Age lower, since Age decreases only when a call
	// returns.
	MaxPollTimeout func() time.Duration
	// PollInterval is the delay between two calls, in which changes accumulate.
	PollInterval time.Duration
	// PeersSendUpdates, if set, is called during that delay. While it returns true
	// the delay is extended, up to SlowPollInterval: peers send the changes, and
	// Update merges them.
	PeersSendUpdates func(now time.Time) bool
	SlowPollInterval time.Duration
	// PeersConfirm, if set, reports whether peers tell how up to date the copy is. While it
	// returns true, and a peer has confirmed the copy within RelyFor, no poll waits for
	// changes: a check asks for those that a peer has. FreshFor must be set too.
	PeersConfirm func(now time.Time) bool
	RelyFor      time.Duration
	// Peers, if set, are asked for their copies of the table while the store refuses or does
	// not answer this follower's calls and the copy lacks a change that a peer has, or was
	// never read. CheckTimeout must be set too.
	Peers PeerReader
	// Small says that the table is small and its rows are replaced often: after a failure,
	// or if a peer has a change, reading it takes less time than reading each change since.
	Small bool
	// History is how long the store keeps changes. After that time without an answer the
	// table is read instead of asking for changes. Zero means any time.
	History time.Duration
	// GracePeriod is how long missing rows are kept after an outage.
	GracePeriod time.Duration
	// Apply receives the rows that changed, and deletions of rows that the copy did not
	// have. Calls do not overlap.
	Apply func(now time.Time, changed []provider.StoreRow)
	// OnNewEra, if set, is called when the table has been read in a new era.
	OnNewEra func()
	// FreshFor, if set, returns for how long the copy counts as up to date after it was
	// confirmed, by the store or by a peer. After that a call of its own asks the store
	// for changes, for at most CheckTimeout. Zero means not to ask.
	FreshFor     func() time.Duration
	CheckTimeout time.Duration
	// PeerLead returns how long a change that a peer has may take to arrive here as well,
	// beside PollInterval. It is required if FreshFor is set.
	PeerLead func() time.Duration
	Now      func() time.Time
	// SteadyNow is a clock that goes on while the machine is suspended. Nil means Now.
	SteadyNow func() time.Time
	Log       zerolog.Logger
}

// Follower is a local copy of one table.
type Follower struct {
	cfg Config
	// applyMu is held while changes are merged and applied, so that they are
	// applied in the order of their versions.
	applyMu sync.Mutex

	mu      sync.Mutex
	rows    map[string]provider.StoreRow
	version provider.Version
	// deleted holds the versions of deletions that a peer sent, above version: older
	// content of these rows may still arrive.
	deleted     map[string]provider.Version
	failedSince time.Time
	// failures is the number of failed calls since failedSince.
	failures int
	// missing holds the ends of the grace periods of missing rows, by key. lost are
	// those that a copy lacked to which the store returned.
	missing map[string]time.Time
	lost    map[string]bool
	// graceEnd is the end of the grace period after the last outage.
	graceEnd time.Time

	// loaded reports whether the table was read and changes can be asked for.
	loaded    bool
	freshness freshness
	// poll is the call that waits for changes, nil between two of them.
	poll *poll
	// checkAgain wakes keepFresh, askAgain wakes followPeers.
	checkAgain, askAgain chan struct{}
	following            following
}

// New returns a follower with an empty copy.
func New(cfg Config) *Follower {
	if cfg.SteadyNow == nil {
		cfg.SteadyNow = cfg.Now
	}
	return &Follower{
		cfg: cfg, rows: map[string]provider.StoreRow{}, deleted: map[string]provider.Version{}, missing: map[string]time.Time{}, lost: map[string]bool{},
		checkAgain: make(chan struct{}, 1), askAgain: make(chan struct{}, 1),
	}
}

// Age returns the time since the store last confirmed the copy to this follower, and
// whether it ever did. now is a time of the steady clock.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	status, read := f.Status(now, true)
	return status.Age, read
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	if f.cfg.FreshFor != nil {
		checks.Go(func() { f.keepFresh(ctx) })
	}
	if f.cfg.Peers != nil {
		checks.Go(func() { f.followPeers(ctx) })
	}
	f.pollStore(ctx)
	checks.Wait()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return ctx.Err()
}

// pollStore reads the table and waits for its changes until ctx ends.
func (f *Follower) pollStore(ctx context.Context) {
	backoff := minBackoff
	for f.waitForNeed(ctx) {
		p := f.beginPoll(ctx)
		page, err := p.call()
		now := f.cfg.Now()
		cause := f.endPoll(p)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(cause, errOvertaken) {
			continue
		}
		if err != nil {
			if errorx.IsOfType(err, provider.Compacted) {
				// The store responds, so a backoff from failures before does not apply.
				backoff = minBackoff
				f.setLoaded(false)
				f.cfg.Log.Info().Str("event", "store_history_lost").Str("table", f.cfg.Table).Uint64("version", p.after.Number()).Uint64("era", p.after.Era()).Send()
			} else if !errors.Is(cause, errUnconfirmed) {
				f.recordFailure(now, f.cfg.SteadyNow().Sub(p.start), err)
			}
			if !waiter.Pause(ctx, backoff/2+rand.N(backoff/2)) {
				break
			}
			backoff = min(MaxBackoff, 2*backoff)
			continue
		}
		applied := f.applyPage(now, page, p.query, p.confirms(page, f.cfg.SteadyNow()))
		f.setLoaded(applied && page.Version > 0)
		if !applied {
			// The store will have newer content soon.
			if !waiter.Pause(ctx, backoff/2+rand.N(backoff/2)) {
				break
			}
			backoff = min(MaxBackoff, 2*backoff)
			continue
		}
		backoff = minBackoff
		if !f.waitForNextPoll(ctx) {
			break
		}
	}
}

// peerUpdatesCheckInterval is the time between two calls of PeersSendUpdates.
const peerUpdatesCheckInterval = 250 * time.Millisecond

// waitForNextPoll waits until the next poll is due. It returns false once ctx
// has ended.
func (f *Follower) waitForNextPoll(ctx context.Context) bool {
	start := f.cfg.Now()
	if !waiter.Pause(ctx, f.cfg.PollInterval) {
		return false
	}
	for f.cfg.PeersSendUpdates != nil {
		now := f.cfg.Now()
		if now.Sub(start) >= f.cfg.SlowPollInterval || f.hasMissing() || !f.cfg.PeersSendUpdates(now) {
			return true
		}
		if !waiter.Pause(ctx, peerUpdatesCheckInterval) {
			return false
		}
	}
	return true
}

// waitForNeed waits while peers confirm the copy, unless there is something to poll for. It
// returns false once ctx has ended.
func (f *Follower) waitForNeed(ctx context.Context) bool {
	for f.cfg.PeersConfirm != nil && f.isSettled() && f.isConfirmedByPeers(f.cfg.SteadyNow()) && f.cfg.PeersConfirm(f.cfg.Now()) {
		if !waiter.Pause(ctx, peerUpdatesCheckInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// hasMissing reports whether rows are missing, which a page of the store brings back or
// removes.
func (f *Follower) hasMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.missing) > 0
}

// isSettled reports whether the table was read, the store answers and no row is missing.
func (f *Follower) isSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.failedSince.IsZero() && len(f.missing) == 0
}

// Update merges changes that a peer has read from the store. Changes that are
// not newer than the copy are ignored.
func (f *Follower) Update(now time.Time, rows []provider.StoreRow) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	changed := f.mergeUpdate(rows)
	if len(changed) == 0 {
		return
	}
	f.cfg.Apply(now, changed)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshness.newest = max(f.freshness.newest, newestOf(changed))
}

func (f *Follower) mergeUpdate(rows []provider.StoreRow) []provider.StoreRow {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []provider.StoreRow
	for _, row := range newestRows(rows) {
		if f.freshness.confirmedAt.IsZero() || row.Version <= f.version || !f.isNew(row) {
			continue
		}
		f.forgetMissing(row.Key)
		if row.Deleted {
			delete(f.rows, row.Key)
			f.deleted[row.Key] = row.Version
		} else {
			delete(f.deleted, row.Key)
			f.rows[row.Key] = row
		}
		changed = append(changed, row)
	}
	return changed
}

// isNew reports whether a row is newer than what is known of its key. Content that is older
// than its deletion is logged.
func (f *Follower) isNew(row provider.StoreRow) bool {
	if deletion, deleted := f.deleted[row.Key]; deleted {
		if row.Version < deletion {
			f.cfg.Log.Info().Str("event", "row_outdated").Str("table", f.cfg.Table).Str("row", row.Key).Uint64("row_version", row.Version.Number()).
				Uint64("deletion", deletion.Number()).Uint64("version", f.version.Number()).Send()
		}
		return row.Version > deletion
	}
	old, exists := f.rows[row.Key]
	return !exists || row.Version > old.Version
}

// newestRows returns the newest of the rows of each key, in their order.
func newestRows(rows []provider.StoreRow) []provider.StoreRow {
	newest := make(map[string]int, len(rows))
	for i, row := range rows {
		if j, ok := newest[row.Key]; !ok || row.Version >= rows[j].Version {
			newest[row.Key] = i
		}
	}
	kept := make([]provider.StoreRow, 0, len(newest))
	for i, row := range rows {
		if newest[row.Key] == i {
			kept = append(kept, row)
		}
	}
	return kept
}

// pollTimeout returns how long the next call waits for changes: zero after a
// failure, so that the recovery of the store is detected at once.
func (f *Follower) pollTimeout() time.Duration {
	timeout := f.cfg.PollTimeout
	if f.cfg.MaxPollTimeout != nil {
		// MaxPollTimeout may take locks whose holders call Age, so f.mu must not be
		// held here.
		timeout = min(timeout, f.cfg.MaxPollTimeout())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.failedSince.IsZero():
		return 0
	case len(f.missing) > 0:
		return min(timeout, f.cfg.GracePeriod/4)
	default:
		return timeout
	}
}

// recordFailure records a call that failed after the given time.
func (f *Follower) recordFailure(now time.Time, took time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	wake(f.askAgain)
	if f.failedSince.IsZero() {
		f.failedSince = now
		f.cfg.Log.Warn().Str("event", "store_lost").Str("table", f.cfg.Table).Uint64("version", f.version.Number()).Uint64("era", f.version.Era()).Dur("took", took).Err(err).Send()
	}
}

// applyPage merges the page of a query that confirms the copy as of a time of the steady
// clock, and applies the changes. It returns false for a page that is older than the copy
// was when the query began; such a page changes nothing.
func (f *Follower) applyPage(now time.Time, page provider.Page, q query, confirmed time.Time) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	f.recordRecovery(now)
	changed, result := f.mergePage(now, page, q, false)
	if result == pageStale {
		known := f.known()
		f.cfg.Log.Warn().Str("event", "store_answer_stale").Str("table", f.cfg.Table).Uint64("version", page.Version.Number()).Uint64("era", page.Version.Era()).Uint64("known", known.Number()).Uint64("known_era", known.Era()).Send()
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		f.cfg.Apply(now, changed)
	}
	if result == pageMerged {
		// Not before the changes are applied: others may rely on it.
		f.confirmOwn(confirmed, page, q)
	}
	return result != pageStale
}

// pageResult says what a page of the store was to the copy.
type pageResult int

const (
	pageMerged pageResult = iota
	// pageOvertaken is a page when another call has returned later changes already.
	pageOvertaken
	pageStale
)

// known returns the newest version up to which the copy has all changes. The lock must be
// held.
func (f *Follower) known() provider.Version { return max(f.version, f.freshness.complete) }

// mergePage merges the page of a query, or the copy of a peer, and returns the changes. A row that
// is missing in the store may be in a copy: the peer keeps it as well. The lock must be held.
func (f *Follower) mergePage(now time.Time, page provider.Page, q query, fromPeer bool) ([]provider.StoreRow, pageResult) {
	whole := q.isWhole()
	if page.Version < f.known() {
		if q.since > 0 && page.Version >= q.since {
			return nil, pageOvertaken
		}
		return nil, pageStale
	}
	newEra := f.version > 0 && page.Version.Era() > f.version.Era()
	if newEra {
		f.graceEnd = now.Add(f.cfg.GracePeriod)
		f.cfg.Log.Info().Str("event", "table_era").Str("table", f.cfg.Table).Uint64("era", page.Version.Era()).Uint64("previous", f.version.Era()).
			Uint64("version", page.Version.Number()).Uint64("previous_version", f.version.Number()).Int("rows", len(page.Rows)).Int("known", len(f.rows)).Send()
		if f.cfg.OnNewEra != nil {
			f.cfg.OnNewEra()
		}
	}
	previous := f.version
	f.version = page.Version
	var changed []provider.StoreRow
	seen := map[string]bool{}
	for _, row := range newestRows(page.Rows) {
		seen[row.Key] = true
		switch {
		case !whole && row.Version <= previous:
			// Another call has returned it.
		case !f.isNew(row):
			if !fromPeer {
				f.forgetMissing(row.Key)
			}
		case row.Deleted:
			delete(f.lost, row.Key)
			if _, exists := f.rows[row.Key]; !exists {
				// A peer may have its content.
				changed = append(changed, row)
				continue
			}
			changed = append(changed, f.removeRow(now, row)...)
		default:
			f.forgetMissing(row.Key)
			f.rows[row.Key] = row
			changed = append(changed, row)
		}
	}
	maps.DeleteFunc(f.deleted, func(_ string, deletion provider.Version) bool { return deletion <= f.version })
	if whole {
		for _, key := range slices.Sorted(maps.Keys(f.rows)) {
			if !seen[key] && f.rows[key].Version <= page.Version {
				if newEra {
					f.lost[key] = true
				}
				changed = append(changed, f.removeRow(now, provider.StoreRow{Table: f.cfg.Table, Key: key, Version: page.Version, Deleted: true})...)
			}
		}
	}
	return append(changed, f.removeExpired(now)...), pageMerged
}

func (f *Follower) forgetMissing(key string) {
	delete(f.missing, key)
	delete(f.lost, key)
}

// massExpiry reports whether so many rows are missing that they must have expired
// during an outage of the store: their writers cannot all have exited.
func (f *Follower) massExpiry() bool {
	return len(f.missing) > int(massExpiryShare*float64(len(f.rows)))
}

// recordRecovery records the first response after failed calls. It starts the
// grace period if they failed for at least minOutage.
func (f *Follower) recordRecovery(now time.Time) {
	if f.failedSince.IsZero() {
		return
	}
	f.cfg.Log.Info().Str("event", "store_back").Str("table", f.cfg.Table).Dur("away", now.Sub(f.failedSince)).Int("failures", f.failures).Send()
	if now.Sub(f.failedSince) >= minOutage {
		f.graceEnd = now.Add(f.cfg.GracePeriod)
	}
	f.failedSince, f.failures = time.Time{}, 0
}

// removeRow removes a row or, during the grace period, marks it as missing.
func (f *Follower) removeRow(now time.Time, row provider.StoreRow) []provider.StoreRow {
	if _, ok := f.rows[row.Key]; !ok {
		return nil
	}
	if now.Before(f.graceEnd) {
		f.missing[row.Key] = f.graceEnd
		return nil
	}
	delete(f.rows, row.Key)
	f.forgetMissing(row.Key)
	return []provider.StoreRow{row}
}

// removeExpired removes the missing rows whose grace period has ended, or all
// missing rows if they are too few for a mass expiry.
func (f *Follower) removeExpired(now time.Time) []provider.StoreRow {
	var removed []provider.StoreRow
	keep := f.massExpiry()
	for _, key := range slices.Sorted(maps.Keys(f.missing)) {
		graceEnd := f.missing[key]
		if !keep && !f.lost[key] || !now.Before(graceEnd) {
			f.forgetMissing(key)
			delete(f.rows, key)
			removed = append(removed, provider.StoreRow{Table: f.cfg.Table, Key: key, Version: f.version, Deleted: true})
		}
	}
	return removed
}

package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/leaser"
)

const (
	// leaderInterval is the mean time between two calls of leader.round.
	leaderInterval = 500 * time.Millisecond
	// leaseHeadroom is by how much the lifetime of a lease exceeds
	// Config.MinLeaderGap.
	leaseHeadroom = time.Second
	// leaseMargin is the time before the expiry of its lease at which a leader
	// stops acting.
	leaseMargin = time.Second
	// memberContendDelay is how long there must be no leader before entries that
	// are not relays try to acquire the lease.
	memberContendDelay = 8 * time.Second
	// leaseKey is the key of the lease's row.
	leaseKey = "lease"
)

// Cloud receives the leader's calls on behalf of all entries. An error means that
// the outcome is unknown, unless the error has type provider.Refused or
// provider.GuardFailed.
type Cloud interface {
	Report(ctx context.Context, usage Usage) error
	Order(ctx context.Context, order FleetOrder) error
}

// leader holds the lease under which one entry acts on behalf of all entries, and
// does the work of the leader: usage reports, fleet sizes and moves.
type leader struct {
	g     *Gateway
	lease *leaser.Leaser
	usage *usageReporter
	fleet *fleetManager
	moves *moveManager
	// era is the era of the store that the leader's work is based on. eraSeenAt is when
	// it was first seen, zero if the store has sent none.
	era       uint64
	eraSeenAt time.Time
	// wasLeader reports whether the entry was the leader when observeTerm was last called.
	// termEndedAt is when its last term had ended, zero if it had none.
	wasLeader   bool
	termEndedAt time.Time
	// unknownUntil is the time until which a call with an unknown outcome may still arrive
	// at the cloud.
	unknownUntil time.Time
	// roundMu is held in round and in release, which a stopping process calls
	// concurrently.
	roundMu sync.Mutex
}

func newLeader(g *Gateway) *leader {
	l := &leader{g: g}
	lifetime := g.cfg.MinLeaderGap + leaseHeadroom
	l.lease = leaser.New(leaser.Config{Holder: processName(g.cfg.ID, g.boot), Lifetime: lifetime, Margin: leaseMargin}, g.cfg.LeaseNow())
	l.usage = newUsageReporter(g, l)
	l.fleet = newFleetManager(g, l)
	l.moves = &moveManager{g: g, rowVersions: map[string]provider.Version{}}
	return l
}

// isLeader reports whether this entry may act as the leader. The state's lock must
// be held.
func (g *Gateway) isLeader() bool { return g.leader.lease.Holds(g.cfg.LeaseNow()) }

// mayContend reports whether this entry should try to acquire the lease: no
// reachable entry reports a leader. Relays try first, so that not all of many
// entries read the store at once.
func (st *state) mayContend(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.otherLeader(now) != "" {
		st.leaderlessSince = time.Time{}
		return false
	}
	if st.leaderlessSince.IsZero() {
		st.leaderlessSince = now
	}
	return st.plan.IsRelay || now.Sub(st.leaderlessSince) >= memberContendDelay
}

// run acquires or renews the lease and does the leader's work until ctx ends.
func (l *leader) run(ctx context.Context) error {
	if l.g.cfg.Cloud == nil {
		return nil
	}
	for waiter.Pause(ctx, l.g.state.jitter(leaderInterval)) {
		l.round(ctx)
	}
	return nil
}

// round acquires or renews the lease, measures demand and, if this entry is the
// leader, does the leader's work.
func (l *leader) round(ctx context.Context) {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if l.g.stopping.Load() {
		return
	}
	l.observeEra(l.g.cfg.Now(), l.g.cfg.Store.Era())
	l.observeTerm(l.g.cfg.LeaseNow())
	l.acquireOrRenew(ctx)
	l.fleet.measureAll()
	l.moves.readOldMoves(ctx)
	if !l.holdsLease() {
		l.fleet.clearOrders()
		return
	}
	l.moves.advance(ctx)
	l.usage.reportEnded(ctx)
	l.fleet.reconcile(ctx)
}

// observeTerm logs the end of a term in which the lease was not renewed in time.
func (l *leader) observeTerm(now time.Time) {
	l.g.state.mu.Lock()
	holds, status, fence := l.lease.Holds(now), l.lease.Status(now), l.lease.Fence()
	l.g.state.mu.Unlock()
	if l.wasLeader && !holds {
		l.termEndedAt = now
		l.g.cfg.Log.Warn().Str("event", "duty_lost").Str("holder", status.Holder).Uint64("fence", fence).Dur("row_age", status.Age).Send()
	}
	l.wasLeader = holds
}

// observeEra resets what is based on rows of an earlier era of the store.
func (l *leader) observeEra(now time.Time, era uint64) {
	if era <= l.era {
		return
	}
	l.g.cfg.Log.Info().Str("event", "leader_era").Uint64("era", era).Uint64("previous", l.era).Send()
	l.era, l.eraSeenAt = era, now
	l.moves.forgetRows()
}

// acquireOrRenew renews this entry's lease. An entry without the lease reads its row
// and takes the lease over if it has expired or was released.
func (l *leader) acquireOrRenew(ctx context.Context) {
	g := l.g
	now := g.cfg.Now()
	if !l.holdsLease() {
		if !g.state.mayContend(now) {
			return
		}
		if err := l.readLease(ctx); err != nil {
			g.cfg.Log.Debug().Str("event", "lease_not_read").Err(err).Send()
			return
		}
	}
	eraAge := now.Sub(l.eraSeenAt)
	g.state.mu.Lock()
	sentAt := g.cfg.LeaseNow()
	lease, ok := l.lease.ProposeWrite(sentAt)
	version := l.lease.Version()
	// After the store has returned from an older copy, the row may be missing, or show a
	// release, although another entry has acquired the lease since.
	eraSettled := l.eraSeenAt.IsZero() || eraAge >= g.cfg.MinLeaderGap+leaseHeadroom
	wasLeader, status := l.lease.Holds(sentAt), l.lease.Status(sentAt)
	ok = ok && (eraSettled || wasLeader || status.Vacancy == leaser.Expired)
	g.state.mu.Unlock()
	if !ok {
		return
	}
	result, err := l.writeLease(ctx, lease, provider.Version(version))
	if err != nil || !result.Applied {
		// The row shows whether the write took effect.
		if readErr := l.readLease(ctx); readErr != nil {
			g.cfg.Log.Warn().Str("event", "lease_not_written").AnErr("cause", err).Err(readErr).Send()
		}
		return
	}
	g.state.mu.Lock()
	l.lease.RecordWrite(sentAt, uint64(result.Version), lease)
	g.state.mu.Unlock()
	if !wasLeader {
		line := g.cfg.Log.Info().Str("event", "duty_taken").Uint64("fence", lease.Fence).Uint64("row_version", result.Version.Number()).
			Str("reason", string(status.Vacancy)).Str("previous", status.Holder).Dur("row_age", status.Age).Dur("uptime", now.Sub(g.startedAt))
		if !l.termEndedAt.IsZero() {
			line.Dur("own_term_ended", sentAt.Sub(l.termEndedAt))
		}
		line.Send()
	}
}

// writeLease writes the lease's row if the row still has the given version.
func (l *leader) writeLease(ctx context.Context, lease leaser.Lease, version provider.Version) (provider.CommitResult, error) {
	lease.Nonce = processName(l.g.cfg.ID, uint64(l.g.cfg.Now().UnixNano()))
	value, err := json.Marshal(lease)
	if err != nil {
		return provider.CommitResult{}, provider.Refused.Wrap(err, "encode the lease")
	}
	row := provider.StoreRow{Table: l.g.cfg.Tables.Leases, Key: leaseKey, Value: value}
	expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: version}
	return l.g.cfg.Store.Commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
}

// readLease reads the lease's row and the agreed counts of usage in its table.
func (l *leader) readLease(ctx context.Context) error {
	g := l.g
	page, err := g.cfg.Store.Read(ctx, g.cfg.Tables.Leases)
	if err != nil {
		return err
	}
	// The holder may have renewed the lease at any time before the answer.
	readAt := g.cfg.LeaseNow()
	l.observeEra(g.cfg.Now(), page.Version.Era())
	lease := provider.StoreRow{}
	for _, row := range page.Rows {
		if row.Key == leaseKey {
			lease = row
		}
	}
	minFence := uint64(lease.Version) + 1
	if lease.Version == 0 {
		minFence = uint64(page.Version) + 1
	}
	l.observeRow(readAt, lease)
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	// A take-over replaces a row of this version. In the order of eras and numbers no two
	// replace the same one, and a later one replaces a newer one, also if the row is lost.
	l.lease.SetMinFence(minFence)
	clear(l.usage.eras)
	l.usage.addAgreedRows(page)
	return nil
}

// release releases the lease when the process stops, so that another entry may take
// it over at once. This process does not acquire it again. If a call to the cloud may
// still be under way, the lease is left to expire.
func (l *leader) release(ctx context.Context) {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if l.g.cfg.Cloud == nil || !l.holdsLease() {
		return
	}
	l.usage.reportEnded(ctx)
	g := l.g
	g.state.mu.Lock()
	now := g.cfg.LeaseNow()
	released, version := leaser.Lease{Fence: l.lease.Fence()}, l.lease.Version()
	l.lease.Drop(now)
	g.state.mu.Unlock()
	if now.Before(l.unknownUntil) {
		g.cfg.Log.Info().Str("event", "duty_not_released").Uint64("fence", released.Fence).Dur("unknown_for", l.unknownUntil.Sub(now)).Send()
		return
	}
	result, err := l.writeLease(ctx, released, provider.Version(version))
	g.cfg.Log.Info().Str("event", "duty_released").Uint64("fence", released.Fence).Bool("written", err == nil && result.Applied).Err(err).Send()
}

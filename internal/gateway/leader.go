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
	// leaderInterval is the time between two looks at the lease and the duties.
	leaderInterval = 500 * time.Millisecond
	// leaseHeadroom is how much longer a lease lasts after its last renewal than
	// the shortest time in which a holder may come back after another.
	leaseHeadroom = time.Second
	// leaseMargin is how much earlier a holder stops to act.
	leaseMargin = time.Second
	// cloudCallTimeout bounds a call to the cloud. A call that is sent at the last
	// moment of the lease has ended before anybody else may act.
	cloudCallTimeout = time.Second
	// memberContendDelay is how long a duty has to be vacant before entries that are
	// no relays try to hold it.
	memberContendDelay = 8 * time.Second
	// leaseKey is the row of the lease.
	leaseKey = "lease"
)

// Cloud takes what one entry does for all. An error means that the outcome is
// unknown, unless it is of type keeper.Refused.
type Cloud interface {
	Report(ctx context.Context, usage Usage) error
	Order(ctx context.Context, order FleetOrder) error
}

// leader is the right to act for all entries, and what is done with it.
type leader struct {
	g     *Gateway
	lease *leaser.Leaser
	usage *usageReporter
	fleet *fleetManager
	moves *moveManager
	// roundMu is held while the duty is contended for or acted on: a process that
	// stops does so beside the usual round.
	roundMu sync.Mutex
}

func newLeader(g *Gateway) *leader {
	d := &leader{g: g}
	lifetime := g.cfg.MinLeaderGap + leaseHeadroom
	d.lease = leaser.New(leaser.Config{Holder: processName(g.cfg.ID, g.boot), Lifetime: lifetime, Margin: leaseMargin})
	d.usage = newUsageReporter(g, d)
	d.fleet = newFleetManager(g, d)
	d.moves = &moveManager{g: g, rowVersions: map[string]uint64{}}
	return d
}

// isLeader reports whether this entry may act. The beliefs' lock must be held.
func (g *Gateway) isLeader(now time.Time) bool { return g.leader.lease.Holds(now) }

// mayContend reports whether this entry should try to hold the duty: nobody in
// reach says that it does. Among many entries relays come first, so that not all
// of them ask the store at once.
func (b *state) mayContend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.otherLeader(now) != "" {
		b.leaderlessSince = time.Time{}
		return false
	}
	if b.leaderlessSince.IsZero() {
		b.leaderlessSince = now
	}
	return b.plan.IsRelay || now.Sub(b.leaderlessSince) >= memberContendDelay
}

// run keeps the lease, or waits for it, and does what its holder has to do.
func (d *leader) run(ctx context.Context) error {
	if d.g.cfg.Cloud == nil {
		return nil
	}
	for waiter.Pause(ctx, d.g.state.jitter(leaderInterval)) {
		if !d.g.stopping.Load() {
			d.round(ctx)
		}
	}
	return nil
}

func (d *leader) round(ctx context.Context) {
	d.roundMu.Lock()
	defer d.roundMu.Unlock()
	d.acquireOrRenew(ctx)
	d.fleet.measureAll()
	d.moves.readOldMoves(ctx)
	if !d.holdsLease() {
		d.fleet.clearOrders()
		return
	}
	d.moves.advance(ctx)
	d.usage.reportEnded(ctx)
	d.fleet.reconcile(ctx)
}

func (d *leader) holdsLease() bool {
	d.g.state.mu.Lock()
	defer d.g.state.mu.Unlock()
	return d.lease.Holds(d.g.cfg.Now())
}

// fencingToken returns the name and the fence that go with each call, if the entry may
// act.
func (d *leader) fencingToken() (holder string, fence uint64, ok bool) {
	d.g.state.mu.Lock()
	defer d.g.state.mu.Unlock()
	return d.g.cfg.ID, d.lease.Fence(), d.lease.Holds(d.g.cfg.Now())
}

// acquireOrRenew reads the lease's row where that can matter, and writes it where this
// entry may.
func (d *leader) acquireOrRenew(ctx context.Context) {
	g := d.g
	now := g.cfg.Now()
	if !d.holdsLease() {
		if !g.state.mayContend(now) {
			return
		}
		if err := d.readLease(ctx); err != nil {
			g.cfg.Log.Debug().Str("event", "lease_not_read").Err(err).Send()
			return
		}
	}
	g.state.mu.Lock()
	sentAt := g.cfg.Now()
	want, ok := d.lease.ProposeWrite(sentAt)
	if d.lease.IsReleased() && sentAt.Sub(g.startedAt) >= g.cfg.MinLeaderGap {
		want, ok = d.lease.ProposeTakeOver(), true
	}
	version := d.lease.Version()
	held := d.lease.Holds(sentAt)
	g.state.mu.Unlock()
	if !ok {
		return
	}
	result, err := d.writeLease(ctx, want, version)
	if err != nil || !result.Applied {
		// The next look reads the row, which tells what became of the write.
		if seen := d.readLease(ctx); seen != nil {
			g.cfg.Log.Warn().Str("event", "lease_not_written").AnErr("cause", err).Err(seen).Send()
		}
		return
	}
	g.state.mu.Lock()
	d.lease.RecordWrite(sentAt, result.Version, want)
	g.state.mu.Unlock()
	if !held {
		g.cfg.Log.Info().Str("event", "duty_taken").Uint64("fence", want.Fence).Uint64("row_version", result.Version).Send()
	}
}

// writeLease writes the lease's row if it is at a version.
func (d *leader) writeLease(ctx context.Context, lease leaser.Lease, version uint64) (provider.CommitResult, error) {
	lease.Nonce = processName(d.g.cfg.ID, uint64(d.g.cfg.Now().UnixNano()))
	value, err := json.Marshal(lease)
	if err != nil {
		return provider.CommitResult{}, provider.Refused.Wrap(err, "encode the lease")
	}
	row := provider.StoreRow{Table: d.g.cfg.Tables.Leases, Key: leaseKey, Value: value}
	expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: version}
	return d.g.cfg.Store.Commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
}

// readLease reads the lease's row.
func (d *leader) readLease(ctx context.Context) error {
	g := d.g
	sentAt := g.cfg.Now()
	page, err := g.cfg.Store.Read(ctx, g.cfg.Tables.Leases)
	if err != nil {
		return err
	}
	var lease leaser.Lease
	version := uint64(0)
	for _, row := range page.Rows {
		if row.Key != leaseKey {
			continue
		}
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			return err
		}
		version = row.Version
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	d.lease.Observe(sentAt, version, lease)
	d.usage.addAgreedRows(page)
	return nil
}

// release lets another entry act at once when the process stops. This one does
// not act again: an entry that has just begun waits as if the lease were held.
func (d *leader) release(ctx context.Context) {
	d.roundMu.Lock()
	defer d.roundMu.Unlock()
	if d.g.cfg.Cloud == nil || !d.holdsLease() {
		return
	}
	d.usage.reportEnded(ctx)
	g := d.g
	g.state.mu.Lock()
	free, version := leaser.Lease{Fence: d.lease.Fence()}, d.lease.Version()
	g.state.mu.Unlock()
	result, err := d.writeLease(ctx, free, version)
	g.cfg.Log.Info().Str("event", "duty_released").Uint64("fence", free.Fence).Bool("written", err == nil && result.Applied).Err(err).Send()
}

package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/throttler"
)

const (
	// peerTimeout is how long the last message of another entry is valid.
	// Several messages may be lost, and a busy entry may send late.
	peerTimeout = 8 * gossipInterval
	// keptUsageWindows is the number of windows whose usage counts are kept.
	// The report of a window is due two windows after its end; the others cover
	// an outage.
	keptUsageWindows = 12
	// quotaDebtShare is the part of QuotaAllowance by which one bucket may go
	// into debt. The rest covers what entries spend before they receive each
	// other's counts.
	quotaDebtShare = 0.25
	// crossDomainPenalty is the cost of an upstream in another failure domain,
	// in shares of its slots. It breaks ties.
	crossDomainPenalty = 0.03
	// routerChoices is the number of upstreams of which the router picks the
	// least loaded ("standin experiment serving" compares other values).
	routerChoices = 3
)

// state is what the entry has received and measured: configuration, upstreams,
// other entries, demand and moves. The resolver is read without a lock; mu
// guards all other fields and is held for short decisions only.
type state struct {
	cfg      Config
	log      zerolog.Logger
	resolver atomic.Pointer[resolver.Resolver]

	mu       sync.Mutex
	configAt time.Time
	// upstreams are keyed by row key, upstreamByID by upstream ID.
	upstreams     map[string]Upstream
	upstreamByID  map[string]Upstream
	listUpdatedAt time.Time
	// listChanges are the recent changes of the list of upstreams that a relay
	// sends to its members; lastChange is the number of the latest one.
	// listSources are the relays that send changes to this entry, by entry ID.
	listChanges []listChange
	lastChange  uint64
	// maxChangeVersion is the newest row version among the changes.
	maxChangeVersion uint64
	listSources      map[string]*listSource
	router           *router.Router
	throttler        *throttler.Throttler
	accountant       *accountant.Accountant
	retryBudgets     map[string]*retrier.Window
	demand           map[string]*demand
	peers            map[string]*peer
	connectFailedAt  map[string]time.Time
	// unreachableDomains are the failure domains that get no requests for now.
	unreachableDomains map[string]bool
	promptHistory      promptHistory
	startedAt          time.Time
	// leaderlessSince is since when no other entry reports that it is the
	// leader.
	leaderlessSince time.Time
	// moves are keyed by deployment. ownOutcomes are the counters of outcomes
	// that this entry measured. latencyThresholds are keyed by route.
	moves             map[string]*move
	ownOutcomes       aggregator.Totals
	latencyThresholds map[string]*mover.LatencyThreshold
	// aggregator, received and remoteLoad hold what other entries sent:
	// counters, the latest message by group, and load in loadUnits by
	// upstreamKey.
	aggregator *aggregator.Aggregator
	received   map[string]receivedMessage
	remoteLoad map[uint32]int
	idByKey    map[uint32]string
	// plan is the exchange plan, rounds counts the rounds of messages.
	plan   aggregator.Plan
	rounds int
	// groupTotals and otherGroupTotals are the counters of the other entries of
	// the group and of other groups since the process started. memberTotals are
	// the parts of groupTotals by entry.
	groupTotals      aggregator.Totals
	otherGroupTotals aggregator.Totals
	memberTotals     map[string]aggregator.Totals
	usageSources     map[string]usageSource
	random           *rand.Rand
}

func newState(cfg Config, boot uint64) *state {
	remote := crossDomainPenalty
	window := cfg.UsageWindow
	if window <= 0 {
		window = time.Minute
	}
	return &state{
		cfg:                cfg,
		log:                cfg.Log,
		upstreams:          map[string]Upstream{},
		upstreamByID:       map[string]Upstream{},
		listSources:        map[string]*listSource{},
		router:             router.New(router.Config{EntryID: cfg.ID, FailureDomain: cfg.FailureDomain, Seed: boot, CrossDomainPenalty: &remote, Choices: routerChoices}),
		throttler:          throttler.New(throttler.Config{Start: cfg.Now(), PeerTimeout: peerTimeout, ReportInterval: gossipInterval, MaxDebt: cfg.Quotas.QuotaAllowance * quotaDebtShare}),
		accountant:         accountant.New(accountant.Config{Self: processName(cfg.ID, boot), Window: window, MaxWindows: keptUsageWindows}),
		retryBudgets:       map[string]*retrier.Window{},
		demand:             map[string]*demand{},
		peers:              map[string]*peer{},
		aggregator:         aggregator.New(peerTimeout),
		received:           map[string]receivedMessage{},
		remoteLoad:         map[uint32]int{},
		idByKey:            map[uint32]string{},
		plan:               aggregator.NewPlan(aggregator.Member{ID: cfg.ID, Domain: cfg.FailureDomain}, nil),
		groupTotals:        aggregator.Totals{},
		otherGroupTotals:   aggregator.Totals{},
		memberTotals:       map[string]aggregator.Totals{},
		usageSources:       map[string]usageSource{},
		startedAt:          cfg.Now(),
		moves:              map[string]*move{},
		ownOutcomes:        aggregator.Totals{},
		latencyThresholds:  map[string]*mover.LatencyThreshold{},
		connectFailedAt:    map[string]time.Time{},
		unreachableDomains: map[string]bool{},
		random:             rand.New(rand.NewPCG(boot, uint64(len(cfg.ID)))),
	}
}

// applyOperatorRows applies changed rows of the operator's table.
func (b *state) applyOperatorRows(now time.Time, changed []provider.StoreRow) {
	for _, row := range changed {
		if row.Deleted {
			continue
		}
		if row.Key != b.cfg.Tables.ConfigKey {
			b.applyMoveRow(now, row)
			continue
		}
		cfg, err := b.cfg.Decoder.Config(row.Value)
		if err != nil {
			b.log.Error().Str("event", "config_invalid").Uint64("row_version", row.Version).Err(err).Send()
			continue
		}
		b.applyConfig(now, cfg)
	}
}

// applyMoveRow applies a row that may order a move.
func (b *state) applyMoveRow(now time.Time, row provider.StoreRow) {
	order, ok, err := b.cfg.Decoder.Move(row.Key, row.Value)
	if err != nil {
		b.log.Error().Str("event", "move_order_invalid").Str("row", row.Key).Uint64("row_version", row.Version).Err(err).Send()
	}
	if !ok || err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startMove(now, order, row.Version, now.Sub(b.startedAt) < firstReadPeriod)
}

// firstReadPeriod is how long after the start of the process an order that
// appears may be older than the process.
const firstReadPeriod = 3 * time.Second

// applyConfig puts a configuration in force if it is newer than the current
// one.
func (b *state) applyConfig(now time.Time, cfg resolver.Config) {
	present := b.resolver.Load()
	if present != nil && cfg.Version <= present.Version() {
		return
	}
	next, err := resolver.New(cfg)
	if err != nil {
		b.log.Error().Str("event", "config_invalid").Uint64("version", cfg.Version).Err(err).Send()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resolver.Store(next)
	b.configAt = now
	b.resizeRetryBudgets(next)
	b.log.Info().Str("event", "config_adopted").Uint64("version", cfg.Version).Int("routes", len(cfg.Routes)).
		Int("organisations", len(cfg.Organisations)).Send()
}

// resizeRetryBudgets gives each deployment this entry's part of the retry
// budget.
func (b *state) resizeRetryBudgets(r *resolver.Resolver) {
	for _, d := range r.Deployments() {
		w, ok := b.retryBudgets[d.Name]
		if !ok {
			w = &retrier.Window{}
			b.retryBudgets[d.Name] = w
		}
		w.Span = b.cfg.Quotas.RetryWindow
		w.Ratio = b.cfg.Quotas.RetryRatio
		w.Allowance = b.cfg.Quotas.RetryAllowance / float64(b.memberCount())
	}
}

// applyUpstreamRows applies changed rows of the table of upstreams.
func (b *state) applyUpstreamRows(now time.Time, changed []provider.StoreRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range changed {
		old, known := b.upstreams[row.Key]
		if row.Deleted {
			if known {
				delete(b.upstreams, row.Key)
				b.recordListChange(now, row)
				b.log.Info().Str("event", "upstream_gone").Str("upstream", old.ID).Uint64("row_version", row.Version).Send()
			}
			continue
		}
		u, err := b.cfg.Decoder.Upstream(row.Key, row.Value)
		if err != nil {
			b.log.Warn().Str("event", "upstream_row_invalid").Str("row", row.Key).Uint64("row_version", row.Version).Err(err).Send()
			continue
		}
		if !known || old.ID != u.ID {
			b.log.Info().Str("event", "upstream_listed").Str("upstream", u.ID).Str("address", u.Address).
				Str("deployment", u.Deployment).Str("version", u.Version).Bool("reclaimable", u.Reclaimable).Send()
		}
		if !known || old.ID != u.ID || old.Leaving != u.Leaving || old.Address != u.Address {
			b.recordListChange(now, row)
		}
		b.upstreams[row.Key] = u
	}
	b.listUpdatedAt = now
	b.updateRouter(now)
}

// updateRouter passes the listed upstreams to the router.
func (b *state) updateRouter(now time.Time) {
	listed := make([]router.Upstream, 0, len(b.upstreams))
	clear(b.idByKey)
	clear(b.upstreamByID)
	for _, u := range b.upstreams {
		listed = append(listed, u.Upstream)
		b.idByKey[upstreamKey(u.ID)] = u.ID
		b.upstreamByID[u.ID] = u
	}
	b.router.Replace(now, listed)
	for _, u := range b.upstreams {
		if u.Leaving && b.router.MarkLeaving(now, u.ID, u.LeavesIn) {
			b.log.Info().Str("event", "upstream_leaving").Str("upstream", u.ID).Dur("left", u.LeavesIn).Send()
		}
	}
}

// connectionLimits returns, for each address of a listed upstream, how many
// connections this entry may have to it. Zero means no limit.
func (b *state) connectionLimits() map[string]int {
	r := b.resolver.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := map[string]int{}
	for _, u := range b.upstreams {
		limits[u.Address] = 0
		if r == nil {
			continue
		}
		if d, ok := r.Deployment(u.Deployment); ok && d.MaxConnections > 0 {
			limits[u.Address] = max(1, d.MaxConnections/b.memberCount())
		}
	}
	return limits
}

// ready reports whether the entry can serve: it has a configuration and has
// read the list of upstreams.
func (b *state) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resolver.Load() != nil && !b.listUpdatedAt.IsZero()
}

// jitter returns a random duration between half and one and a half of d.
func (b *state) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retrier.Jitter(d, b.random)
}

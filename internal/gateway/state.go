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
	"github.com/galenahitch/galenahitch/pkg/predictor"
	"github.com/galenahitch/galenahitch/pkg/prefixer"
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
	upstreams    map[string]Upstream
	upstreamByID map[string]Upstream
	// deploymentSizes are the numbers of listed upstreams by deployment.
	deploymentSizes map[string]int
	listUpdatedAt   time.Time
	// evacuated are the failure domains that operators have evacuated.
	evacuated map[string]evacuation
	// reclaimNoticedAt is when a reclaimable upstream was last found to be leaving.
	reclaimNoticedAt time.Time
	// listChanges are the recent changes of the list of upstreams that a relay
	// sends to its members; lastChange is the number of the latest one.
	// listSources are the relays that send changes to this entry, by entry ID.
	listChanges []listChange
	lastChange  uint64
	// maxChangeVersion is the newest row version among the changes.
	maxChangeVersion provider.Version
	listSources      map[string]*listSource
	router           *router.Router
	predictor        *predictor.Predictor
	prefixes         *prefixer.Index
	throttler        *throttler.Throttler
	accountant       *accountant.Accountant
	retryBudgets     map[string]*retrier.Window
	memberPeak       memberPeak
	// contended reports that upstreams may be known to be full. It is read without the lock,
	// so that acceptances cost nothing otherwise.
	contended atomic.Bool
	// admissions are the admission controls of deployments.
	admissions map[string]*admission
	demand     map[string]*demand
	peers      map[string]*peer
	// stoppingBoots are the newest processes of entries that said that they stop, by ID.
	stoppingBoots   map[string]uint64
	connectFailedAt map[string]time.Time
	// unreachableDomains are the failure domains that get no requests for now.
	unreachableDomains map[string]bool
	// saidSignals are the latest signals of upstreams, by name.
	saidSignals map[string]saidSignals
	// disputedLeavings are the upstreams that have said that they leave while the list
	// says otherwise, by ID.
	disputedLeavings map[string]bool
	promptHistory    promptHistory
	startedAt        time.Time
	// canServeSince is when the configuration and the list of upstreams were known.
	canServeSince time.Time
	// leaderlessSince is the time since which no message has named another
	// entry as the leader.
	leaderlessSince time.Time
	// moves are keyed by deployment. ownOutcomes are the counters of outcomes
	// that this entry measured. latencyThresholds are keyed by route,
	// pauseThresholds and usualLoads by deployment. usualLoads are loads of upstreams of
	// current versions when a request is sent, plus one.
	moves             map[string]*move
	verdicts          map[string]*mover.Verdicts
	ownOutcomes       aggregator.Totals
	latencyThresholds map[string]*mover.LatencyThreshold
	pauseThresholds   map[string]*mover.PauseThreshold
	usualLoads        map[string]*mover.Quantile
	// crashes and quarantine find the requests that crash upstreams.
	crashes    crashDetector
	quarantine quarantine
	// aggregator, received and remoteLoad hold what other entries sent:
	// counters, the latest message by group, and load in loadUnits by
	// upstreamKey.
	aggregator *aggregator.Aggregator
	received   map[string]receivedMessage
	remoteLoad map[uint32]int
	idByKey    map[uint32]string
	// plan determines which entries exchange messages, rounds counts the rounds
	// of messages.
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
	penalty := crossDomainPenalty
	window := cfg.UsageWindow
	if window <= 0 {
		window = time.Minute
	}
	speeds, prefixes := predictor.New(), prefixer.New(prefixer.Config{})
	routing := router.Config{EntryID: cfg.ID, FailureDomain: cfg.FailureDomain, Seed: boot, CrossDomainPenalty: &penalty, Choices: routerChoices, TokensPerLoad: promptTokensPerLoad}
	if cfg.PredictTimes {
		routing.Predictor, routing.Prefixes = speeds, prefixes
	}
	return &state{
		cfg:                cfg,
		log:                cfg.Log,
		upstreams:          map[string]Upstream{},
		upstreamByID:       map[string]Upstream{},
		deploymentSizes:    map[string]int{},
		listSources:        map[string]*listSource{},
		router:             router.New(routing),
		predictor:          speeds,
		prefixes:           prefixes,
		throttler:          throttler.New(throttler.Config{Start: cfg.Now(), PeerTimeout: peerTimeout, ReportInterval: gossipInterval, MaxDebt: cfg.Quotas.QuotaAllowance * quotaDebtShare}),
		accountant:         accountant.New(accountant.Config{Self: processName(cfg.ID, boot), Window: window, MaxWindows: keptUsageWindows}),
		retryBudgets:       map[string]*retrier.Window{},
		demand:             map[string]*demand{},
		peers:              map[string]*peer{},
		stoppingBoots:      map[string]uint64{},
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
		verdicts:           map[string]*mover.Verdicts{},
		ownOutcomes:        aggregator.Totals{},
		latencyThresholds:  map[string]*mover.LatencyThreshold{},
		pauseThresholds:    map[string]*mover.PauseThreshold{},
		usualLoads:         map[string]*mover.Quantile{},
		crashes:            newCrashDetector(),
		quarantine:         newQuarantine(),
		connectFailedAt:    map[string]time.Time{},
		disputedLeavings:   map[string]bool{},
		saidSignals:        map[string]saidSignals{},
		unreachableDomains: map[string]bool{},
		evacuated:          map[string]evacuation{},
		admissions:         map[string]*admission{},
		random:             rand.New(rand.NewPCG(boot, uint64(len(cfg.ID)))),
	}
}

// applyOperatorRows applies changed rows of the operator's table.
func (st *state) applyOperatorRows(now time.Time, changed []provider.StoreRow) {
	// Before the configuration, with which an entry that starts begins to serve.
	for _, row := range changed {
		if domain, ok := st.cfg.Decoder.Evacuation(row.Key); ok {
			st.applyEvacuation(now, domain, row)
		}
	}
	for _, row := range changed {
		if _, ok := st.cfg.Decoder.Evacuation(row.Key); ok || row.Deleted {
			continue
		}
		if row.Key != st.cfg.Tables.ConfigKey {
			st.applyMoveRow(now, row)
			continue
		}
		cfg, err := st.cfg.Decoder.Config(row.Value)
		if err != nil {
			st.log.Error().Str("event", "config_invalid").Uint64("row_version", row.Version.Number()).Err(err).Send()
			continue
		}
		st.applyConfig(now, row.Version, cfg)
	}
}

// applyMoveRow applies a row that may order a move.
func (st *state) applyMoveRow(now time.Time, row provider.StoreRow) {
	order, ok, err := st.cfg.Decoder.Move(row.Key, row.Value)
	if err != nil {
		st.log.Error().Str("event", "move_order_invalid").Str("row", row.Key).Uint64("row_version", row.Version.Number()).Err(err).Send()
	}
	if !ok || err != nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.startMove(now, order, row.Version, now.Sub(st.startedAt) < firstReadPeriod)
}

// For firstReadPeriod after its start a process assumes that the orders that it
// reads may be older than the process.
const firstReadPeriod = 3 * time.Second

// applyConfig puts the configuration of a row in force if it is newer than the
// current one.
func (st *state) applyConfig(now time.Time, rowVersion provider.Version, cfg resolver.Config) {
	current := st.resolver.Load()
	if current != nil && cfg.Version <= current.Version() {
		st.log.Info().Str("event", "config_ignored").Uint64("version", cfg.Version).Uint64("in_force", current.Version()).
			Uint64("row_version", rowVersion.Number()).Uint64("era", rowVersion.Era()).Send()
		return
	}
	next, err := resolver.New(cfg)
	if err != nil {
		st.log.Error().Str("event", "config_invalid").Uint64("version", cfg.Version).Uint64("row_version", rowVersion.Number()).Err(err).Send()
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.resolver.Store(next)
	st.configAt = now
	st.configureRetryBudgets(next)
	st.configureColdRates(next)
	st.configurePrefixes(cfg)
	st.reportUnknownRegions(cfg)
	st.log.Info().Str("event", "config_adopted").Uint64("version", cfg.Version).Uint64("row_version", rowVersion.Number()).Uint64("era", rowVersion.Era()).
		Int("routes", len(cfg.Routes)).Int("organisations", len(cfg.Organisations)).Send()
}

// applyUpstreamRows applies changed rows of the table of upstreams.
func (st *state) applyUpstreamRows(now time.Time, changed []provider.StoreRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, row := range changed {
		old, known := st.upstreams[row.Key]
		if row.Deleted {
			if known {
				st.recordRemoval(now, old)
				delete(st.upstreams, row.Key)
				st.log.Info().Str("event", "upstream_gone").Str("upstream", old.ID).Uint64("row_version", row.Version.Number()).Send()
			}
			st.recordListChange(now, row)
			continue
		}
		u, err := st.cfg.Decoder.Upstream(row.Key, row.Value)
		if err != nil {
			st.log.Warn().Str("event", "upstream_row_invalid").Str("row", row.Key).Uint64("row_version", row.Version.Number()).Err(err).Send()
			continue
		}
		u.RowVersion = row.Version
		u.ColdListing = coldListing(old, u)
		if known && old.ID != u.ID {
			st.recordRemoval(now, old)
			st.log.Info().Str("event", "upstream_restarted").Str("upstream", old.ID).Str("now", u.ID).Bool("was_leaving", old.Leaving).Send()
		}
		if !known || old.ID != u.ID {
			st.log.Info().Str("event", "upstream_listed").Str("upstream", u.ID).Str("address", u.Address).Uint64("row_version", row.Version.Number()).
				Str("deployment", u.Deployment).Str("version", u.Version).Bool("reclaimable", u.Reclaimable).Send()
		}
		if !known || old.ID != u.ID || old.Leaving != u.Leaving || old.Address != u.Address || turnsColdOrWarm(old, u) {
			st.recordListChange(now, row)
		}
		st.upstreams[row.Key] = u
	}
	st.listUpdatedAt = now
	st.updateRouter(now)
	st.repeatSignals(now)
}

// updateRouter passes the listed upstreams to the router.
func (st *state) updateRouter(now time.Time) {
	listed := make([]router.Upstream, 0, len(st.upstreams))
	clear(st.idByKey)
	clear(st.upstreamByID)
	clear(st.deploymentSizes)
	for _, u := range st.upstreams {
		listed = append(listed, u.Upstream)
		st.idByKey[upstreamKey(u.ID)] = u.ID
		st.upstreamByID[u.ID] = u
		st.deploymentSizes[u.Deployment]++
	}
	st.router.Replace(now, listed)
	st.retainVerdicts(now)
	for _, u := range st.upstreams {
		if u.Leaving && st.router.MarkLeaving(now, u.ID, u.LeavesIn) {
			if u.Reclaimable {
				st.reclaimNoticedAt = now
			}
			st.log.Info().Str("event", "upstream_leaving").Str("upstream", u.ID).Uint64("row_version", u.RowVersion.Number()).Dur("left", u.LeavesIn).Send()
		}
	}
}

// connectionLimits returns, for each address of a listed upstream, how many
// connections this entry may have to it. Zero means no limit.
func (st *state) connectionLimits() map[string]int {
	r := st.resolver.Load()
	st.mu.Lock()
	defer st.mu.Unlock()
	limits := map[string]int{}
	for _, u := range st.upstreams {
		limits[u.Address] = 0
		if r == nil {
			continue
		}
		if d, ok := r.Deployment(u.Deployment); ok && d.MaxConnections > 0 {
			limits[u.Address] = max(1, d.MaxConnections/st.memberCount())
		}
	}
	return limits
}

// ready reports whether the entry can serve: it has a configuration, has read the
// list of upstreams and, unless that takes long, the tables of quarantined requests and of
// entries.
func (st *state) ready(now time.Time, tablesRead bool) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.resolver.Load() == nil || st.listUpdatedAt.IsZero() {
		return false
	}
	if st.canServeSince.IsZero() {
		st.canServeSince = now
	}
	return tablesRead || now.Sub(st.canServeSince) >= maxReadyDelay
}

// jitter returns a random duration between half and one and a half of d.
func (st *state) jitter(d time.Duration) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return retrier.Jitter(d, st.random)
}

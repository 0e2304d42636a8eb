package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/oklog/run"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/gossiper"
	"github.com/galenahitch/galenahitch/internal/measurer"
	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// maxHeaderBytes and headerTimeout limit the reading of a request's header.
	// They are fixed because the server starts before it has a configuration.
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	// idleTimeout closes an unused connection of a caller. It has to be longer
	// than callers keep idle connections for reuse.
	idleTimeout = 60 * time.Second
	// configPollTimeout and upstreamPollTimeout limit one long poll of the
	// store. Checks find one whose connection is silent.
	configPollTimeout   = 10 * time.Second
	upstreamPollTimeout = 5 * time.Second
	// storeHistoryShare is the share of the time for which the store keeps changes after
	// which an entry reads a table instead of asking for its changes.
	storeHistoryShare = 0.75
	// missingRowGrace is how long upstreams without a row are kept after the
	// store was unreachable. Running upstreams write their rows again within two
	// seconds.
	missingRowGrace = 2500 * time.Millisecond
	// sweepInterval is the time between two calls of sweepPeers and Pool.Sweep.
	sweepInterval = time.Second
)

// Gateway is one entry process. New creates it; Run serves until its context is
// canceled.
type Gateway struct {
	cfg                Config
	boot               uint64
	startedAt          time.Time
	state              *state
	pool               *pooler.Pool
	requestMemory      *rationer.Budget
	responseMemory     *rationer.Budget
	gossip             *gossiper.Gossiper[peerMessage]
	metrics            *measurer.Metrics
	handovers          *handovers
	entryFollower      *follower.Follower
	configFollower     *follower.Follower
	upstreamFollower   *follower.Follower
	quarantineFollower *follower.Follower
	leader             *leader

	// memberRowTried is closed after the first try to write this entry's row.
	memberRowTried chan struct{}
	// memberRowVersion is the version of this entry's row in the table of entries, 0 if it
	// is not known. Only maintainMemberRow uses it.
	memberRowVersion provider.Version

	openRequests atomic.Int64
	stopping     atomic.Bool
	// closed means that no more requests are accepted, as the process is about to end.
	closed atomic.Bool
	// stoppingSince is when the drain began. It is set before the field stopping
	// becomes true.
	stoppingSince time.Time
	// abortContext is canceled when open requests have to be aborted.
	abortContext context.Context
	abort        context.CancelFunc
}

// New returns a gateway that is not serving yet.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.checkMaxCallerConns(); err != nil {
		return nil, err
	}
	if cfg.LeaseNow == nil {
		cfg.LeaseNow = cfg.Now
	}
	now := cfg.Now()
	boot := uint64(now.UnixMilli())
	g := &Gateway{cfg: cfg, boot: boot, startedAt: now, state: newState(cfg, boot), metrics: measurer.New(), handovers: newHandovers(), memberRowTried: make(chan struct{})}
	g.abortContext, g.abort = context.WithCancel(context.Background())
	memory := float64(cmp.Or(cfg.Memory, defaultMemory))
	g.requestMemory, g.responseMemory = rationer.New(int64(requestMemoryShare*memory)), rationer.New(int64(responseMemoryShare*memory))
	g.pool = pooler.New(pooler.Config{
		IDHeader: cfg.IDHeader, LocalIP: cfg.LocalIP, Now: cfg.Now, Memory: g.responseMemory,
		OnOpen: func() { g.metrics.Count("connections_opened") },
	})
	g.follow()
	g.leader = newLeader(g)
	gossip, err := gossiper.Listen(gossiper.Config[peerMessage]{
		Address: cfg.PeerListen, Interval: gossipInterval, Compose: g.roundMessages, Handle: g.receive, Now: cfg.Now, Log: cfg.Log,
	})
	g.gossip = gossip
	return g, err
}

// follow creates the followers of the store's tables.
func (g *Gateway) follow() {
	cfg := &g.cfg
	confirmed := func(table follower.Config, bound time.Duration) follower.Config {
		table.FreshFor = func() time.Duration { return g.freshFor(bound) }
		table.PeersConfirm, table.RelyFor = g.relaysConfirm, shareOf(relyShare, bound)
		return g.withPeers(table)
	}
	g.configFollower = g.newFollower(confirmed(follower.Config{Table: cfg.Tables.Operator, Small: true, PollTimeout: configPollTimeout, Apply: g.state.applyOperatorRows}, cfg.configBound()), cfg.configBound())
	g.upstreamFollower = g.newFollower(g.withPeers(follower.Config{
		Table: cfg.Tables.Upstreams, PollTimeout: upstreamPollTimeout, PollInterval: time.Duration(listPauseShare * float64(cfg.MaxLeavingDelay)), PeersSendUpdates: g.relaysSendList, SlowPollInterval: slowUpstreamPollInterval,
		MaxPollTimeout: g.listPollTimeout, FreshFor: g.listFreshFor,
		Apply: func(now time.Time, changed []provider.StoreRow) {
			g.state.applyUpstreamRows(now, changed)
			g.noticeDepartures(now)
		},
	}), cfg.listBound())
	g.entryFollower = g.newFollower(follower.Config{
		Table: cfg.Tables.Entries, GracePeriod: memberRowGrace, PollTimeout: memberPollInterval, PollInterval: memberPollInterval, PeersSendUpdates: g.postponeMemberPoll, SlowPollInterval: maxMemberPollInterval, Apply: g.applyMemberRows,
	}, cfg.MaxStaleness)
	g.quarantineFollower = g.newFollower(confirmed(follower.Config{Table: cfg.Tables.Quarantine, PollTimeout: quarantinePollTimeout, Apply: g.state.applyQuarantineRows}, cfg.MaxStaleness), cfg.MaxStaleness)
}

// withPeers lets a follower read the copies of other entries.
func (g *Gateway) withPeers(table follower.Config) follower.Config {
	if g.cfg.TableReader != nil {
		table.Peers = tablePeers{g}
	}
	return table
}

// newFollower returns a follower of a table of the store whose changes have to arrive within
// a bound.
func (g *Gateway) newFollower(cfg follower.Config, bound time.Duration) *follower.Follower {
	cfg.Store, cfg.Now, cfg.SteadyNow, cfg.Log = g.cfg.Store, g.cfg.Now, g.cfg.LeaseNow, g.cfg.Log
	cfg.PeerLead = g.peerLead
	cfg.History = time.Duration(storeHistoryShare * float64(g.cfg.StoreHistory))
	cfg.CheckTimeout = checkTimeout(bound)
	cfg.OnNewEra = func() { g.metrics.Count("store_era_tables") }
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = missingRowGrace
	}
	return follower.New(cfg)
}

// Run serves until ctx is canceled, then drains open requests and stops.
func (g *Gateway) Run(ctx context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	var group run.Group
	if err := g.serveHTTP(&group, g.cfg.Listen, "callers", g.callerHandler()); err != nil {
		return err
	}
	if err := g.serveHTTP(&group, g.cfg.ReadyListen, "readiness", g.readinessHandler()); err != nil {
		return err
	}
	if g.cfg.MetricsListen != "" {
		if err := g.serveHTTP(&group, g.cfg.MetricsListen, "metrics", g.metricsHandler()); err != nil {
			return err
		}
	}
	g.cfg.Log.Info().Str("event", "entry_started").Str("id", g.cfg.ID).Str("listen", g.cfg.Listen).
		Str("failure_domain", g.cfg.FailureDomain).Uint64("boot", g.boot).Send()
	g.addTasks(&group)
	group.Add(func() error {
		<-ctx.Done()
		g.drain()
		return nil
	}, func(error) {})
	err := group.Run()
	g.cfg.Log.Info().Str("event", "entry_stopped").Str("id", g.cfg.ID).Err(err).Send()
	return err
}

// serveHTTP adds a server to group. The one for callers finishes open requests when it stops.
func (g *Gateway) serveHTTP(group *run.Group, address, name string, handler http.Handler) error {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	callers, maxConns := name == "callers", maxOtherConns
	if callers {
		maxConns = g.cfg.maxCallerConns()
	}
	listener := g.newConnListener(tcp, name, maxConns)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, conn)
		},
		ConnState: recordConnState,
	}
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		if !callers {
			_ = server.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
	return nil
}

// addTasks adds the background tasks to group.
func (g *Gateway) addTasks(group *run.Group) {
	for _, task := range []func(context.Context) error{
		g.configFollower.Run, g.upstreamFollower.Run, g.followEntries, g.quarantineFollower.Run, g.gossip.Run,
		g.maintainMemberRow, g.maintainQuarantine, g.leader.run, g.sweep,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error {
			err := task(ctx)
			<-ctx.Done()
			return err
		}, func(error) { cancel() })
	}
}

// sweep updates connection limits, removes expired peers and connections and counts the
// store's eras until ctx is canceled.
func (g *Gateway) sweep(ctx context.Context) error {
	era := g.cfg.Store.Era()
	for waiter.Pause(ctx, sweepInterval) {
		if current := g.cfg.Store.Era(); current != era {
			era = current
			g.metrics.Count("store_eras")
		}
		g.sweepPeers(g.cfg.Now())
		g.state.updateDisputedLeavings(g.cfg.Now())
		g.state.expireEvacuations(g.cfg.Now())
		limits := g.state.connectionLimits()
		for address, limit := range limits {
			g.pool.SetMaxConnections(address, limit)
		}
		g.pool.Sweep(func(address string) bool {
			_, listed := limits[address]
			return listed
		})
	}
	return nil
}

func (g *Gateway) readinessHandler() http.Handler {
	engine := gin.New()
	engine.GET(g.cfg.ReadyPath, func(c *gin.Context) {
		now := g.cfg.Now()
		if g.stopping.Load() || !g.state.ready(now, g.tablesRead()) {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return engine
}

// tablesRead reports whether the tables of entries and of quarantined requests were read.
func (g *Gateway) tablesRead() bool {
	now := g.cfg.LeaseNow()
	_, entriesRead := g.entryFollower.Age(now)
	_, quarantineRead := g.quarantineFollower.Age(now)
	return entriesRead && quarantineRead
}

func (g *Gateway) metricsHandler() http.Handler {
	engine := gin.New()
	engine.GET("/metrics", func(c *gin.Context) {
		g.updateGauges()
		c.String(http.StatusOK, g.metrics.Text())
	})
	return engine
}

func (g *Gateway) updateGauges() {
	now, steady := g.cfg.Now(), g.cfg.LeaseNow()
	g.metrics.Gauge("requests_open", g.openRequests.Load())
	g.metrics.Gauge("store_era", int64(g.cfg.Store.Era()))
	for name, f := range map[string]*follower.Follower{"config": g.configFollower, "upstreams": g.upstreamFollower, "entries": g.entryFollower, "quarantine": g.quarantineFollower} {
		if age, known := f.Age(steady); known {
			g.metrics.Gauge("store_age_ms_"+name, age.Milliseconds())
		}
		if status, known := f.Status(steady, false); known {
			g.metrics.Gauge("confirmed_age_ms_"+name, status.Age.Milliseconds())
			g.metrics.Gauge("behind_ms_"+name, status.Behind.Milliseconds())
		}
	}
	st := g.state
	if r := st.resolver.Load(); r != nil {
		g.metrics.Gauge("config_version", int64(r.Version()))
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	g.metrics.Gauge("entries", int64(st.memberCount()))
	g.metrics.Gauge("upstreams", int64(len(st.upstreams)))
	g.metrics.Gauge("domains_evacuated", int64(len(st.evacuated)))
	g.metrics.Gauge("quarantine", int64(len(st.quarantine.rows)))
	g.metrics.Gauge("parts_convicted", int64(len(st.quarantine.isolator.Convictions(now))))
	g.metrics.Gauge("upstreams_leaving_disputed", int64(len(st.disputedLeavings)))
	g.metrics.Gauge("prefix_parts", int64(st.prefixes.Len()))
	differing, slowest := st.speedDifferences(now)
	g.metrics.Gauge("upstreams_speed_differs", int64(differing))
	g.metrics.Gauge("upstreams_slowest_percent", int64(slowest*100))
	g.updateAdmissionGauges(now)
	counts := st.router.AvoidedCounts(now)
	for _, cause := range router.AvoidedCauses {
		g.metrics.Gauge("upstreams_avoided_"+string(cause), int64(counts[cause]))
	}
}

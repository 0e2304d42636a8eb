package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/measurer"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/waiter"
)

// Server is one entry process.
type Server struct {
	cfg        Config
	state      *state
	runs       *registry
	metrics    *measurer.Metrics
	moveLeader *leader
	fleet      *fleetManager
	gossipNow  chan struct{}

	outcomes *outcomeQueue

	fetchMu     sync.Mutex
	exchangesMu sync.Mutex
	// openExchanges are the open exchanges by peer, true if another one follows.
	openExchanges map[string]bool

	failuresMu sync.Mutex
	// failures counts the consecutive failures of each kind of call to the platform.
	failures map[string]int

	baseContext context.Context
	cancel      context.CancelFunc
}

// New returns an entry that is not serving yet.
func New(cfg Config) *Server {
	cfg.setDefaults()
	base, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:           cfg,
		state:         newState(cfg),
		runs:          newRegistry(),
		metrics:       measurer.New(),
		moveLeader:    newLeader(cfg, moveLeadership),
		fleet:         newFleetManager(cfg),
		gossipNow:     make(chan struct{}, 1),
		outcomes:      newOutcomeQueue(),
		openExchanges: map[string]bool{},
		failures:      map[string]int{},
		baseContext:   base,
		cancel:        cancel,
	}
	if source, ok := cfg.Upstreams.(dispatcher.SignalSource); ok {
		source.OnSignals(s.recordSignals)
	}
	return s
}

func (s *Server) now() time.Time { return s.cfg.Now() }

// leaseNow returns the time by which leases are counted.
func (s *Server) leaseNow() time.Time { return s.cfg.LeaseNow() }

// listeners are an entry's listeners on its three addresses.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

func (s *Server) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", s.cfg.Listen); err != nil {
		return l, err
	}
	if l.admin, err = net.Listen("tcp", s.cfg.AdminListen); err != nil {
		_ = l.callers.Close()
		return l, err
	}
	if l.peers, err = net.Listen("tcp", s.cfg.PeerListen); err != nil {
		_ = l.callers.Close()
		_ = l.admin.Close()
	}
	return l, err
}

// Run serves until ctx ends. It then refuses new requests, waits up to
// Config.StopGrace for the accepted ones and returns.
func (s *Server) Run(ctx context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	l, err := s.listen()
	if err != nil {
		return err
	}
	peers, err := messenger.NewServer(s, s.cfg.Security)
	if err != nil {
		return err
	}
	s.cfg.Log.Info().Str("event", "entry_started").Str("id", s.cfg.Self.ID).Str("listen", s.cfg.Listen).
		Str("admin", s.cfg.AdminListen).Str("peers", s.cfg.PeerListen).Str("failure_domain", s.cfg.Self.FailureDomain).Send()
	var group run.Group
	s.addHTTP(&group, l.callers, s.callerHandler())
	s.addHTTP(&group, l.admin, s.adminHandler())
	s.addPeers(&group, peers, l.peers)
	s.addTasks(&group)
	group.Add(func() error {
		<-ctx.Done()
		s.drain()
		return nil
	}, func(error) {})
	err = group.Run()
	s.cancel()
	s.cfg.Log.Info().Str("event", "entry_stopped").Str("id", s.cfg.Self.ID).Err(err).Send()
	return err
}

func (s *Server) addHTTP(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StopGrace)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

func (s *Server) addPeers(group *run.Group, server *grpc.Server, listener net.Listener) {
	group.Add(func() error { return server.Serve(listener) }, func(error) { server.Stop() })
}

// addTasks adds the background tasks to the group.
func (s *Server) addTasks(group *run.Group) {
	tasks := []func(context.Context) error{
		s.gossip,
		s.runAsLeader(s.moveLeader, s.advanceMoves),
		s.runAsLeader(s.fleet.leader, s.reconcileFleet),
		s.writeOutcomes,
		s.periodic(s.sharedPollInterval, s.syncConfig),
		s.periodic(s.sharedPollInterval, s.syncVMs),
		s.periodic(s.sharedPollInterval, s.syncNotices),
		s.periodic(s.sharedPollInterval, s.syncMoves),
		s.periodic(func() time.Duration { return loadPollInterval }, s.syncLoads),
		s.periodic(func() time.Duration { return minPollInterval }, s.writeAudit),
		s.periodic(func() time.Duration { return time.Second }, s.housekeep),
		s.bootstrapUntilComplete,
	}
	for _, task := range tasks {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error {
			err := task(ctx)
			<-ctx.Done()
			return err
		}, func(error) { cancel() })
	}
}

func (s *Server) periodic(interval func() time.Duration, task func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error { return s.poll(ctx, interval, task) }
}

func (s *Server) bootstrapUntilComplete(ctx context.Context) error {
	for s.state.generation() == 0 || !s.hasVMList() {
		s.bootstrap(ctx)
		if !waiter.Pause(ctx, minPollInterval) {
			break
		}
	}
	return nil
}

// housekeep updates the limits, closes connections to former members, cancels runs
// that have had no readers for longer than unreadTimeout and deletes ended runs.
func (s *Server) housekeep(context.Context) {
	now := s.now()
	s.state.mu.Lock()
	s.state.updateLimits(now)
	peers := append([]string{}, s.cfg.Seeds...)
	for _, member := range s.state.tracker.Statuses(now) {
		peers = append(peers, member.Address)
	}
	s.state.mu.Unlock()
	s.cfg.Peers.CloseExcept(peers)
	for _, r := range s.runs.sweep(now) {
		if r.timeUnread(now) > unreadTimeout {
			s.metrics.Count("runs_abandoned")
			r.cancel()
		}
	}
}

// drainPollInterval is the time between checks for requests that still run.
const drainPollInterval = 20 * time.Millisecond

// drain refuses new requests and waits up to Config.StopGrace until the accepted
// ones have ended and the outcomes of claims are written. It then writes the
// pending audit records.
func (s *Server) drain() {
	s.state.mu.Lock()
	s.state.stopping = true
	s.state.mu.Unlock()
	s.cfg.Log.Info().Str("event", "stopping").Int("open_runs", len(s.runs.open())).Send()
	s.triggerGossip()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StopGrace)
	defer cancel()
	for len(s.runs.open()) > 0 || s.hasAdmittedRequests() || s.outcomes.len() > 0 {
		if !waiter.Pause(ctx, drainPollInterval) {
			break
		}
	}
	s.writeAudit(ctx)
}

// hasAdmittedRequests reports whether any limiter has requests in flight or queued.
func (s *Server) hasAdmittedRequests() bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, p := range s.state.pools {
		if p.limiter.InFlight() > 0 || p.limiter.QueueLength() > 0 {
			return true
		}
	}
	return false
}

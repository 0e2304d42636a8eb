package server

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/recorder"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// maxReadsPerSecond bounds the platform reads of one kind by all entries
	// together; an entry's poll interval grows with their number.
	maxReadsPerSecond = 100.0
	minPollInterval   = 500 * time.Millisecond
	// loadPollInterval is the time between two rounds of load queries,
	// maxLoadQueriesLarge bounds the queries in a round of a large fleet.
	loadPollInterval    = time.Second
	maxLoadQueriesLarge = 1
	loadQueryWorkers    = 8
	maxAuditBatch       = 100
)

// pollInterval returns the time between two polls of one kind by one entry, before
// jitter.
func pollInterval(entries int) time.Duration {
	return max(minPollInterval, time.Duration(float64(entries)/maxReadsPerSecond*float64(time.Second)))
}

// poll calls task, then again after each jittered interval until ctx ends.
func (s *Server) poll(ctx context.Context, interval func() time.Duration, task func(context.Context)) error {
	for {
		task(ctx)
		if !waiter.Pause(ctx, s.jitter(interval())) {
			return nil
		}
	}
}

func (s *Server) sharedPollInterval() time.Duration {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return pollInterval(s.state.tracker.ServingEntries(now))
}

// syncConfig reads the newest generation from the table and applies it if it is
// above the one in force.
func (s *Server) syncConfig(ctx context.Context) {
	rows, err := s.cfg.Table.Scan(ctx, provider.Scan{
		Prefix: planner.KeyPrefix, After: planner.Key(s.state.generation()), Reverse: true, Limit: 1,
	})
	s.observeCall("table", err)
	if err != nil || len(rows) == 0 {
		return
	}
	s.applyConfig(rows[0].Value)
}

// applyConfig puts a configuration in force, if it is newer, and announces its
// generation to peers at once.
func (s *Server) applyConfig(value []byte) {
	if !s.state.applyConfig(s.now(), value) {
		return
	}
	cfg := s.state.config()
	s.cfg.Log.Info().Str("event", "config_in_force").Uint64("generation", cfg.Generation).Str("by", cfg.SubmittedBy).Send()
	s.triggerGossip()
}

// syncVMs reads the VM list from the platform.
func (s *Server) syncVMs(ctx context.Context) {
	vms, err := s.cfg.Cloud.VMs(ctx)
	s.observeCall("vm_list", err)
	if err == nil {
		s.state.applyVMList(s.now(), vms)
	}
}

// syncNotices reads the reclaim notices from the platform and drops old ones.
func (s *Server) syncNotices(ctx context.Context) {
	notices, err := s.cfg.Cloud.Notices(ctx)
	s.observeCall("notices", err)
	if err == nil {
		s.handleNotices(notices)
	}
	s.state.dropOldNotices(s.now())
}

// syncMoves reads the stored moves. If a move has ended in this entry's state, and that
// end takes precedence over the stored state, it writes the ended move: the row may
// still be in progress after a roll-back while the platform was down, or hold the end
// that the leader wrote while this entry rolled the move back.
func (s *Server) syncMoves(ctx context.Context) {
	for _, stored := range s.readMoves(ctx) {
		local := s.move(stored.Deployment)
		if local.Epoch == stored.Epoch && !local.InProgress() && !mover.Merge(stored.Move, local).SameState(stored.Move) {
			s.writeMove(ctx, local, stored.rowVersion)
		}
	}
}

// observeCall counts a call to the platform that failed. It logs the first of consecutive
// failures of an operation, and their number after the next success.
func (s *Server) observeCall(operation string, err error) {
	s.failuresMu.Lock()
	defer s.failuresMu.Unlock()
	failures := s.failures[operation]
	if err == nil {
		if failures > 0 {
			delete(s.failures, operation)
			s.cfg.Log.Info().Str("event", "platform_reachable").Str("operation", operation).Int("failures", failures).Send()
		}
		return
	}
	s.failures[operation]++
	s.metrics.Count("platform_unreachable_" + operation)
	if failures == 0 {
		s.cfg.Log.Warn().Str("event", "platform_unreachable").Str("operation", operation).Err(err).Send()
	}
}

// upstreamsToQuery returns the upstreams whose load is queried in this round: all in
// a small fleet; in a large one a random choice, at most maxLoadQueriesLarge, of
// those without a recent report. The bound keeps control traffic small.
func (s *Server) upstreamsToQuery(now time.Time) []router.Upstream {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.tracker.RoundInterval() <= largeFleetInterval {
		return s.state.router.Upstreams()
	}
	stale := s.state.router.UpstreamsWithStaleReport(now)
	s.state.random.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	return stale[:min(len(stale), maxLoadQueriesLarge)]
}

// syncLoads queries the load of upstreams, loadQueryWorkers at a time.
func (s *Server) syncLoads(ctx context.Context) {
	now := s.now()
	s.state.mu.Lock()
	s.logAvoided(now)
	s.state.mu.Unlock()
	upstreams := slices.DeleteFunc(s.upstreamsToQuery(now), func(u router.Upstream) bool {
		_, waits := s.backoffUntil(now, u.ID)
		return waits
	})
	jobs := make(chan router.Upstream)
	done := make(chan struct{})
	for range loadQueryWorkers {
		go func() {
			for u := range jobs {
				s.syncLoad(ctx, u)
			}
			done <- struct{}{}
		}()
	}
	for _, u := range upstreams {
		jobs <- u
	}
	close(jobs)
	for range loadQueryWorkers {
		<-done
	}
}

func (s *Server) syncLoad(ctx context.Context, u router.Upstream) {
	load, err := s.cfg.Upstreams.Load(ctx, dispatcher.Target{ID: u.ID, Address: u.Address})
	if err != nil {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	s.state.router.SetReportedLoad(now, u.ID, load.Running, load.Slots)
	s.state.bootIDs[u.ID] = load.BootID
	s.state.mu.Unlock()
	if load.ReclaimIn > 0 {
		s.handleNotices([]provider.Notice{{VMID: u.ID, RemainingMS: load.ReclaimIn.Milliseconds()}})
	}
}

// writeAudit writes pending audit records to the table. Records whose write failed
// stay pending.
func (s *Server) writeAudit(ctx context.Context) {
	s.state.mu.Lock()
	batch := s.state.recorder.Pending(maxAuditBatch)
	s.state.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	writes := make([]provider.Put, 0, len(batch))
	for _, record := range batch {
		value, _ := json.Marshal(record)
		writes = append(writes, provider.Put{Key: record.Key(), Value: value})
	}
	_, err := s.cfg.Table.Batch(ctx, writes)
	s.observeCall("audit", err)
	if err != nil {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.recorder.MarkWritten(now, batch)
}

// bootstrap fetches the configuration and the VM list from the seeds, for a start
// while the platform is down. It returns when the entry has both or has queried
// all seeds.
func (s *Server) bootstrap(ctx context.Context) {
	for _, seed := range s.cfg.Seeds {
		if s.state.generation() > 0 && s.hasVMList() {
			return
		}
		s.fetchState(ctx, seed)
	}
}

func (s *Server) hasVMList() bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.hasVMList
}

// fetchState fetches the moves, a newer configuration and, if there is no VM list
// yet, the VM list from a peer. It returns at once if another fetch runs: several
// peers announce a generation at the same time, and the next exchange announces
// a generation that this fetch missed.
func (s *Server) fetchState(ctx context.Context, address string) {
	if !s.fetchMu.TryLock() {
		return
	}
	defer s.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	state, err := s.cfg.Peers.State(ctx, address, &messenger.StateRequest{AfterGeneration: s.state.generation(), IncludeVMs: !s.hasVMList()})
	if err != nil {
		return
	}
	if len(state.Config) > 0 {
		s.applyConfig(state.Config)
	}
	if !s.hasVMList() && len(state.VMs) > 0 {
		s.state.applyVMList(s.now(), state.VMs)
	}
	for _, m := range state.Moves {
		s.applyMove(m)
	}
}

// audit adds a record to the audit trail and a line to the log.
func (s *Server) audit(actor, event, subject, detail string) {
	s.state.recordAudit(s.now(), recorder.Record{Actor: actor, Event: event, Subject: subject, Detail: detail})
	s.cfg.Log.Info().Str("event", event).Str("actor", actor).Str("subject", subject).Str("detail", detail).Send()
}

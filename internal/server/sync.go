package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/recorder"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// maxReadsPerSecond is the calls a second that all entries together may spend on
	// each kind of reading; the interval of one entry grows with their number.
	maxReadsPerSecond = 100.0
	minPollInterval   = 500 * time.Millisecond
	// loadPollInterval is the time between two rounds of questions about load, and
	// loadQuestions their number in a round of a large fleet.
	loadPollInterval    = time.Second
	maxLoadQueriesLarge = 1
	loadQueryWorkers    = 8
	maxAuditBatch       = 100
)

// pollInterval is the time between two polls of one kind at one entry.
func pollInterval(entries int) time.Duration {
	return max(minPollInterval, time.Duration(float64(entries)/maxReadsPerSecond*float64(time.Second)))
}

// poll calls task at jittered intervals until ctx ends.
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

// syncConfig reads the newest generation above the one in force.
func (s *Server) syncConfig(ctx context.Context) {
	rows, err := s.cfg.Table.Scan(ctx, provider.Scan{
		Prefix: planner.KeyPrefix, After: planner.Key(s.state.generation()), Reverse: true, Limit: 1,
	})
	s.countUnreachable("table", err)
	if err != nil || len(rows) == 0 {
		return
	}
	s.applyConfig(rows[0].Value)
}

// applyConfig puts a generation in force and passes it on at once.
func (s *Server) applyConfig(value []byte) {
	if !s.state.applyConfig(s.now(), value) {
		return
	}
	cfg := s.state.config()
	s.cfg.Log.Info().Str("event", "config_in_force").Uint64("generation", cfg.Generation).Str("by", cfg.SubmittedBy).Send()
	s.triggerGossip()
}

// syncVMs reads the VM list.
func (s *Server) syncVMs(ctx context.Context) {
	vms, err := s.cfg.Cloud.VMs(ctx)
	s.countUnreachable("vm_list", err)
	if err == nil {
		s.state.applyVMList(s.now(), vms)
	}
}

// syncNotices reads the reclaims that are announced.
func (s *Server) syncNotices(ctx context.Context) {
	notices, err := s.cfg.Cloud.Notices(ctx)
	if err == nil {
		s.handleNotices(notices)
	}
	s.state.dropOldNotices(s.now())
}

// syncMoves reads the moves and writes back what this entry knows better: a
// move that was taken back while the platform was down.
func (s *Server) syncMoves(ctx context.Context) {
	for _, stored := range s.readMoves(ctx) {
		known := s.move(stored.Deployment)
		if known.Epoch == stored.Epoch && !known.InProgress() && stored.InProgress() {
			s.writeMove(ctx, known, stored.rowVersion)
		}
	}
}

// countUnreachable counts what the platform could not be asked for.
func (s *Server) countUnreachable(what string, err error) {
	if err != nil {
		s.metrics.Count("platform_unreachable_" + what)
	}
}

// upstreamsToQuery returns the upstreams to ask for their load now: all of a small
// fleet; in a large one those whose answers have not told of it lately, as many
// as the bytes of control allow.
func (s *Server) upstreamsToQuery(now time.Time) []router.Upstream {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.tracker.RoundInterval() <= largeFleetInterval {
		return s.state.router.Upstreams()
	}
	stale := s.state.router.WithStaleReport(now)
	s.state.random.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	return stale[:min(len(stale), maxLoadQueriesLarge)]
}

// syncLoads asks upstreams for their load, a few at a time.
func (s *Server) syncLoads(ctx context.Context) {
	upstreams := s.upstreamsToQuery(s.now())
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

// writeAudit writes the audit records that wait.
func (s *Server) writeAudit(ctx context.Context) {
	s.state.mu.Lock()
	batch := s.state.recorder.Pending(maxAuditBatch)
	s.state.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	puts := make([]provider.Put, 0, len(batch))
	for _, record := range batch {
		value, _ := json.Marshal(record)
		puts = append(puts, provider.Put{Key: record.Key(), Value: value})
	}
	if _, err := s.cfg.Table.Batch(ctx, puts); err != nil {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.recorder.MarkWritten(now, batch)
}

// bootstrap asks the seeds for what this entry needs while the platform is
// down. It returns when a configuration is known or none could tell.
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

// fetchState takes a newer configuration and, if there is no list yet, the VM
// list from a peer. One fetch at a time is enough: news comes from several
// peers at once, and what a fetch misses the next exchange shows again.
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

// audit adds a record to the trail and a line to the log.
func (s *Server) audit(actor, event, subject, detail string) {
	s.state.recordAudit(s.now(), recorder.Record{Actor: actor, Event: event, Subject: subject, Detail: detail})
	s.cfg.Log.Info().Str("event", event).Str("actor", actor).Str("subject", subject).Str("detail", detail).Send()
}

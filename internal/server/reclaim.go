package server

import (
	"context"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
)

const (
	// assumedTimePerToken, assumedPrefillPerToken and assumedTransferPerToken are the
	// reclaimer.Costs of all upstreams.
	assumedTimePerToken     = 60 * time.Millisecond
	assumedPrefillPerToken  = 500 * time.Microsecond
	assumedTransferPerToken = 50 * time.Microsecond
	assumedBytesPerToken    = 4
	// kvMoveTimeout bounds the transfer of one KV cache.
	kvMoveTimeout = 2 * time.Second
	// maxHandoffPeers bounds the peers that a run is offered to, and handoffTimeout
	// each offer.
	maxHandoffPeers = 4
	handoffTimeout  = time.Second
	// handoffMargin is the time reserved for handoffs before the termination of
	// this VM.
	handoffMargin = time.Second
)

// handleNotices acts on each reclaim notice that is new to this entry.
func (s *Server) handleNotices(notices []provider.Notice) {
	for _, n := range notices {
		if !s.state.recordNotice(s.now(), n) {
			continue
		}
		s.metrics.Count("notices")
		s.cfg.Log.Info().Str("event", "reclaim_notice").Str("vm", n.VMID).Int64("left_ms", n.RemainingMS).Send()
		s.triggerGossip()
		if n.VMID == s.cfg.Self.ID {
			go s.reclaimSelf(n.Remaining())
			continue
		}
		s.reclaimUpstream(n.VMID, n.Remaining())
	}
}

// reclaimUpstream plans the reclaimer's action for each stream on a leaving
// upstream and schedules it.
func (s *Server) reclaimUpstream(id string, remaining time.Duration) {
	byID := map[string]*request{}
	var streams []reclaimer.Stream
	for _, r := range s.runs.open() {
		if r.currentTarget().ID != id {
			continue
		}
		byID[r.id] = r
		streams = append(streams, streamOf(r))
	}
	costs := reclaimer.Costs{TimePerToken: assumedTimePerToken, PrefillPerToken: assumedPrefillPerToken, TransferPerToken: assumedTransferPerToken}
	for _, planned := range reclaimer.Plan(streams, remaining, costs) {
		r := byID[planned.RequestID]
		s.metrics.Count("reclaim_" + string(planned.Action))
		delay := planned.Delay
		if planned.Action == reclaimer.Finish {
			// A stream that takes longer than expected is migrated just before
			// the upstream terminates.
			delay = max(0, remaining-handoffMargin/2)
		}
		time.AfterFunc(delay, func() { s.migrateRun(r, id, planned.Action) })
	}
}

func streamOf(r *request) reclaimer.Stream {
	sent := r.buffer.Len()
	return reclaimer.Stream{
		RequestID:      r.id,
		Urgency:        int(r.route.Urgency),
		PromptTokens:   len(r.body) / assumedBytesPerToken,
		SentTokens:     sent,
		ExpectedTokens: max(0, r.maxTokens-sent),
	}
}

// migrateRun interrupts a run that is still on a leaving upstream, so that it
// continues on another one. If the KV cache can't be moved the run resumes
// without it.
func (s *Server) migrateRun(r *request, upstream string, action reclaimer.Action) {
	if r.buffer.State().Kind != replayer.Open || r.currentTarget().ID != upstream {
		return
	}
	intr := interruption{action: reclaimer.Resume}
	if action == reclaimer.MoveKV {
		if to, version, ok := s.moveKV(r); ok {
			intr = interruption{action: reclaimer.MoveKV, nextTarget: to, nextVersion: version}
		}
	}
	r.interrupt(intr)
}

// moveKV chooses the next upstream of a run and moves the run's KV cache there.
func (s *Server) moveKV(r *request) (dispatcher.Target, string, bool) {
	from, attempt := r.currentTarget(), r.attemptNumber()
	if _, waits := s.backoffUntil(s.now(), from.ID); waits {
		return dispatcher.Target{}, "", false
	}
	to, version, ok := s.chooseUpstream(r)
	if !ok || to.ID == from.ID {
		return dispatcher.Target{}, "", false
	}
	ctx, cancel := context.WithTimeout(s.baseContext, kvMoveTimeout)
	defer cancel()
	if err := s.cfg.Upstreams.MoveKV(ctx, from, to, r.id, attempt); err != nil {
		s.metrics.Count("kv_moves_failed")
		return dispatcher.Target{}, "", false
	}
	return to, version, true
}

// reclaimSelf handles the reclaim of this entry's own VM. Runs that are not expected
// to finish in time are handed off to peers at once; the others continue here and
// are handed off only if they are still open handoffMargin before the termination.
func (s *Server) reclaimSelf(remaining time.Duration) {
	s.audit("system", "entry_reclaimed", s.cfg.Self.ID, "left="+remaining.String())
	usable := max(0, remaining-handoffMargin)
	for _, r := range s.runs.open() {
		expected := time.Duration(max(0, r.maxTokens-r.buffer.Len())) * assumedTimePerToken
		if expected <= usable {
			time.AfterFunc(usable, func() { s.handOff(r) })
			continue
		}
		go s.handOff(r)
	}
}

// handOff stops the relay of a run and hands the run off to a peer. If no peer
// accepts the run, its relay starts again here.
func (s *Server) handOff(r *request) {
	if r.buffer.State().Kind != replayer.Open {
		return
	}
	r.interrupt(interruption{stopRelay: true})
	<-r.relayDone
	if r.buffer.State().Kind != replayer.Open {
		return
	}
	if s.offerToPeers(r) {
		r.transition("hand_over")
		r.buffer.End(replayer.State{Kind: replayer.HandedOff})
		s.metrics.Count("handoffs_given")
		return
	}
	s.metrics.Count("handoffs_failed")
	r.clearInterruption()
	r.relayDone = make(chan struct{})
	s.startRelay(r)
}

// offerToPeers offers a run to peers, one after another, until one accepts it.
func (s *Server) offerToPeers(r *request) bool {
	now := s.now()
	handoff := &messenger.HandoffRequest{
		RequestID: r.id, Organisation: r.org.Name, Route: r.route.Name, Digest: r.digest, Body: r.body,
		MaxTokens: r.maxTokens, Parts: r.buffer.Parts(), Attempts: r.attemptsMayHaveRun(), RemainingMS: r.deadline.Sub(now).Milliseconds(),
	}
	s.state.mu.Lock()
	peers := s.state.tracker.RankedMembers(now, r.id, maxHandoffPeers)
	s.state.mu.Unlock()
	for _, peer := range peers {
		ctx, cancel := context.WithTimeout(s.baseContext, handoffTimeout)
		reply, err := s.cfg.Peers.Handoff(ctx, peer.Address, handoff)
		cancel()
		if err == nil && reply.Accepted {
			return true
		}
	}
	return false
}

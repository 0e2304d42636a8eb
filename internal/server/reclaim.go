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
	// assumedTimePerToken, assumedPrefill and assumedTransfer are the rates that a
	// reclaim is planned with.
	assumedTimePerToken     = 60 * time.Millisecond
	assumedPrefillPerToken  = 500 * time.Microsecond
	assumedTransferPerToken = 50 * time.Microsecond
	assumedBytesPerToken    = 4
	// kvMoveTimeout bounds the moving of one KV cache.
	kvMoveTimeout = 2 * time.Second
	// maxHandoffPeers bounds the peers that a run is offered to.
	maxHandoffPeers = 4
	handoffTimeout  = time.Second
	// handoffMargin is kept free before this VM is gone.
	handoffMargin = time.Second
)

// handleNotices acts on the reclaims that are news.
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

// reclaimUpstream plans what becomes of the streams on a leaving upstream.
func (s *Server) reclaimUpstream(id string, left time.Duration) {
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
	for _, step := range reclaimer.Plan(streams, left, costs) {
		r := byID[step.RequestID]
		s.metrics.Count("reclaim_" + string(step.Action))
		after := step.Delay
		if step.Action == reclaimer.Finish {
			// What does not finish as expected leaves just before the end.
			after = max(0, left-handoffMargin/2)
		}
		time.AfterFunc(after, func() { s.migrateRun(r, id, step.Action) })
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

// migrateRun takes a run off an upstream if it is still there.
func (s *Server) migrateRun(r *request, upstream string, way reclaimer.Action) {
	if r.buffer.EndState().Kind != replayer.Open || r.currentTarget().ID != upstream {
		return
	}
	o := interruption{action: reclaimer.Resume}
	if way == reclaimer.MoveKV {
		if to, version, ok := s.moveKV(r); ok {
			o = interruption{action: reclaimer.MoveKV, nextTarget: to, nextVersion: version}
		}
	}
	r.interrupt(o)
}

// moveKV moves a run's cache to the upstream that it will go on at.
func (s *Server) moveKV(r *request) (dispatcher.Target, string, bool) {
	from, attempt := r.currentTarget(), r.attemptNumber()
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

// reclaimSelf brings this entry's runs through its own reclaim: what can finish
// finishes, the rest goes to peers.
func (s *Server) reclaimSelf(left time.Duration) {
	s.audit("system", "entry_reclaimed", s.cfg.Self.ID, "left="+left.String())
	usable := max(0, left-handoffMargin)
	for _, r := range s.runs.open() {
		expected := time.Duration(max(0, r.maxTokens-r.buffer.Len())) * assumedTimePerToken
		if expected <= usable {
			time.AfterFunc(usable, func() { s.handOff(r) })
			continue
		}
		go s.handOff(r)
	}
}

// handOff gives a run to a peer. If none takes it, it goes on here.
func (s *Server) handOff(r *request) {
	if r.buffer.EndState().Kind != replayer.Open {
		return
	}
	r.interrupt(interruption{stopRelay: true})
	<-r.relayDone
	if r.buffer.EndState().Kind != replayer.Open {
		return
	}
	if s.offerToPeers(r) {
		r.transition("hand_over")
		r.buffer.End(replayer.End{Kind: replayer.HandedOff})
		s.metrics.Count("handoffs_given")
		return
	}
	s.metrics.Count("handoffs_failed")
	r.clearInterruption()
	r.relayDone = make(chan struct{})
	s.startRelay(r)
}

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

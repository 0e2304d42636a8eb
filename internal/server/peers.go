package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

const (
	exchangeTimeout = time.Second
	locateTimeout   = 300 * time.Millisecond
	// maxLocatePeers bounds the peers that are asked for a request.
	maxLocatePeers = 8
	// maxUpdatePeers bounds the peers that news goes to at once; each passes it on.
	maxUpdatePeers = 8
	// maxUpdatePeersLarge is the same where rounds are rare.
	maxUpdatePeersLarge = 4
	// largeFleetInterval is the interval of rounds above which a fleet counts as large.
	largeFleetInterval = time.Second
	// maxCrashRecords bounds the implications in one exchange.
	maxCrashRecords = 64
	// maxExchangedMembers bounds the members in one exchange.
	maxExchangedMembers = 8
)

// gossip exchanges with a few peers now and again, and with more of them at
// once when there is news.
func (s *Server) gossip(ctx context.Context) error {
	for {
		interval := s.roundInterval()
		timer := time.NewTimer(s.jitter(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.gossipNow:
			timer.Stop()
			s.exchangeWith(ctx, s.updatePeers(interval))
		case <-timer.C:
			s.state.mu.Lock()
			round := s.state.tracker.SelectPeers(s.state.random)
			s.state.mu.Unlock()
			s.exchangeWith(ctx, round)
		}
	}
}

// triggerGossip asks for an exchange without delay.
func (s *Server) triggerGossip() {
	select {
	case s.gossipNow <- struct{}{}:
	default:
	}
}

func (s *Server) roundInterval() time.Duration {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.RoundInterval()
}

// updatePeers chooses the peers for news: all of a small fleet, a few random ones
// of a large one, who pass it on.
func (s *Server) updatePeers(interval time.Duration) []tracker.Member {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if interval < largeFleetInterval {
		return s.state.tracker.RankedMembers(now, s.cfg.Self.ID, maxUpdatePeers)
	}
	return s.state.tracker.RankedMembers(now, strconv.FormatUint(s.state.random.Uint64(), 16), maxUpdatePeersLarge)
}

// exchangeWith exchanges with peers side by side. A peer that does not answer
// delays nobody.
func (s *Server) exchangeWith(ctx context.Context, peers []tracker.Member) {
	for _, peer := range peers {
		if !s.beginExchange(peer.ID) {
			continue
		}
		go func() {
			defer s.endExchange(peer.ID)
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			reply, err := s.cfg.Peers.Exchange(ctx, peer.Address, s.newExchange())
			if err != nil {
				s.recordPeerFailure(peer.ID)
				return
			}
			s.handleExchange(ctx, reply)
		}()
	}
}

func (s *Server) recordPeerFailure(id string) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.tracker.RecordFailure(now, id)
}

// beginExchange marks an exchange with a peer; one at a time is enough.
func (s *Server) beginExchange(id string) bool {
	s.exchangesMu.Lock()
	defer s.exchangesMu.Unlock()
	if s.openExchanges[id] {
		return false
	}
	s.openExchanges[id] = true
	return true
}

func (s *Server) endExchange(id string) {
	s.exchangesMu.Lock()
	defer s.exchangesMu.Unlock()
	delete(s.openExchanges, id)
}

// newExchange is what this entry tells its peers.
func (s *Server) newExchange() *messenger.Exchange {
	now := s.now()
	ready, _ := s.state.ready()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return &messenger.Exchange{
		From:         s.cfg.Self,
		Generation:   s.state.generationLocked(),
		Ready:        ready,
		Leaving:      s.state.leaving || s.state.stopping,
		Members:      s.state.tracker.RankedMembers(now, s.cfg.Self.ID, maxExchangedMembers),
		Notices:      s.state.recentNotices(now),
		Moves:        s.state.allMovesLocked(),
		CrashRecords: s.state.isolator.NewestRecords(now, maxCrashRecords),
		MoveOutcomes: s.state.moveOutcomes(),
	}
}

// handleExchange takes what a peer tells.
func (s *Server) handleExchange(ctx context.Context, in *messenger.Exchange) {
	now := s.now()
	s.state.mu.Lock()
	s.state.tracker.RecordContact(now, in.From, in.Generation, in.Ready, in.Leaving)
	for _, m := range in.Members {
		s.state.tracker.AddMember(now, m)
	}
	news := false
	for _, implication := range in.CrashRecords {
		if s.state.isolator.Merge(now, implication) {
			news = true
		}
	}
	generation := s.state.generationLocked()
	s.state.mu.Unlock()
	s.handleNotices(in.Notices)
	for _, m := range in.Moves {
		s.applyMove(m)
	}
	if back, tripped := s.state.mergeMoveOutcomes(now, in.MoveOutcomes); tripped {
		s.publishRollBack(back)
	}
	if news {
		s.triggerGossip()
	}
	if in.Generation > generation {
		s.fetchState(ctx, in.From.Address)
	}
}

// applyMove merges a move and passes on what is new.
func (s *Server) applyMove(m mover.Move) {
	if s.state.mergeMove(m) {
		s.triggerGossip()
	}
}

// Exchange answers a peer's exchange.
func (s *Server) Exchange(ctx context.Context, in *messenger.Exchange) (*messenger.Exchange, error) {
	go s.handleExchange(context.WithoutCancel(ctx), in)
	return s.newExchange(), nil
}

// State gives a peer what it needs to serve.
func (s *Server) State(_ context.Context, in *messenger.StateRequest) (*messenger.State, error) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	state := &messenger.State{Moves: s.state.allMovesLocked()}
	if in.IncludeVMs {
		state.VMs = s.state.vms
	}
	if s.state.generationLocked() > in.AfterGeneration {
		state.Config = s.state.encodedConfig
	}
	return state, nil
}

// Handoff takes a running request over from a peer that is leaving.
func (s *Server) Handoff(_ context.Context, in *messenger.HandoffRequest) (*messenger.HandoffReply, error) {
	if closed, _ := s.state.refusesRequests(); closed {
		return &messenger.HandoffReply{}, nil
	}
	cfg := s.state.config()
	if cfg == nil {
		return &messenger.HandoffReply{}, nil
	}
	route, ok := cfg.Route(in.Route)
	if !ok {
		return &messenger.HandoffReply{}, nil
	}
	now := s.now()
	r := &request{
		id: in.RequestID, org: planner.Organisation{Name: in.Organisation}, route: route, digest: in.Digest,
		body: in.Body, maxTokens: in.MaxTokens, fingerprint: isolator.FingerprintOf(in.Organisation, route.Name, in.Body),
		startedAt: now, deadline: now.Add(time.Duration(in.RemainingMS) * time.Millisecond),
		state: charter.Request().Initial(), relayDone: make(chan struct{}), attempts: in.Attempts,
	}
	for _, part := range in.Parts {
		r.buffer.Append(part)
	}
	r.transition("admit")
	if _, fresh := s.runs.addIfAbsent(r); fresh {
		s.metrics.Count("handoffs_taken")
		s.startRelay(r)
	}
	return &messenger.HandoffReply{Accepted: true}, nil
}

// Locate tells a peer whether a request is here.
func (s *Server) Locate(_ context.Context, in *messenger.LocateRequest) (*messenger.LocateReply, error) {
	r, ok := s.runs.find(in.RequestID)
	if !ok || r.org.Name != in.Organisation {
		return &messenger.LocateReply{}, nil
	}
	kind := r.buffer.EndState().Kind
	if kind != replayer.Open && kind != replayer.Done {
		return &messenger.LocateReply{}, nil
	}
	return &messenger.LocateReply{Found: true, Digest: r.digest}, nil
}

// Join sends a request's parts to a peer.
func (s *Server) Join(ctx context.Context, in *messenger.JoinRequest, send func(*messenger.JoinPart) error) error {
	r, ok := s.runs.find(in.RequestID)
	if !ok || r.org.Name != in.Organisation {
		return send(&messenger.JoinPart{HandedOff: true})
	}
	reader := r.buffer.Reader(in.From)
	defer reader.Close()
	for {
		offset := reader.Offset()
		text, end, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		part := &messenger.JoinPart{Offset: offset, Text: text, Done: end.Kind == replayer.Done, HandedOff: end.Kind == replayer.HandedOff}
		if end.Kind == replayer.Refused {
			part.Refusal, _ = json.Marshal(end.Refusal)
		}
		if err := send(part); err != nil {
			return err
		}
		if end.Kind != replayer.Open {
			return nil
		}
	}
}

// locateAtPeer asks the peers nearest to a request's id for it.
func (s *Server) locateAtPeer(ctx context.Context, id string, org planner.Organisation) (runLocation, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	now := s.now()
	s.state.mu.Lock()
	alive := slices.DeleteFunc(s.state.tracker.RankedMembers(now, id, maxLocatePeers), func(peer tracker.Member) bool {
		return s.state.tracker.Reachability(now, peer.ID) != tracker.Reachable
	})
	s.state.mu.Unlock()
	answers := make(chan runLocation, len(alive))
	for _, peer := range alive {
		go func() {
			reply, err := s.cfg.Peers.Locate(ctx, peer.Address, &messenger.LocateRequest{RequestID: id, Organisation: org.Name})
			if err != nil || !reply.Found {
				answers <- runLocation{}
				return
			}
			answers <- runLocation{peerAddress: peer.Address, digest: reply.Digest, id: id}
		}()
	}
	for range alive {
		if answer := <-answers; answer.peerAddress != "" {
			return answer, true
		}
	}
	return runLocation{}, false
}

// errHandedOff ends a join whose request went to yet another entry.
var errHandedOff = errors.New("moved")

// copyFromPeer copies a peer's run into a buffer, following the run when it moves.
func (s *Server) copyFromPeer(ctx context.Context, buffer *replayer.Buffer, at runLocation, org planner.Organisation, from int) {
	next := from
	for {
		err := s.cfg.Peers.Join(ctx, at.peerAddress, &messenger.JoinRequest{RequestID: at.id, Organisation: org.Name, From: next}, func(part *messenger.JoinPart) error {
			switch {
			case part.Text != "":
				buffer.Append(part.Text)
				next++
			case part.Done:
				buffer.End(replayer.End{Kind: replayer.Done})
			case part.HandedOff:
				return errHandedOff
			default:
				var refusal judge.Refusal
				_ = json.Unmarshal(part.Refusal, &refusal)
				buffer.End(replayer.End{Kind: replayer.Refused, Refusal: judge.Refuse(refusal.Code, refusal.Verdict, refusal.Message)})
			}
			return nil
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		found, ok := s.locateAtPeer(ctx, at.id, org)
		if !ok {
			buffer.End(replayer.End{Kind: replayer.HandedOff})
			return
		}
		at = found
	}
}

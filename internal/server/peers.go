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
	// askedPeers bounds the peers that are asked for a request.
	askedPeers = 8
	// urgentPeers bounds the peers that news goes to at once; each passes it on.
	urgentPeers = 8
	// urgentPeersLarge is the same where rounds are rare.
	urgentPeersLarge = 4
	// rareRounds is the interval of rounds above which a fleet counts as large.
	rareRounds = time.Second
	// maxImplications bounds the implications in one exchange.
	maxImplications = 64
	// maxLearned bounds the members in one exchange.
	maxLearned = 8
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
		case <-s.news:
			timer.Stop()
			s.exchangeWith(ctx, s.newsTo(interval))
		case <-timer.C:
			s.state.mu.Lock()
			round := s.state.tracker.SelectPeers(s.state.random)
			s.state.mu.Unlock()
			s.exchangeWith(ctx, round)
		}
	}
}

// urgent asks for an exchange without delay.
func (s *Server) urgent() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

func (s *Server) roundInterval() time.Duration {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.tracker.RoundInterval()
}

// newsTo chooses the peers for news: all of a small fleet, a few random ones
// of a large one, who pass it on.
func (s *Server) newsTo(interval time.Duration) []tracker.Member {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if interval < rareRounds {
		return s.state.tracker.RankedMembers(now, s.cfg.Self.ID, urgentPeers)
	}
	return s.state.tracker.RankedMembers(now, strconv.FormatUint(s.state.random.Uint64(), 16), urgentPeersLarge)
}

// exchangeWith exchanges with peers side by side. A peer that does not answer
// delays nobody.
func (s *Server) exchangeWith(ctx context.Context, peers []tracker.Member) {
	for _, peer := range peers {
		if !s.busyWith(peer.ID) {
			continue
		}
		go func() {
			defer s.freeOf(peer.ID)
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			reply, err := s.cfg.Peers.Exchange(ctx, peer.Address, s.digest())
			if err != nil {
				s.missed(peer.ID)
				return
			}
			s.hear(ctx, reply)
		}()
	}
}

func (s *Server) missed(id string) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.tracker.RecordFailure(now, id)
}

// busyWith marks an exchange with a peer; one at a time is enough.
func (s *Server) busyWith(id string) bool {
	s.exchanging.Lock()
	defer s.exchanging.Unlock()
	if s.exchanges[id] {
		return false
	}
	s.exchanges[id] = true
	return true
}

func (s *Server) freeOf(id string) {
	s.exchanging.Lock()
	defer s.exchanging.Unlock()
	delete(s.exchanges, id)
}

// digest is what this entry tells its peers.
func (s *Server) digest() *messenger.Exchange {
	now := s.now()
	ready, _ := s.state.ready()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return &messenger.Exchange{
		From:         s.cfg.Self,
		Generation:   s.state.generationLocked(),
		Ready:        ready,
		Leaving:      s.state.leaving || s.state.stopping,
		Members:      s.state.tracker.RankedMembers(now, s.cfg.Self.ID, maxLearned),
		Notices:      s.state.openNotices(now),
		Moves:        s.state.allMovesLocked(),
		CrashRecords: s.state.isolator.NewestRecords(now, maxImplications),
		MoveOutcomes: s.state.moveOutcomes(),
	}
}

// hear takes what a peer tells.
func (s *Server) hear(ctx context.Context, in *messenger.Exchange) {
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
		s.urgent()
	}
	if in.Generation > generation {
		s.fetchState(ctx, in.From.Address)
	}
}

// applyMove merges a move and passes on what is new.
func (s *Server) applyMove(m mover.Move) {
	if s.state.mergeMove(m) {
		s.urgent()
	}
}

// Exchange answers a peer's exchange.
func (s *Server) Exchange(ctx context.Context, in *messenger.Exchange) (*messenger.Exchange, error) {
	go s.hear(context.WithoutCancel(ctx), in)
	return s.digest(), nil
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
		state.Config = s.state.encoded
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
		started: now, deadline: now.Add(time.Duration(in.RemainingMS) * time.Millisecond),
		state: charter.Request().Initial(), relayed: make(chan struct{}), attempts: in.Attempts,
	}
	for _, part := range in.Parts {
		r.buffer.Append(part)
	}
	r.step("admit")
	if _, fresh := s.runs.start(r); fresh {
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
	alive := slices.DeleteFunc(s.state.tracker.RankedMembers(now, id, askedPeers), func(peer tracker.Member) bool {
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

// errMoved ends a join whose request went to yet another entry.
var errMoved = errors.New("moved")

// pull copies a peer's run into a buffer, following the run when it moves.
func (s *Server) pull(ctx context.Context, buffer *replayer.Buffer, at runLocation, org planner.Organisation, from int) {
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
				return errMoved
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

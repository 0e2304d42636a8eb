package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
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
	// updateTimeout bounds the time for which a response waits for an update of peers.
	updateTimeout = 250 * time.Millisecond
	locateTimeout = 300 * time.Millisecond
	// maxLocatePeers bounds the peers that are queried for a request.
	maxLocatePeers = 8
	// maxUpdatePeers bounds the peers that an update is sent to at once; each peer
	// forwards the update.
	maxUpdatePeers = 8
	// maxUpdatePeersLarge is the same bound in a large fleet.
	maxUpdatePeersLarge = 4
	// largeFleetInterval is the interval of gossip rounds above which the fleet
	// counts as large.
	largeFleetInterval = time.Second
	// maxCrashRecords bounds the crash records in one exchange.
	maxCrashRecords = 64
	// maxExchangedMembers bounds the members in one exchange.
	maxExchangedMembers = 8
)

// gossip exchanges state in each round with the peers that the tracker selects. After
// triggerGossip it exchanges at once with more peers, which updatePeers chooses.
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
			peers := s.state.tracker.SelectPeers(s.state.random)
			s.state.mu.Unlock()
			s.exchangeWith(ctx, peers)
		}
	}
}

// triggerGossip makes gossip exchange state at once, to spread an update.
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

// updatePeers chooses the peers that an update is sent to: in a small fleet the
// first maxUpdatePeers in the rendezvous order of this entry's ID, in a large one
// maxUpdatePeersLarge random peers.
func (s *Server) updatePeers(interval time.Duration) []tracker.Member {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if interval < largeFleetInterval {
		return s.state.tracker.RankedMembers(now, s.cfg.Self.ID, maxUpdatePeers)
	}
	return s.state.tracker.RankedMembers(now, strconv.FormatUint(s.state.random.Uint64(), 16), maxUpdatePeersLarge)
}

// exchangeWith exchanges state with peers concurrently and does not wait for the
// results, so that a peer that does not respond delays no other exchange.
func (s *Server) exchangeWith(ctx context.Context, peers []tracker.Member) {
	for _, peer := range peers {
		if s.beginExchange(peer.ID) {
			go s.exchangeUntilDone(ctx, peer)
		}
	}
}

// exchangeUntilDone exchanges state with a peer, and again if that was requested meanwhile:
// the open exchange may lack the newest update.
func (s *Server) exchangeUntilDone(ctx context.Context, peer tracker.Member) {
	for {
		succeeded := s.exchange(ctx, peer)
		if !s.endExchange(peer.ID, succeeded) {
			return
		}
	}
}

// exchange exchanges state with a peer once and reports whether the peer responded.
func (s *Server) exchange(ctx context.Context, peer tracker.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := s.cfg.Peers.Exchange(ctx, peer.Address, s.newExchange())
	if err != nil {
		s.recordPeerFailure(peer.ID)
		return false
	}
	s.handleExchange(ctx, response)
	return true
}

// spreadUpdate exchanges state with the peers that an update is sent to, and waits until they
// have responded, at most updateTimeout.
func (s *Server) spreadUpdate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, peer := range s.updatePeers(s.roundInterval()) {
		pending.Go(func() { s.exchange(s.baseContext, peer) })
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		pending.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Server) recordPeerFailure(id string) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.tracker.RecordFailure(now, id)
}

// beginExchange marks an exchange with a peer as open. If there is an open one it returns
// false, and another one follows.
func (s *Server) beginExchange(id string) bool {
	s.exchangesMu.Lock()
	defer s.exchangesMu.Unlock()
	_, isOpen := s.openExchanges[id]
	s.openExchanges[id] = isOpen
	return !isOpen
}

// endExchange ends an exchange and reports whether another one follows. None follows one
// that failed: the next round tries that peer again.
func (s *Server) endExchange(id string, succeeded bool) bool {
	s.exchangesMu.Lock()
	defer s.exchangesMu.Unlock()
	if succeeded && s.openExchanges[id] {
		s.openExchanges[id] = false
		return true
	}
	delete(s.openExchanges, id)
	return false
}

// newExchange returns this entry's gossip message.
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

// handleExchange merges a peer's gossip message into the state, spreads updates and
// fetches the configuration if the peer has a newer one.
func (s *Server) handleExchange(ctx context.Context, in *messenger.Exchange) {
	now := s.now()
	s.state.mu.Lock()
	s.state.tracker.RecordContact(now, in.From, in.Generation, in.Ready, in.Leaving)
	for _, m := range in.Members {
		s.state.tracker.AddMember(now, m)
	}
	updated := false
	for _, record := range in.CrashRecords {
		if s.state.isolator.Merge(now, record) {
			updated = true
		}
	}
	generation := s.state.generationLocked()
	s.state.mu.Unlock()
	s.handleNotices(in.Notices)
	for _, m := range in.Moves {
		s.applyMove(m)
	}
	if move, rolledBack := s.state.mergeMoveOutcomes(now, in.MoveOutcomes); rolledBack {
		s.publishRollBack(move)
	}
	if updated {
		s.triggerGossip()
	}
	if in.Generation > generation {
		s.fetchState(ctx, in.From.Address)
	}
}

// applyMove merges a move and, if that changed this entry's state of it, sends the
// update to peers.
func (s *Server) applyMove(m mover.Move) {
	if s.state.mergeMove(m) {
		s.triggerGossip()
	}
}

// Exchange handles a peer's gossip message and returns this entry's.
func (s *Server) Exchange(ctx context.Context, in *messenger.Exchange) (*messenger.Exchange, error) {
	go s.handleExchange(context.WithoutCancel(ctx), in)
	return s.newExchange(), nil
}

// State returns the moves and, as requested, the VM list and a newer configuration.
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

// Handoff takes over a running request from a peer that is leaving.
func (s *Server) Handoff(_ context.Context, in *messenger.HandoffRequest) (*messenger.HandoffReply, error) {
	if refuses, _ := s.state.refusesRequests(); refuses {
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
	if _, added := s.runs.addIfAbsent(r); added {
		s.metrics.Count("handoffs_taken")
		s.startRelay(r)
	}
	return &messenger.HandoffReply{Accepted: true}, nil
}

// Locate reports whether this entry has a request that is running or done.
func (s *Server) Locate(_ context.Context, in *messenger.LocateRequest) (*messenger.LocateReply, error) {
	r, ok := s.runs.find(in.RequestID)
	if !ok || r.org.Name != in.Organisation {
		return &messenger.LocateReply{}, nil
	}
	kind := r.buffer.State().Kind
	if kind != replayer.Open && kind != replayer.Done {
		return &messenger.LocateReply{}, nil
	}
	return &messenger.LocateReply{Found: true, Digest: r.digest}, nil
}

// Join sends the parts of a request's response to a peer until the request ends.
func (s *Server) Join(ctx context.Context, in *messenger.JoinRequest, send func(*messenger.JoinPart) error) error {
	r, ok := s.runs.find(in.RequestID)
	if !ok || r.org.Name != in.Organisation {
		return send(&messenger.JoinPart{HandedOff: true})
	}
	reader := r.buffer.Reader(in.From)
	defer reader.Close()
	for {
		offset := reader.Offset()
		text, state, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		part := &messenger.JoinPart{Offset: offset, Text: text, Done: state.Kind == replayer.Done, HandedOff: state.Kind == replayer.HandedOff}
		if state.Kind == replayer.Refused {
			part.Refusal, _ = json.Marshal(state.Refusal)
		}
		if err := send(part); err != nil {
			return err
		}
		if state.Kind != replayer.Open {
			return nil
		}
	}
}

// locateAtPeer queries the first maxLocatePeers peers in the rendezvous order of a
// request's ID for the request.
func (s *Server) locateAtPeer(ctx context.Context, id string, org planner.Organisation) (runLocation, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	now := s.now()
	s.state.mu.Lock()
	reachable := slices.DeleteFunc(s.state.tracker.RankedMembers(now, id, maxLocatePeers), func(peer tracker.Member) bool {
		return s.state.tracker.Reachability(now, peer.ID) != tracker.Reachable
	})
	s.state.mu.Unlock()
	results := make(chan runLocation, len(reachable))
	for _, peer := range reachable {
		go func() {
			reply, err := s.cfg.Peers.Locate(ctx, peer.Address, &messenger.LocateRequest{RequestID: id, Organisation: org.Name})
			if err != nil || !reply.Found {
				results <- runLocation{}
				return
			}
			results <- runLocation{peerAddress: peer.Address, digest: reply.Digest, id: id}
		}()
	}
	for range reachable {
		if result := <-results; result.peerAddress != "" {
			return result, true
		}
	}
	return runLocation{}, false
}

// errHandedOff ends a join whose request was handed off to another entry.
var errHandedOff = errors.New("moved")

// copyFromPeer copies the response of a peer's run into a buffer from an offset on.
// If the run is handed off or the peer fails, it locates the run again and continues.
func (s *Server) copyFromPeer(ctx context.Context, buffer *replayer.Buffer, location runLocation, org planner.Organisation, from int) {
	next := from
	for {
		err := s.cfg.Peers.Join(ctx, location.peerAddress, &messenger.JoinRequest{RequestID: location.id, Organisation: org.Name, From: next}, func(part *messenger.JoinPart) error {
			switch {
			case part.Done:
				buffer.End(replayer.State{Kind: replayer.Done})
			case part.HandedOff:
				return errHandedOff
			case len(part.Refusal) == 0:
				buffer.Append(part.Text)
				next++
			default:
				var refusal judge.Refusal
				if err := json.Unmarshal(part.Refusal, &refusal); err != nil {
					return err
				}
				buffer.End(replayer.State{Kind: replayer.Refused, Refusal: judge.Refuse(refusal.Code, refusal.Verdict, refusal.Message)})
			}
			return nil
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		found, ok := s.locateAtPeer(ctx, location.id, org)
		if !ok {
			buffer.End(replayer.State{Kind: replayer.HandedOff})
			return
		}
		location = found
	}
}

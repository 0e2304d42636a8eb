package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/leaser"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

const (
	// movePrefix begins the keys of each deployment's newest move.
	movePrefix = "move/"
	// pastMovePrefix begins the keys of moves that a later move has replaced.
	pastMovePrefix = "past_move/"
	leasePrefix    = "lease/"
	// leaderInterval is the time between two rounds of a leader's work.
	leaderInterval = 250 * time.Millisecond
)

// The names of the leases. The holder of each is the leader: the one entry that
// advances moves, or that manages the fleet.
const (
	moveLeadership  = "moves"
	fleetLeadership = "fleet"
)

// leader is this entry's view of one lease; the entry is the leader while it
// holds the lease.
type leader struct {
	name   string
	leaser *leaser.Leaser
}

func newLeader(cfg Config, name string) *leader {
	return &leader{name: name, leaser: leaser.New(leaser.Config{
		Holder: cfg.Self.ID, Lifetime: cfg.LeaseLifetime, Margin: cfg.LeaseLifetime / leaseMarginDivisor,
	}, cfg.Now())}
}

// runAsLeader returns a task that contends for a lease and calls work in each
// round in which this entry is the leader.
func (s *Server) runAsLeader(lead *leader, work func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			if s.acquireOrRenew(ctx, lead) {
				work(ctx)
			}
			if !waiter.Pause(ctx, s.leaderPollInterval(lead)) {
				return nil
			}
		}
	}
}

// leaderPollInterval is the time to the next round. It is short for the leader
// only; other entries read the lease rarely.
func (s *Server) leaderPollInterval(lead *leader) time.Duration {
	if lead.leaser.Holds(s.now()) {
		return leaderInterval
	}
	return s.jitter(max(minPollInterval, s.sharedPollInterval()))
}

// acquireOrRenew reads the lease, acquires or renews it if that is due, and
// reports whether this entry is the leader. An entry that refuses requests,
// because it is stopping or leaving, does not write the lease.
func (s *Server) acquireOrRenew(ctx context.Context, lead *leader) bool {
	l := lead.leaser
	if !l.Holds(s.now()) || l.Version() == 0 {
		row, err := s.cfg.Table.Get(ctx, leasePrefix+lead.name)
		if err != nil {
			return false
		}
		var lease leaser.Lease
		_ = json.Unmarshal(row.Value, &lease)
		l.Observe(s.now(), row.Version, lease)
	}
	refusing, _ := s.state.refusesRequests()
	proposed, due := l.ProposeWrite(s.now())
	if refusing || !due {
		return l.Holds(s.now())
	}
	proposed.Nonce = uuid.NewString()
	value, _ := json.Marshal(proposed)
	sentAt := s.now()
	acquired := l.Holder() != s.cfg.Self.ID
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: leasePrefix + lead.name, Value: value, Expect: l.Version()})
	if err != nil {
		return l.Holds(s.now())
	}
	if !result.Applied {
		var lease leaser.Lease
		_ = json.Unmarshal(result.Row.Value, &lease)
		l.Observe(s.now(), result.Row.Version, lease)
		return false
	}
	l.RecordWrite(sentAt, result.Row.Version, proposed)
	if acquired {
		s.cfg.Log.Info().Str("event", "lease_taken").Str("duty", lead.name).Uint64("fence", proposed.Fence).Send()
	}
	return l.Holds(s.now())
}

// storedMove is a move as stored in the platform's table, with its row's version.
type storedMove struct {
	mover.Move
	rowVersion uint64
}

// readMoves reads the newest move of each deployment from the platform's table
// and merges the moves into the entry's state.
func (s *Server) readMoves(ctx context.Context) []storedMove {
	rows, err := s.cfg.Table.Scan(ctx, provider.Scan{Prefix: movePrefix})
	if err != nil {
		return nil
	}
	var moves []storedMove
	for _, row := range rows {
		var m mover.Move
		if json.Unmarshal(row.Value, &m) != nil {
			continue
		}
		s.applyMove(m)
		moves = append(moves, storedMove{Move: m, rowVersion: row.Version})
	}
	return moves
}

// advanceMoves advances each move in progress to its next step or state if the
// outcomes of its versions allow that.
func (s *Server) advanceMoves(ctx context.Context) {
	for _, stored := range s.readMoves(ctx) {
		s.advanceMove(ctx, stored.Move, stored.rowVersion)
	}
}

func (s *Server) advanceMove(ctx context.Context, stored mover.Move, rowVersion uint64) {
	now := s.now()
	local := s.move(stored.Deployment)
	if local.ID != stored.ID || !local.InProgress() {
		return
	}
	policy, evidence, ok := s.moveEvidence(now, local)
	if !ok {
		return
	}
	next, event := mover.Advance(now, local, evidence, policy)
	if event == "" || !s.moveLeader.leaser.Holds(s.now()) {
		return
	}
	if !s.writeMove(ctx, next, rowVersion) {
		return
	}
	s.applyMove(next)
	s.logMove(string(event), next)
}

func (s *Server) logMove(event string, m mover.Move) {
	s.cfg.Log.Info().Str("event", "move_"+event).Str("move", m.ID).Str("deployment", m.Deployment).
		Str("to", m.To).Int("step", m.Step).Str("reason", m.Reason).Send()
}

// moveEvidence returns the policy of a move and the evidence that mover.Advance
// needs. It returns false if the configuration or the move is missing.
func (s *Server) moveEvidence(now time.Time, m mover.Move) (mover.Policy, mover.Evidence, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.cfg == nil {
		return mover.Policy{}, mover.Evidence{}, false
	}
	d, ok := s.state.cfg.Deployment(m.Deployment)
	local := s.state.moves[m.Deployment]
	if !ok || local == nil {
		return mover.Policy{}, mover.Evidence{}, false
	}
	upstreamsReady := s.state.router.EligibleVersionCount(now, m.Deployment, m.To) > 0
	return d.Move.Policy(), mover.Evidence{Outcomes: local.newVersionOutcomes - local.outcomesAtStepStart, HoldStep: local.comparisons.HoldStep(), UpstreamsReady: upstreamsReady}, true
}

// writeMove writes a move if its row is still at rowVersion, and reports whether
// the write took effect.
func (s *Server) writeMove(ctx context.Context, m mover.Move, rowVersion uint64) bool {
	value, _ := json.Marshal(m)
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: movePrefix + m.Deployment, Value: value, Expect: rowVersion})
	return err == nil && result.Applied
}

// move returns this entry's state of a deployment's newest move. Its ID is empty
// if there is none.
func (s *Server) move(deployment string) mover.Move {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if m, ok := s.state.moves[deployment]; ok {
		return m.move
	}
	return mover.Move{}
}

// publishRollBack publishes a roll-back that this entry decided: to peers by gossip
// at once, to the platform's table as soon as the table is reachable.
func (s *Server) publishRollBack(m mover.Move) {
	s.metrics.Count("moves_taken_back")
	s.logMove("taken_back", m)
	s.triggerGossip()
	go s.syncMoves(s.baseContext)
}

// moveRefused is the error of a move that can't start or be rolled back.
type moveRefused struct{ reason string }

func (e moveRefused) Error() string { return e.reason }

// startMove starts a move of a deployment to a version. A finishWithin of 0 means
// the deployment's configured duration.
func (s *Server) startMove(ctx context.Context, operator, deployment, to string, finishWithin time.Duration) (mover.Move, error) {
	cfg := s.state.config()
	if cfg == nil {
		return mover.Move{}, moveRefused{"there is no configuration yet"}
	}
	d, ok := cfg.Deployment(deployment)
	if !ok {
		return mover.Move{}, moveRefused{"deployment " + deployment + " is not known"}
	}
	if finishWithin <= 0 {
		finishWithin = time.Duration(d.Move.FinishWithinMS) * time.Millisecond
	}
	for range maxStartTries {
		m, applied, err := s.tryStartMove(ctx, operator, d, to, finishWithin)
		if err != nil {
			return mover.Move{}, err
		}
		if applied {
			s.applyMove(m)
			s.logMove("started", m)
			return m, nil
		}
	}
	return mover.Move{}, moveRefused{"the move was changed at the same time; look at its status"}
}

// maxStartTries bounds the attempts to start a move while its row changes: another
// entry may write the end of the last move at the same time.
const maxStartTries = 3

// tryStartMove writes a new move over the last one. It returns false if the row
// changed between the read and the write; the next try shows whether another
// operator has started a move.
func (s *Server) tryStartMove(ctx context.Context, operator string, d planner.Deployment, to string, finishWithin time.Duration) (mover.Move, bool, error) {
	row, err := s.cfg.Table.Get(ctx, movePrefix+d.Name)
	if err != nil {
		return mover.Move{}, false, err
	}
	current, epoch, err := currentVersionAndEpoch(row, d, s.move(d.Name))
	if err != nil {
		return mover.Move{}, false, err
	}
	if current == to {
		return mover.Move{}, false, moveRefused{d.Name + " is at " + to + " already"}
	}
	if err := s.archiveMove(ctx, row); err != nil {
		return mover.Move{}, false, err
	}
	m := mover.Start(s.now(), mover.Move{
		ID: uuid.NewString(), Epoch: epoch + 1, Deployment: d.Name, From: current, To: to,
	}, operator, finishWithin)
	value, _ := json.Marshal(m)
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: movePrefix + d.Name, Value: value, Expect: row.Version})
	return m, result.Applied, err
}

// archiveMove copies the move in row, which is about to be replaced, to a row of
// its own for the audit trail. Repeated calls write the same row.
func (s *Server) archiveMove(ctx context.Context, row provider.Row) error {
	var last mover.Move
	if row.Version == 0 || json.Unmarshal(row.Value, &last) != nil {
		return nil
	}
	local := s.move(last.Deployment)
	if local.ID == last.ID {
		last = mover.Merge(last, local)
	}
	value, _ := json.Marshal(last)
	_, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: fmt.Sprintf("%s%s/%020d", pastMovePrefix, last.Deployment, last.Epoch), Value: value})
	return err
}

// currentVersionAndEpoch returns the version that a deployment serves and the
// epoch of its last move. The row is merged with this entry's state of the move,
// since the move may have ended while the platform was down. It fails if the
// last move is in progress.
func currentVersionAndEpoch(row provider.Row, d planner.Deployment, local mover.Move) (string, uint64, error) {
	if row.Version == 0 {
		return d.Version, 0, nil
	}
	var last mover.Move
	if err := json.Unmarshal(row.Value, &last); err != nil {
		return "", 0, err
	}
	if local.ID == last.ID {
		last = mover.Merge(last, local)
	}
	if last.InProgress() {
		return "", 0, moveRefused{"a move to " + last.To + " goes on; take it back first"}
	}
	return last.Current(), last.Epoch, nil
}

// rollBackMove rolls back a deployment's move on an operator's request. The
// roll-back takes effect on this entry and on reachable peers even while the
// platform is down.
func (s *Server) rollBackMove(ctx context.Context, operator, deployment string) (mover.Move, error) {
	m := s.move(deployment)
	if !m.InProgress() {
		return m, moveRefused{"no move of " + deployment + " is open"}
	}
	rolledBack := mover.RollBack(s.now(), m, operator, "by operator "+operator)
	s.applyMove(rolledBack)
	s.logMove("taken_back", rolledBack)
	s.syncMoves(ctx)
	return rolledBack, nil
}

// refusalOf returns the refusal for an administration error: a conflict for
// moveRefused, otherwise an unreachable store.
func refusalOf(err error) *judge.Refusal {
	var refused moveRefused
	if errors.As(err, &refused) {
		return judge.Refuse(judge.CodeConflict, judge.NotRun, refused.reason)
	}
	return judge.Refuse(judge.CodeStoreUnreachable, judge.MayHaveRun, "the platform's table can't be reached: "+err.Error()).WithRetryAfter(time.Second)
}

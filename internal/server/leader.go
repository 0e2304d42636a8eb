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
	// wasLeader reports whether the entry was the leader when observeTerm was last called.
	// termStartedAt and termEndedAt are the times of its last term, zero if it had none.
	wasLeader     bool
	termStartedAt time.Time
	termEndedAt   time.Time
}

func newLeader(cfg Config, name string) *leader {
	return &leader{name: name, leaser: leaser.New(leaser.Config{
		Holder: cfg.Self.ID, Lifetime: cfg.LeaseLifetime, Margin: cfg.LeaseLifetime / leaseMarginDivisor,
	}, cfg.LeaseNow())}
}

// runAsLeader returns a task that contends for a lease and calls work in each
// round in which this entry is the leader.
func (s *Server) runAsLeader(lead *leader, work func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			s.observeTerm(lead)
			if s.acquireOrRenew(ctx, lead) {
				work(ctx)
			}
			if !waiter.Pause(ctx, s.leaderPollInterval(lead)) {
				s.observeTerm(lead)
				return nil
			}
		}
	}
}

// observeTerm logs the end of a term, with the state of the lease that ended it.
func (s *Server) observeTerm(lead *leader) {
	now := s.leaseNow()
	holds := lead.leaser.Holds(now)
	if lead.wasLeader && !holds {
		lead.termEndedAt = now
		refusing, _ := s.state.refusesRequests()
		s.cfg.Log.Warn().Str("event", "lease_lost").Str("duty", lead.name).Uint64("fence", lead.leaser.Fence()).
			Str("holder", lead.leaser.Holder()).Bool("refusing", refusing).Dur("row_age", lead.leaser.Status(now).Age).
			Dur("held", now.Sub(lead.termStartedAt)).Send()
	}
	lead.wasLeader = holds
}

// leaderPollInterval is the time to the next round. It is short for the leader
// only; other entries read the lease rarely.
func (s *Server) leaderPollInterval(lead *leader) time.Duration {
	if lead.leaser.Holds(s.leaseNow()) {
		return leaderInterval
	}
	return s.jitter(max(minPollInterval, s.sharedPollInterval()))
}

// acquireOrRenew reads the lease, acquires or renews it if that is due, and
// reports whether this entry is the leader. An entry that refuses requests,
// because it is stopping or leaving, does not write the lease.
func (s *Server) acquireOrRenew(ctx context.Context, lead *leader) bool {
	l := lead.leaser
	if !l.Holds(s.leaseNow()) || l.Version() == 0 {
		row, err := s.cfg.Table.Get(ctx, leasePrefix+lead.name)
		s.observeCall("lease_read", err)
		if err != nil || !s.observeLease(l, row) {
			return false
		}
	}
	refusing, _ := s.state.refusesRequests()
	sentAt := s.leaseNow()
	proposed, due := l.ProposeWrite(sentAt)
	if refusing || !due {
		return l.Holds(s.leaseNow())
	}
	proposed.Nonce = uuid.NewString()
	value, _ := json.Marshal(proposed)
	s.observeTerm(lead)
	renewal, status := l.Holds(sentAt), l.Status(sentAt)
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: leasePrefix + lead.name, Value: value, Expect: l.Version()})
	s.observeCall("lease_write", err)
	if err != nil {
		return l.Holds(s.leaseNow())
	}
	if !result.Applied {
		s.observeLease(l, result.Row)
		return false
	}
	l.RecordWrite(sentAt, result.Row.Version, proposed)
	if !renewal {
		s.logTakeOver(lead, proposed, status, sentAt)
	}
	return l.Holds(s.leaseNow())
}

// observeLease passes a row that was just read to the leaser. It returns false if the row
// can't be decoded.
func (s *Server) observeLease(l *leaser.Leaser, row provider.Row) bool {
	var lease leaser.Lease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			s.observeCall("lease_decode", err)
			return false
		}
	}
	s.observeCall("lease_decode", nil)
	l.Observe(s.leaseNow(), row.Version, lease)
	return true
}

// logTakeOver logs the start of a term: why the lease was free, how old the observation
// was on which the take-over rests, and how long ago this entry's last term ended.
func (s *Server) logTakeOver(lead *leader, lease leaser.Lease, status leaser.Status, sentAt time.Time) {
	now := s.leaseNow()
	line := s.cfg.Log.Info().Str("event", "lease_taken").Str("duty", lead.name).Uint64("fence", lease.Fence).
		Str("reason", string(status.Vacancy)).Str("previous", status.Holder).Dur("row_age", status.Age).
		Dur("took", now.Sub(sentAt)).Dur("lease_left", lead.leaser.Left(now))
	if !lead.termEndedAt.IsZero() {
		line.Dur("own_term_ended", sentAt.Sub(lead.termEndedAt))
	}
	line.Send()
	lead.termStartedAt, lead.wasLeader = now, true
}

// leaderContext returns a context for one call that this entry sends as the leader. The
// call is not sent after the end of the term, also if the process is paused before, and is
// given up then: the margin of the lease is left for what is in transit. An error of type
// provider.GuardFailed means that the entry is not the leader at now.
func (s *Server) leaderContext(ctx context.Context, now time.Time, lead *leader) (context.Context, context.CancelFunc, error) {
	left, fence := lead.leaser.Left(now), lead.leaser.Fence()
	termEnd := now.Add(left)
	guard := func() error {
		if !s.leaseNow().Before(termEnd) {
			return provider.GuardFailed.New("the term with fence %d has ended", fence)
		}
		return nil
	}
	if err := guard(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := waiter.WithDeadline(provider.WithGuard(ctx, guard), s.leaseNow, termEnd)
	return ctx, cancel, nil
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
	s.observeCall("moves", err)
	if err != nil {
		return nil
	}
	var moves []storedMove
	for _, row := range rows {
		var m mover.Move
		err := json.Unmarshal(row.Value, &m)
		s.observeCall("move_decode", err)
		if err != nil {
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
	if event == "" {
		return
	}
	ctx, cancel, err := s.leaderContext(ctx, s.leaseNow(), s.moveLeader)
	if err != nil {
		return
	}
	defer cancel()
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
	s.observeCall("move_write", err)
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

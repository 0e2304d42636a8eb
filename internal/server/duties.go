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
	movePrefix = "move/"
	// pastMovePrefix begins the keys of moves that a later one has replaced.
	pastMovePrefix = "past_move/"
	leasePrefix    = "lease/"
	leaderInterval = 250 * time.Millisecond
)

// The duties that one entry at a time has.
const (
	moveLeadership  = "moves"
	fleetLeadership = "fleet"
)

// leader is one entry's hold on a leader's lease.
type leader struct {
	name   string
	leaser *leaser.Leaser
}

func newLeader(cfg Config, name string) *leader {
	return &leader{name: name, leaser: leaser.New(leaser.Config{
		Holder: cfg.Self.ID, Lifetime: cfg.LeaseLifetime, Margin: cfg.LeaseLifetime / leaseMarginDivisor,
	})}
}

// runAsLeader keeps a duty's lease and, while it holds, does the work.
func (s *Server) runAsLeader(d *leader, work func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			if s.acquireOrRenew(ctx, d) {
				work(ctx)
			}
			if !waiter.Pause(ctx, s.leaderPollInterval(d)) {
				return nil
			}
		}
	}
}

// leaderPollInterval is short only for the holder: the others look rarely.
func (s *Server) leaderPollInterval(d *leader) time.Duration {
	if d.leaser.Holds(s.now()) {
		return leaderInterval
	}
	return s.jitter(max(minPollInterval, s.sharedPollInterval()))
}

// acquireOrRenew reads the lease and takes or renews it if that is due.
func (s *Server) acquireOrRenew(ctx context.Context, d *leader) bool {
	l := d.leaser
	if !l.Holds(s.now()) || l.Version() == 0 {
		row, err := s.cfg.Table.Get(ctx, leasePrefix+d.name)
		if err != nil {
			return false
		}
		var lease leaser.Lease
		_ = json.Unmarshal(row.Value, &lease)
		l.Observe(s.now(), row.Version, lease)
	}
	closed, _ := s.state.refusesRequests()
	want, due := l.ProposeWrite(s.now())
	if closed || !due {
		return l.Holds(s.now())
	}
	want.Nonce = uuid.NewString()
	value, _ := json.Marshal(want)
	sentAt := s.now()
	taken := l.Holder() != s.cfg.Self.ID
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: leasePrefix + d.name, Value: value, Expect: l.Version()})
	if err != nil {
		return l.Holds(s.now())
	}
	if !result.Applied {
		var lease leaser.Lease
		_ = json.Unmarshal(result.Row.Value, &lease)
		l.Observe(s.now(), result.Row.Version, lease)
		return false
	}
	l.RecordWrite(sentAt, result.Row.Version, want)
	if taken {
		s.cfg.Log.Info().Str("event", "lease_taken").Str("duty", d.name).Uint64("fence", want.Fence).Send()
	}
	return l.Holds(s.now())
}

// storedMove is a move as the platform has it.
type storedMove struct {
	mover.Move
	rowVersion uint64
}

// readMoves reads the newest move of each deployment and merges what is news.
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

// advanceMoves takes each open move a step on if its evidence allows it.
func (s *Server) advanceMoves(ctx context.Context) {
	for _, stored := range s.readMoves(ctx) {
		s.advanceMove(ctx, stored.Move, stored.rowVersion)
	}
}

func (s *Server) advanceMove(ctx context.Context, stored mover.Move, version uint64) {
	now := s.now()
	known := s.move(stored.Deployment)
	if known.ID != stored.ID || !known.InProgress() {
		return
	}
	policy, evidence, ok := s.moveEvidence(now, known)
	if !ok {
		return
	}
	next, event := mover.Advance(now, known, evidence, policy)
	if event == "" || !s.moveLeader.leaser.Holds(s.now()) {
		return
	}
	if !s.writeMove(ctx, next, version) {
		return
	}
	s.applyMove(next)
	s.logMove(string(event), next)
}

func (s *Server) logMove(event string, m mover.Move) {
	s.cfg.Log.Info().Str("event", "move_"+event).Str("move", m.ID).Str("deployment", m.Deployment).
		Str("to", m.To).Int("step", m.Step).Str("reason", m.Reason).Send()
}

// moveEvidence gathers what the mover needs to know.
func (s *Server) moveEvidence(now time.Time, m mover.Move) (mover.Policy, mover.Evidence, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.cfg == nil {
		return mover.Policy{}, mover.Evidence{}, false
	}
	d, ok := s.state.cfg.Deployment(m.Deployment)
	known := s.state.moves[m.Deployment]
	if !ok || known == nil {
		return mover.Policy{}, mover.Evidence{}, false
	}
	warm := s.state.router.LiveCount(now, m.Deployment, m.To) > 0
	return d.Move.Policy(), mover.Evidence{Outcomes: known.newVersionOutcomes - known.outcomesAtStepStart, HoldStep: known.comparisons.HoldStep(), UpstreamsReady: warm}, true
}

// writeMove writes a move over the row at a version.
func (s *Server) writeMove(ctx context.Context, m mover.Move, version uint64) bool {
	value, _ := json.Marshal(m)
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: movePrefix + m.Deployment, Value: value, Expect: version})
	return err == nil && result.Applied
}

// move returns the newest move of a deployment; its ID is empty if there is
// none.
func (s *Server) move(deployment string) mover.Move {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if m, ok := s.state.moves[deployment]; ok {
		return m.move
	}
	return mover.Move{}
}

// publishRollBack acts on a move that this entry's evidence took back: peers hear of
// it at once, the platform when it can be reached.
func (s *Server) publishRollBack(m mover.Move) {
	s.metrics.Count("moves_taken_back")
	s.logMove("taken_back", m)
	s.triggerGossip()
	go s.syncMoves(s.baseContext)
}

// moveRefused is the reason why a move can't start or go back.
type moveRefused struct{ reason string }

func (e moveRefused) Error() string { return e.reason }

// startMove begins a move of a deployment to a version.
func (s *Server) startMove(ctx context.Context, operator, deployment, to string, within time.Duration) (mover.Move, error) {
	cfg := s.state.config()
	if cfg == nil {
		return mover.Move{}, moveRefused{"there is no configuration yet"}
	}
	d, ok := cfg.Deployment(deployment)
	if !ok {
		return mover.Move{}, moveRefused{"deployment " + deployment + " is not known"}
	}
	if within <= 0 {
		within = time.Duration(d.Move.FinishWithinMS) * time.Millisecond
	}
	for range maxStartTries {
		m, applied, err := s.tryStartMove(ctx, operator, d, to, within)
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

// maxStartTries is how often a move may be tried to start over a row that changes:
// an entry may just then write the end of the last move.
const maxStartTries = 3

// tryStartMove writes a new move over the last one. It returns false if the row
// has changed in between; looking again tells whether a new move stands there.
func (s *Server) tryStartMove(ctx context.Context, operator string, d planner.Deployment, to string, within time.Duration) (mover.Move, bool, error) {
	row, err := s.cfg.Table.Get(ctx, movePrefix+d.Name)
	if err != nil {
		return mover.Move{}, false, err
	}
	present, epoch, err := currentVersionAndEpoch(row, d, s.move(d.Name))
	if err != nil {
		return mover.Move{}, false, err
	}
	if present == to {
		return mover.Move{}, false, moveRefused{d.Name + " is at " + to + " already"}
	}
	if err := s.archiveMove(ctx, row); err != nil {
		return mover.Move{}, false, err
	}
	m := mover.Start(s.now(), mover.Move{
		ID: uuid.NewString(), Epoch: epoch + 1, Deployment: d.Name, From: present, To: to,
	}, operator, within)
	value, _ := json.Marshal(m)
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: movePrefix + d.Name, Value: value, Expect: row.Version})
	return m, result.Applied, err
}

// archiveMove keeps a move that is about to be replaced for the audit trail.
// It writes the same row however often it is called.
func (s *Server) archiveMove(ctx context.Context, row provider.Row) error {
	var last mover.Move
	if row.Version == 0 || json.Unmarshal(row.Value, &last) != nil {
		return nil
	}
	known := s.move(last.Deployment)
	if known.ID == last.ID {
		last = mover.Merge(last, known)
	}
	value, _ := json.Marshal(last)
	_, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: fmt.Sprintf("%s%s/%020d", pastMovePrefix, last.Deployment, last.Epoch), Value: value})
	return err
}

// currentVersionAndEpoch returns the present version and the epoch of the last move. What
// this entry knows better than the row counts: the move may have ended while
// the platform was down.
func currentVersionAndEpoch(row provider.Row, d planner.Deployment, known mover.Move) (string, uint64, error) {
	if row.Version == 0 {
		return d.Version, 0, nil
	}
	var last mover.Move
	if err := json.Unmarshal(row.Value, &last); err != nil {
		return "", 0, err
	}
	if known.ID == last.ID {
		last = mover.Merge(last, known)
	}
	if last.InProgress() {
		return "", 0, moveRefused{"a move to " + last.To + " goes on; take it back first"}
	}
	return last.Current(), last.Epoch, nil
}

// rollBackMove takes a deployment's open move back by an operator's order. It
// holds here and at the peers in reach also while the platform is down.
func (s *Server) rollBackMove(ctx context.Context, operator, deployment string) (mover.Move, error) {
	m := s.move(deployment)
	if !m.InProgress() {
		return m, moveRefused{"no move of " + deployment + " is open"}
	}
	back := mover.RollBack(s.now(), m, operator, "by operator "+operator)
	s.applyMove(back)
	s.logMove("taken_back", back)
	s.syncMoves(ctx)
	return back, nil
}

// refusalOf turns an administration error into its answer.
func refusalOf(err error) *judge.Refusal {
	var refused moveRefused
	if errors.As(err, &refused) {
		return judge.Refuse(judge.CodeConflict, judge.NotRun, refused.reason)
	}
	return judge.Refuse(judge.CodeStoreUnreachable, judge.MayHaveRun, "the platform's table can't be reached: "+err.Error()).WithRetryAfter(time.Second)
}

package server

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// moveState is the entry's state of a deployment's newest move.
type moveState struct {
	move mover.Move
	// inFlight counts this entry's attempts on the new version.
	inFlight    int
	comparisons mover.Comparisons
	// totals has the last received outcomes of each entry and route.
	totals map[outcomeKey]messenger.MoveOutcomes
	// newVersionOutcomes counts the new version's outcomes over all entries.
	// outcomesAtStepStart is its value at the start of the step.
	newVersionOutcomes  int
	outcomesAtStepStart int
}

type outcomeKey struct {
	entryID string
	route   string
}

func newMoveState(m mover.Move) *moveState {
	return &moveState{move: m, totals: map[outcomeKey]messenger.MoveOutcomes{}}
}

// mergeMove merges a move received from the platform or a peer, or decided by this
// entry, and reports whether the entry's state of the move changed.
func (s *state) mergeMove(m mover.Move) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeMoveLocked(m)
}

// mergeMoveLocked is mergeMove for callers that hold the lock.
func (s *state) mergeMoveLocked(m mover.Move) bool {
	local, ok := s.moves[m.Deployment]
	if !ok {
		s.moves[m.Deployment] = newMoveState(m)
		return true
	}
	merged := mover.Merge(local.move, m)
	if merged.SameState(local.move) {
		return false
	}
	if merged.ID != local.move.ID {
		fresh := newMoveState(merged)
		s.moves[m.Deployment] = fresh
		return true
	}
	if merged.Step != local.move.Step {
		local.outcomesAtStepStart = local.newVersionOutcomes
	}
	local.move = merged
	return true
}

// chooseVersion chooses the version for a request's next attempt. A request that
// failed on the new version gets the current one. The lock must be held.
func (s *state) chooseVersion(requestID string, d planner.Deployment, failedOn string) string {
	m, ok := s.moves[d.Name]
	if !ok {
		return d.Version
	}
	if !m.move.InProgress() {
		return m.move.Current()
	}
	if failedOn == m.move.To {
		return m.move.From
	}
	policy := d.Move.Policy()
	share := mover.Share(m.move, policy)
	if mover.Selected(requestID, m.move, share) && mover.MayStart(m.move, policy, m.inFlight) {
		return m.move.To
	}
	return m.move.From
}

// pickUpstream chooses an upstream of the request's version. If that is the new
// version of a move and has no upstream, it chooses one of the current version.
// The lock must be held.
func (s *state) pickUpstream(request router.Request, choose func(router.Request) (router.Upstream, bool)) (router.Upstream, bool) {
	u, ok := choose(request)
	m, moving := s.moves[request.Deployment]
	if ok || !moving || !m.move.InProgress() || request.Version != m.move.To {
		return u, ok
	}
	request.Version = m.move.From
	return choose(request)
}

// attemptOutcome is the outcome of one attempt, for the comparison of versions.
type attemptOutcome struct {
	deployment string
	route      string
	version    string
	failed     bool
	firstToken time.Duration
	// pauses are those between the first parts of the response.
	pauses mover.Pauses
	// firstTokenTarget is the route's target latency for the first token.
	firstTokenTarget time.Duration
}

// recordOutcome counts an outcome of this entry and rolls the move back if the
// comparison of versions fails. It returns the move and true if it was rolled back.
func (s *state) recordOutcome(now time.Time, o attemptOutcome) (mover.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	threshold, ok := s.latencyThresholds[o.route]
	if !ok {
		threshold = &mover.LatencyThreshold{}
		s.latencyThresholds[o.route] = threshold
	}
	m, ok := s.moves[o.deployment]
	baking := ok && m.move.State == mover.Baking
	slow := !o.failed && o.firstToken > threshold.Threshold(mover.MinLatencyThreshold(o.firstTokenTarget, baking))
	counts := mover.Counts{Outcomes: 1, Failed: boolToInt(o.failed), Slow: boolToInt(slow)}
	isNew := ok && m.move.InProgress() && o.version == m.move.To
	if long, paced := s.recordPause(o, isNew); paced && !baking {
		counts.Paced, counts.LongPauses = 1, boolToInt(long)
	}
	if !ok || !m.move.InProgress() {
		if !o.failed {
			threshold.Observe(o.firstToken)
		}
		return mover.Move{}, false
	}
	total := m.totals[outcomeKey{entryID: s.self.ID, route: o.route}]
	total.EntryID, total.MoveID, total.Route = s.self.ID, m.move.ID, o.route
	if isNew {
		total.New = total.New.Add(counts)
	} else {
		total.Current = total.Current.Add(counts)
		if !o.failed {
			threshold.Observe(o.firstToken)
		}
	}
	return s.compareVersions(now, m, total)
}

// recordPause reports whether a response has long pauses, and whether that can be told.
// Pauses of the new version don't change the threshold. The lock must be held.
func (s *state) recordPause(o attemptOutcome, isNew bool) (long, paced bool) {
	pause, paced := o.pauses.Typical()
	if !paced || o.failed {
		return false, false
	}
	threshold, known := s.pauseThresholds[o.deployment]
	if !known {
		threshold = &mover.PauseThreshold{}
		s.pauseThresholds[o.deployment] = threshold
	}
	long = threshold.IsLong(pause, false)
	if !isNew {
		threshold.Observe(pause)
	}
	return long, true
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compareVersions replaces the totals of an entry and route, adds the difference to
// the comparison of versions and rolls the move back if the comparison gives a
// reason. It returns the move and true if it was rolled back. Totals that are
// lower than the previous ones are ignored. The lock must be held.
func (s *state) compareVersions(now time.Time, m *moveState, total messenger.MoveOutcomes) (mover.Move, bool) {
	key := outcomeKey{entryID: total.EntryID, route: total.Route}
	previous := m.totals[key]
	currentCounts, newCounts := total.Current.Sub(previous.Current), total.New.Sub(previous.New)
	if currentCounts.Outcomes < 0 || newCounts.Outcomes < 0 || currentCounts.Outcomes+newCounts.Outcomes == 0 {
		return mover.Move{}, false
	}
	m.totals[key] = total
	m.newVersionOutcomes += newCounts.Outcomes
	m.comparisons.Observe(total.Route, currentCounts, newCounts)
	reason := m.comparisons.RollBackReason()
	if reason == "" || !m.move.InProgress() {
		return mover.Move{}, false
	}
	rolledBack := mover.RollBack(now, m.move, "system", reason)
	s.mergeMoveLocked(rolledBack)
	return rolledBack, true
}

// mergeMoveOutcomes merges the outcomes received from a peer. It returns the move
// and true if it was rolled back.
func (s *state) mergeMoveOutcomes(now time.Time, list []messenger.MoveOutcomes) (mover.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, total := range list {
		if total.EntryID == s.self.ID {
			continue
		}
		for _, m := range s.moves {
			if m.move.ID != total.MoveID || !m.move.InProgress() {
				continue
			}
			if rolledBack, ok := s.compareVersions(now, m, total); ok {
				return rolledBack, true
			}
		}
	}
	return mover.Move{}, false
}

// maxMoveOutcomes and maxMoveOutcomesLarge bound the totals in one message, in a
// small and in a large fleet. The entry's own totals are sent in addition.
const (
	maxMoveOutcomes      = 64
	maxMoveOutcomesLarge = 8
)

// moveOutcomes lists the totals of this entry and of some peers for moves in
// progress. The lock must be held.
func (s *state) moveOutcomes() []messenger.MoveOutcomes {
	var list []messenger.MoveOutcomes
	limit := maxMoveOutcomes
	if s.tracker.RoundInterval() > largeFleetInterval {
		limit = maxMoveOutcomesLarge
	}
	for _, m := range s.moves {
		if !m.move.InProgress() {
			continue
		}
		for _, total := range m.totals {
			if len(list) < limit || total.EntryID == s.self.ID {
				list = append(list, total)
			}
		}
	}
	return list
}

// allMovesLocked lists the newest move of each deployment. The lock must be held.
func (s *state) allMovesLocked() []mover.Move {
	list := make([]mover.Move, 0, len(s.moves))
	for _, m := range s.moves {
		list = append(list, m.move)
	}
	return list
}

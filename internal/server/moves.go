package server

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// moveState is what the entry knows of a deployment's newest move.
type moveState struct {
	move        mover.Move
	inFlight    int
	comparisons mover.Comparisons
	totals      map[outcomeKey]messenger.MoveOutcomes
	// newVersionOutcomes counts the new version's newVersionOutcomes of all entries heard of, and
	// stepOutcomes those that had been seen when the step began.
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

// mergeMove takes a state of a move from the platform, a peer or this entry's
// own decision, and reports whether it changed what is known.
func (s *state) mergeMove(m mover.Move) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeMoveLocked(m)
}

func (s *state) mergeMoveLocked(m mover.Move) bool {
	known, ok := s.moves[m.Deployment]
	if !ok {
		s.moves[m.Deployment] = newMoveState(m)
		return true
	}
	merged := mover.Merge(known.move, m)
	if merged.SameState(known.move) {
		return false
	}
	if merged.ID != known.move.ID {
		fresh := newMoveState(merged)
		s.moves[m.Deployment] = fresh
		return true
	}
	if merged.Step != known.move.Step {
		known.outcomesAtStepStart = known.newVersionOutcomes
	}
	known.move = merged
	return true
}

// chooseVersion chooses the chooseVersion that a request goes to. A request that has
// failed on the new chooseVersion goes on at the present one. The lock must be held.
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

// pickUpstream chooses an upstream of the version, or of the present one while the new
// version has none. The lock must be held.
func (s *state) pickUpstream(ask router.Request, choose func(router.Request) (router.Upstream, bool)) (router.Upstream, bool) {
	u, ok := choose(ask)
	m, moving := s.moves[ask.Deployment]
	if ok || !moving || !m.move.InProgress() || ask.Version != m.move.To {
		return u, ok
	}
	ask.Version = m.move.From
	return choose(ask)
}

// attemptOutcome is what became of one attempt, for the comparison of versions.
type attemptOutcome struct {
	deployment string
	route      string
	version    string
	failed     bool
	firstToken time.Duration
	// firstTokenTarget is the route's target for the first token.
	firstTokenTarget time.Duration
}

// recordOutcome counts an outcome and takes the move back if the evidence says so.
// It returns the move as taken back, if it was.
func (s *state) recordOutcome(now time.Time, o attemptOutcome) (mover.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late, ok := s.latencyThresholds[o.route]
	if !ok {
		late = &mover.LatencyThreshold{}
		s.latencyThresholds[o.route] = late
	}
	m, ok := s.moves[o.deployment]
	baking := ok && m.move.State == mover.Baking
	slow := !o.failed && o.firstToken > late.Threshold(mover.MinLatencyThreshold(o.firstTokenTarget, baking))
	counts := mover.Counts{Outcomes: 1, Failed: boolToInt(o.failed), Slow: boolToInt(slow)}
	if !ok || !m.move.InProgress() {
		if !o.failed {
			late.Observe(o.firstToken)
		}
		return mover.Move{}, false
	}
	evidence := m.totals[outcomeKey{entryID: s.self.ID, route: o.route}]
	evidence.EntryID, evidence.MoveID, evidence.Route = s.self.ID, m.move.ID, o.route
	if o.version == m.move.To {
		evidence.New = evidence.New.Add(counts)
	} else {
		evidence.Current = evidence.Current.Add(counts)
		if !o.failed {
			late.Observe(o.firstToken)
		}
	}
	return s.compareVersions(now, m, evidence)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compareVersions feeds what is new in evidence to the route's watch.
func (s *state) compareVersions(now time.Time, m *moveState, evidence messenger.MoveOutcomes) (mover.Move, bool) {
	key := outcomeKey{entryID: evidence.EntryID, route: evidence.Route}
	before := m.totals[key]
	present, next := evidence.Current.Sub(before.Current), evidence.New.Sub(before.New)
	if present.Outcomes < 0 || next.Outcomes < 0 || present.Outcomes+next.Outcomes == 0 {
		return mover.Move{}, false
	}
	m.totals[key] = evidence
	m.newVersionOutcomes += next.Outcomes
	m.comparisons.Observe(evidence.Route, present, next)
	reason := m.comparisons.RollBackReason()
	if reason == "" || !m.move.InProgress() {
		return mover.Move{}, false
	}
	back := mover.RollBack(now, m.move, "system", reason)
	s.mergeMoveLocked(back)
	return back, true
}

// mergeMoveOutcomes takes the outcomes that peers tell of.
func (s *state) mergeMoveOutcomes(now time.Time, list []messenger.MoveOutcomes) (mover.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, evidence := range list {
		if evidence.EntryID == s.self.ID {
			continue
		}
		for _, m := range s.moves {
			if m.move.ID != evidence.MoveID || !m.move.InProgress() {
				continue
			}
			if back, tripped := s.compareVersions(now, m, evidence); tripped {
				return back, true
			}
		}
	}
	return mover.Move{}, false
}

// maxMoveOutcomes and maxMoveOutcomesLarge bound the evidence in one exchange of a
// small and of a large fleet, beside the entry's own.
const (
	maxMoveOutcomes      = 64
	maxMoveOutcomesLarge = 8
)

// moveOutcomes lists what this entry and some of its peers saw of open moves. The
// lock must be held.
func (s *state) moveOutcomes() []messenger.MoveOutcomes {
	var list []messenger.MoveOutcomes
	most := maxMoveOutcomes
	if s.tracker.RoundInterval() > largeFleetInterval {
		most = maxMoveOutcomesLarge
	}
	for _, m := range s.moves {
		if !m.move.InProgress() {
			continue
		}
		for _, evidence := range m.totals {
			if len(list) < most || evidence.EntryID == s.self.ID {
				list = append(list, evidence)
			}
		}
	}
	return list
}

// allMovesLocked lists the newest move of each deployment.
func (s *state) allMovesLocked() []mover.Move {
	list := make([]mover.Move, 0, len(s.moves))
	for _, m := range s.moves {
		list = append(list, m.move)
	}
	return list
}

package mover

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/charter"
)

// The states of a move, as in charts/move.yaml.
const (
	Moving     charter.State = "moving"
	Baking     charter.State = "baking"
	Done       charter.State = "done"
	RolledBack charter.State = "taken_back"
)

// Move is the rollout of one version of a deployment. Times are Unix
// milliseconds by the clock of the process that wrote the move, so only
// differences between times of one writer are meaningful.
type Move struct {
	ID         string        `json:"id"`
	Epoch      uint64        `json:"epoch"`
	Deployment string        `json:"deployment"`
	From       string        `json:"from"`
	To         string        `json:"to"`
	State      charter.State `json:"state"`
	Step       int           `json:"step"`
	Revision   uint64        `json:"revision"`
	StartedMS  int64         `json:"started_ms"`
	StepMS     int64         `json:"step_ms"`
	DeadlineMS int64         `json:"deadline_ms"`
	FullMS     int64         `json:"full_ms,omitempty"`
	EndedMS    int64         `json:"ended_ms,omitempty"`
	StartedBy  string        `json:"started_by"`
	Reason     string        `json:"reason,omitempty"`
	// History lists the changes of the move. It is stored in the same write as
	// the move, so that the audit trail misses none.
	History []Change `json:"history,omitempty"`
}

// Change is one entry of a move's history.
type Change struct {
	AtMS   int64  `json:"at_ms"`
	Actor  string `json:"actor"`
	Event  Event  `json:"event"`
	Detail string `json:"detail,omitempty"`
}

// system is the actor of changes that no operator ordered.
const system = "system"

// Start returns m as a new move that operator started at now and that has to
// finish within the given duration.
func Start(now time.Time, m Move, operator string, within time.Duration) Move {
	m.State = Moving
	m.StartedMS = now.UnixMilli()
	m.StepMS = m.StartedMS
	m.DeadlineMS = now.Add(within).UnixMilli()
	m.StartedBy = operator
	return m.record(now, operator, "started", fmt.Sprintf("%s from %s to %s within %s", m.Deployment, m.From, m.To, within))
}

// record returns m with the next revision and a change appended to its history.
func (m Move) record(now time.Time, actor string, event Event, detail string) Move {
	m.Revision++
	m.History = append(slices.Clone(m.History), Change{AtMS: now.UnixMilli(), Actor: actor, Event: event, Detail: detail})
	return m
}

// SameState reports whether m and other are the same revision and state of the
// same move. It does not compare their histories.
func (m Move) SameState(other Move) bool {
	return m.ID == other.ID && m.State == other.State && m.Revision == other.Revision && m.Step == other.Step && m.Reason == other.Reason
}

// InProgress reports whether the move has not ended.
func (m Move) InProgress() bool { return m.State == Moving || m.State == Baking }

// Current returns the version that serves the requests outside the move.
func (m Move) Current() string {
	if m.State == Done {
		return m.To
	}
	return m.From
}

// Policy sets the steps of a deployment's moves.
type Policy struct {
	// StepShares lists the traffic shares of the steps, rising; the last is 1.
	StepShares []float64
	// OutcomesNeeded is the number of outcomes of the new version that each step
	// needs before the next.
	OutcomesNeeded []int
	// BakeTime is how long the old version is kept after the last step.
	BakeTime time.Duration
	// MaxFirstStepInFlight bounds the requests in flight on the new version at
	// one entry during the first step. Zero means no bound.
	MaxFirstStepInFlight int
	// MinStep is the shortest time on one step.
	MinStep time.Duration
}

// DefaultPolicy returns the policy that the planner uses where the questionnaire's
// answers set no other.
func DefaultPolicy() Policy {
	return Policy{
		StepShares:           []float64{0.01, 0.05, 0.2, 0.5, 1},
		OutcomesNeeded:       []int{30, 60, 120, 240, 0},
		BakeTime:             10 * time.Minute,
		MaxFirstStepInFlight: 4,
		MinStep:              2 * time.Second,
	}
}

// Share returns the share of requests that the new version gets in the state
// and step of m.
func Share(m Move, p Policy) float64 {
	switch m.State {
	case Moving:
		return p.StepShares[min(m.Step, len(p.StepShares)-1)]
	case Baking, Done:
		return 1
	default:
		return 0
	}
}

// hashBuckets is the resolution of traffic shares.
const hashBuckets = 1 << 20

// Selected reports whether a request falls into the new version's share, by a
// hash of the move and the request. Retries of a request get the same result.
func Selected(requestID string, m Move, share float64) bool {
	return float64(xxhash.Sum64String(m.ID+"/"+requestID)%hashBuckets) < share*hashBuckets
}

// MayStart reports whether an entry with inFlight requests on the new version
// may start one more there. The bound grows with the share of the step.
func MayStart(m Move, p Policy, inFlight int) bool {
	if !m.InProgress() {
		return m.State == Done
	}
	if m.State == Baking || p.MaxFirstStepInFlight <= 0 {
		return true
	}
	share := Share(m, p)
	return share >= 1 || float64(inFlight) < float64(p.MaxFirstStepInFlight)*share/p.StepShares[0]
}

// Merge returns the one of two states of a deployment's moves that takes
// precedence: the higher epoch, then RolledBack before Done before Baking before
// Moving, then the higher revision, then the greater reason. It is commutative,
// associative and idempotent.
func Merge(a, b Move) Move {
	if a.Epoch != b.Epoch {
		return pick(a, b, a.Epoch > b.Epoch)
	}
	if rankA, rankB := rank(a.State), rank(b.State); rankA != rankB {
		return pick(a, b, rankA > rankB)
	}
	if a.Revision != b.Revision {
		return pick(a, b, a.Revision > b.Revision)
	}
	return pick(a, b, a.Reason >= b.Reason)
}

func pick(a, b Move, first bool) Move {
	if first {
		return a
	}
	return b
}

// rank orders the states of one move for Merge.
func rank(s charter.State) int {
	switch s {
	case RolledBack:
		return 3
	case Done:
		return 2
	case Baking:
		return 1
	default:
		return 0
	}
}

// RollBack ends a move and records the reason. A move that has ended is returned
// unchanged.
func RollBack(now time.Time, m Move, actor, reason string) Move {
	next, err := charter.Move().Next(m.State, "take_back")
	if err != nil {
		return m
	}
	m.State = next
	m.Reason = reason
	m.EndedMS = now.UnixMilli()
	return m.record(now, actor, "taken_back", reason)
}

// Evidence is the input of Advance about the new version.
type Evidence struct {
	// Outcomes is the number of new-version outcomes since the step began.
	Outcomes int
	// RollBackReason is why the move has to be rolled back, or empty.
	RollBackReason string
	// HoldStep keeps the move at its step.
	HoldStep bool
	// UpstreamsReady reports whether the new version has upstreams that accept
	// requests.
	UpstreamsReady bool
}

// Event names a change that Advance made, for the audit trail. It is empty if
// nothing changed.
type Event string

// Advance returns the move in its state at now: rolled back, at the next step,
// done, or unchanged.
func Advance(now time.Time, m Move, e Evidence, p Policy) (Move, Event) {
	if !m.InProgress() {
		return m, ""
	}
	if e.RollBackReason != "" {
		return RollBack(now, m, system, e.RollBackReason), "taken_back"
	}
	if m.State == Baking {
		if now.UnixMilli()-m.FullMS < p.BakeTime.Milliseconds() {
			return m, ""
		}
		return settle(now, m)
	}
	if !e.UpstreamsReady || e.HoldStep || !stepComplete(now, m, e, p) {
		return m, ""
	}
	return advanceStep(now, m, p)
}

func settle(now time.Time, m Move) (Move, Event) {
	next, err := charter.Move().Next(m.State, "settle")
	if err != nil {
		return m, ""
	}
	m.State = next
	m.EndedMS = now.UnixMilli()
	return m.record(now, system, "done", ""), "done"
}

func advanceStep(now time.Time, m Move, p Policy) (Move, Event) {
	event := charter.Event("step_up")
	if m.Step+1 >= len(p.StepShares)-1 {
		event = "full"
	}
	next, err := charter.Move().Next(m.State, event)
	if err != nil {
		return m, ""
	}
	m.State = next
	m.Step++
	m.StepMS = now.UnixMilli()
	change := Event(fmt.Sprintf("step_%d", m.Step))
	if event == "full" {
		m.FullMS = now.UnixMilli()
		change = "full"
	}
	return m.record(now, system, change, ""), change
}

// stepComplete reports whether the move may leave its step: either the step has
// the outcomes that it needs, or its part of the time to the deadline is used up
// and it has a fraction of those outcomes, at least one.
func stepComplete(now time.Time, m Move, e Evidence, p Policy) bool {
	elapsed := time.Duration(now.UnixMilli()-m.StepMS) * time.Millisecond
	if elapsed < p.MinStep {
		return false
	}
	needed := p.OutcomesNeeded[min(m.Step, len(p.OutcomesNeeded)-1)]
	if e.Outcomes >= needed {
		return true
	}
	return elapsed >= maxStepTime(m, p) && e.Outcomes >= max(1, needed/outcomesNeededDivisor)
}

// outcomesNeededDivisor divides Policy.OutcomesNeeded to give the outcomes that
// suffice once a step has used up its time.
const outcomesNeededDivisor = 3

// maxStepTime returns the time that the current step may take: an equal part of
// the time to the deadline, not less than MinStep.
func maxStepTime(m Move, p Policy) time.Duration {
	steps := len(p.StepShares) - 1 - m.Step
	remaining := time.Duration(m.DeadlineMS-m.StepMS) * time.Millisecond
	return max(p.MinStep, remaining/time.Duration(max(1, steps+1)))
}

// DeadlineOverrun returns by how much a move is expected to miss its deadline if
// its deployment serves perSecond requests a second. Zero means in time.
func DeadlineOverrun(now time.Time, m Move, p Policy, perSecond float64) time.Duration {
	if m.State != Moving || perSecond <= 0 {
		return 0
	}
	expected := time.Duration(0)
	for step := m.Step; step < len(p.StepShares)-1; step++ {
		seconds := float64(p.OutcomesNeeded[step]/outcomesNeededDivisor) / (perSecond * p.StepShares[step])
		expected += max(p.MinStep, time.Duration(seconds*float64(time.Second)))
	}
	remaining := time.Duration(m.DeadlineMS-now.UnixMilli()) * time.Millisecond
	return max(0, expected-remaining)
}

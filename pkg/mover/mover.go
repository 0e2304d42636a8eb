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

// Move is one version move of a deployment. Times are Unix milliseconds of
// the writer's clock; only differences between times of one writer count.
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
	// History lists what happened to the move. It is written with the move,
	// so that no change of it can be missing from the audit trail.
	History []Change `json:"history,omitempty"`
}

// Change is one line of a move's history.
type Change struct {
	AtMS   int64  `json:"at_ms"`
	Actor  string `json:"actor"`
	Event  Event  `json:"event"`
	Detail string `json:"detail,omitempty"`
}

// system is the actor of changes that no operator made.
const system = "system"

// Start returns a new move of a deployment.
func Start(now time.Time, m Move, operator string, within time.Duration) Move {
	m.State = Moving
	m.StartedMS = now.UnixMilli()
	m.StepMS = m.StartedMS
	m.DeadlineMS = now.Add(within).UnixMilli()
	m.StartedBy = operator
	return m.record(now, operator, "started", fmt.Sprintf("%s from %s to %s within %s", m.Deployment, m.From, m.To, within))
}

func (m Move) record(now time.Time, actor string, event Event, detail string) Move {
	m.Revision++
	m.History = append(slices.Clone(m.History), Change{AtMS: now.UnixMilli(), Actor: actor, Event: event, Detail: detail})
	return m
}

// SameState reports whether two values are the same state of the same move.
func (m Move) SameState(other Move) bool {
	return m.ID == other.ID && m.State == other.State && m.Revision == other.Revision && m.Step == other.Step && m.Reason == other.Reason
}

// InProgress reports whether the move still goes on.
func (m Move) InProgress() bool { return m.State == Moving || m.State == Baking }

// Current returns the version that traffic outside the move goes to.
func (m Move) Current() string {
	if m.State == Done {
		return m.To
	}
	return m.From
}

// Policy is how a deployment moves.
type Policy struct {
	// StepShares lists the shares of the steps, rising, the last of them 1.
	StepShares []float64
	// OutcomesNeeded is the number of outcomes that a step must have seen, per step.
	OutcomesNeeded []int
	// BakeTime is how long the old version stays after the last step.
	BakeTime time.Duration
	// MaxFirstStepInFlight is the number of requests that may be in flight on the new
	// version at one entry during the first step.
	MaxFirstStepInFlight int
	// MinStep is the shortest time on one step.
	MinStep time.Duration
}

// DefaultPolicy is the ladder that answers without wishes get.
func DefaultPolicy() Policy {
	return Policy{
		StepShares:           []float64{0.01, 0.05, 0.2, 0.5, 1},
		OutcomesNeeded:       []int{30, 60, 120, 240, 0},
		BakeTime:             10 * time.Minute,
		MaxFirstStepInFlight: 4,
		MinStep:              2 * time.Second,
	}
}

// Share returns the share of requests that the new version gets now.
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

// hashBuckets is the resolution of shares.
const hashBuckets = 1 << 20

// Selected reports whether a request falls in a move's share. Retries of one
// request draw the same.
func Selected(requestID string, m Move, share float64) bool {
	return float64(xxhash.Sum64String(m.ID+"/"+requestID)%hashBuckets) < share*hashBuckets
}

// MayStart reports whether one more request may start on the new version at
// an entry where inFlight are running there.
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

// Merge returns the one of two states of a deployment's moves that counts: a
// later epoch before an earlier one, an ended state before an open one, taken
// back before done, then the higher revision. It is commutative, associative
// and idempotent.
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

// RollBack ends a move. A move that is done or taken back is left as it is.
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

// Evidence is what the deciding node knows when it looks at a move.
type Evidence struct {
	// Outcomes is the number of new-version outcomes seen since the step began.
	Outcomes int
	// RollBackReason is the reason to take the move back, or empty.
	RollBackReason string
	// HoldStep keeps the move on its step.
	HoldStep bool
	// UpstreamsReady reports whether the new version has upstreams that take work.
	UpstreamsReady bool
}

// Event says what Advance did, for the audit trail. It is empty when nothing
// changed.
type Event string

// Advance returns the move as it should be now.
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
	did := Event(fmt.Sprintf("step_%d", m.Step))
	if event == "full" {
		m.FullMS = now.UnixMilli()
		did = "full"
	}
	return m.record(now, system, did, ""), did
}

// stepComplete reports whether the move may leave its step: it has seen what the
// step needs, or its share of the time to the deadline is used up and it has
// seen something at least.
func stepComplete(now time.Time, m Move, e Evidence, p Policy) bool {
	spent := time.Duration(now.UnixMilli()-m.StepMS) * time.Millisecond
	if spent < p.MinStep {
		return false
	}
	needed := p.OutcomesNeeded[min(m.Step, len(p.OutcomesNeeded)-1)]
	if e.Outcomes >= needed {
		return true
	}
	return spent >= maxStepTime(m, p) && e.Outcomes >= max(1, needed/outcomesNeededDivisor)
}

// outcomesNeededDivisor divides the outcomes that a step needs to give the least with
// which it may be left when time presses.
const outcomesNeededDivisor = 3

// maxStepTime is the time that a step may take so that all can be done in time.
func maxStepTime(m Move, p Policy) time.Duration {
	steps := len(p.StepShares) - 1 - m.Step
	left := time.Duration(m.DeadlineMS-m.StepMS) * time.Millisecond
	return max(p.MinStep, left/time.Duration(max(1, steps+1)))
}

// DeadlineOverrun returns by how much the move is expected to miss its deadline, given
// the outcomes a second that its deployment serves. Zero means in time.
func DeadlineOverrun(now time.Time, m Move, p Policy, perSecond float64) time.Duration {
	if m.State != Moving || perSecond <= 0 {
		return 0
	}
	expected := time.Duration(0)
	for step := m.Step; step < len(p.StepShares)-1; step++ {
		seconds := float64(p.OutcomesNeeded[step]/outcomesNeededDivisor) / (perSecond * p.StepShares[step])
		expected += max(p.MinStep, time.Duration(seconds*float64(time.Second)))
	}
	left := time.Duration(m.DeadlineMS-now.UnixMilli()) * time.Millisecond
	return max(0, expected-left)
}

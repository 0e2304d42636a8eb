package reclaimer

import (
	"cmp"
	"slices"
	"time"
)

// Action says how a stream on a reclaimed upstream is continued.
type Action string

// The actions: finish in place, move with the KV cache, or resume on another
// upstream that recomputes the prefix.
const (
	Finish Action = "finish"
	MoveKV Action = "move_kv"
	Resume Action = "resume"
)

const (
	// safetyMargin is the time before the termination of the upstream that the
	// plan does not use.
	safetyMargin = 500 * time.Millisecond
	// spreadShare is the share of the usable time over which streams leave.
	spreadShare = 0.6
)

// Stream is one stream on a leaving upstream.
type Stream struct {
	RequestID string
	// Urgency orders the streams that leave; the highest is first.
	Urgency int
	// PromptTokens and SentTokens are the tokens that a new upstream recomputes.
	PromptTokens int
	SentTokens   int
	// ExpectedTokens is the expected number of tokens still to be generated.
	ExpectedTokens int
	// TimeLeft is the predicted time to the end of the stream. Zero means that
	// it follows from ExpectedTokens and the costs.
	TimeLeft time.Duration
	// NotResumable streams may not be recomputed. They leave first, and finish in
	// place if their KV cache can't be moved.
	NotResumable bool
	// Value orders streams of the same urgency; the highest is first.
	Value float64
	// Transfer is the time to transfer the KV cache. Zero means that it follows
	// from the costs.
	Transfer time.Duration
}

// timeLeft returns the predicted time to the end of the stream.
func (s Stream) timeLeft(costs Costs) time.Duration {
	if s.TimeLeft > 0 {
		return s.TimeLeft
	}
	return time.Duration(s.ExpectedTokens) * costs.TimePerToken
}

// transfer returns the time to transfer the KV cache, zero if it can't be moved.
func (s Stream) transfer(costs Costs) time.Duration {
	if s.Transfer > 0 {
		return s.Transfer
	}
	if costs.TransferPerToken >= costs.PrefillPerToken {
		return 0
	}
	return time.Duration(s.PromptTokens+s.SentTokens) * costs.TransferPerToken
}

// Costs contains the times per token that a plan is based on.
type Costs struct {
	// TimePerToken is the time to generate one token.
	TimePerToken time.Duration
	// PrefillPerToken is the time to recompute one token of a prefix.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to transfer the KV cache of one token. Zero
	// means that caches can't be transferred.
	TransferPerToken time.Duration
	// SharedLink reports that the transfers follow one another on one link, so
	// that each one waits for those of the streams before it.
	SharedLink bool
}

// Step is the action for one stream. Delay is counted from the time of the plan.
type Step struct {
	RequestID string
	Action    Action
	Delay     time.Duration
	// RecomputedTokens is the number of tokens that the new upstream recomputes.
	RecomputedTokens int
}

// Plan returns a step for each stream: first those that leave, in the order of
// their delays, then those that finish in place.
func Plan(streams []Stream, remaining time.Duration, costs Costs) []Step {
	usable := max(0, remaining-safetyMargin)
	var stay, leave []Step
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, compareStreams)
	var queued time.Duration
	for _, s := range ordered {
		step := chooseAction(s, usable, queued, costs)
		if step.Action == MoveKV && costs.SharedLink {
			queued += s.transfer(costs)
		}
		if step.Action == Finish {
			stay = append(stay, step)
		} else {
			leave = append(leave, step)
		}
	}
	spread := time.Duration(float64(usable) * spreadShare)
	for i := range leave {
		leave[i].Delay = spread * time.Duration(i) / time.Duration(len(leave))
	}
	return append(leave, stay...)
}

// compareStreams orders streams that leave: those that are lost if they can't move,
// then by urgency and value.
func compareStreams(a, b Stream) int {
	if a.NotResumable != b.NotResumable {
		if a.NotResumable {
			return -1
		}
		return 1
	}
	return cmp.Or(b.Urgency-a.Urgency, cmp.Compare(b.Value, a.Value))
}

// chooseAction chooses the action for a stream whose transfer begins after those that are
// queued before it.
func chooseAction(s Stream, usable, queued time.Duration, costs Costs) Step {
	step := Step{RequestID: s.RequestID, Action: Finish}
	if s.timeLeft(costs) <= usable {
		return step
	}
	if transfer := s.transfer(costs); transfer > 0 && queued+transfer <= usable/2 {
		step.Action = MoveKV
		return step
	}
	if s.NotResumable {
		return step
	}
	step.Action = Resume
	step.RecomputedTokens = s.PromptTokens + s.SentTokens
	return step
}

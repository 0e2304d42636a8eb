package reclaimer

import (
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
	slices.SortStableFunc(ordered, func(a, b Stream) int { return b.Urgency - a.Urgency })
	for _, s := range ordered {
		step := chooseAction(s, usable, costs)
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

func chooseAction(s Stream, usable time.Duration, costs Costs) Step {
	step := Step{RequestID: s.RequestID}
	if time.Duration(s.ExpectedTokens)*costs.TimePerToken <= usable {
		step.Action = Finish
		return step
	}
	prefix := s.PromptTokens + s.SentTokens
	transfer := time.Duration(prefix) * costs.TransferPerToken
	if costs.TransferPerToken > 0 && costs.TransferPerToken < costs.PrefillPerToken && transfer <= usable/2 {
		step.Action = MoveKV
		return step
	}
	step.Action = Resume
	step.RecomputedTokens = prefix
	return step
}

package reclaimer

import (
	"slices"
	"time"
)

// Action is what becomes of a stream.
type Action string

// The ways to bring a stream through a reclaim.
const (
	Finish Action = "finish"
	MoveKV Action = "move_kv"
	Resume Action = "resume"
)

const (
	// safetyMargin is kept free before the upstream is gone.
	safetyMargin = 500 * time.Millisecond
	// spreadShare is the share of the time left over which streams leave.
	spreadShare = 0.6
)

// Stream is one stream on a leaving upstream.
type Stream struct {
	RequestID string
	// Urgency orders streams; the higher leaves first.
	Urgency int
	// PromptTokens and SentTokens are what a new upstream computes again.
	PromptTokens int
	SentTokens   int
	// ExpectedTokens is how many more are expected.
	ExpectedTokens int
}

// Costs are the rates that the plan is made with.
type Costs struct {
	// TimePerToken is the time between tokens.
	TimePerToken time.Duration
	// PrefillPerToken is the time to compute one token of a prefix again.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to move the KV cache of one token. Zero means
	// that caches can't be moved.
	TransferPerToken time.Duration
}

// Step is what to do with one stream and when, counted from now.
type Step struct {
	RequestID string
	Action    Action
	Delay     time.Duration
	// RecomputedTokens is the number of tokens that this way computes again.
	RecomputedTokens int
}

// Plan returns a step for each stream, in the order in which they start.
func Plan(streams []Stream, left time.Duration, costs Costs) []Step {
	usable := max(0, left-safetyMargin)
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
	for at := range leave {
		leave[at].Delay = spread * time.Duration(at) / time.Duration(len(leave))
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

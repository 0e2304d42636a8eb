package reclaimer

import (
	"slices"
	"time"
)

// Way is what becomes of a stream.
type Way string

// The ways to bring a stream through a reclaim.
const (
	Finish Way = "finish"
	MoveKV Way = "move_kv"
	Resume Way = "resume"
)

const (
	// margin is kept free before the upstream is gone.
	margin = 500 * time.Millisecond
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
	// EachToken is the time between tokens.
	EachToken time.Duration
	// EachPrefill is the time to compute one token of a prefix again.
	EachPrefill time.Duration
	// EachTransfer is the time to move the KV cache of one token. Zero means
	// that caches can't be moved.
	EachTransfer time.Duration
}

// Step is what to do with one stream and when, counted from now.
type Step struct {
	RequestID string
	Way       Way
	After     time.Duration
	// Recomputed is the number of tokens that this way computes again.
	Recomputed int
}

// Plan returns a step for each stream, in the order in which they start.
func Plan(streams []Stream, left time.Duration, costs Costs) []Step {
	usable := max(0, left-margin)
	var stay, leave []Step
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b Stream) int { return b.Urgency - a.Urgency })
	for _, s := range ordered {
		step := choose(s, usable, costs)
		if step.Way == Finish {
			stay = append(stay, step)
		} else {
			leave = append(leave, step)
		}
	}
	spread := time.Duration(float64(usable) * spreadShare)
	for at := range leave {
		leave[at].After = spread * time.Duration(at) / time.Duration(len(leave))
	}
	return append(leave, stay...)
}

func choose(s Stream, usable time.Duration, costs Costs) Step {
	step := Step{RequestID: s.RequestID}
	if time.Duration(s.ExpectedTokens)*costs.EachToken <= usable {
		step.Way = Finish
		return step
	}
	prefix := s.PromptTokens + s.SentTokens
	transfer := time.Duration(prefix) * costs.EachTransfer
	if costs.EachTransfer > 0 && costs.EachTransfer < costs.EachPrefill && transfer <= usable/2 {
		step.Way = MoveKV
		return step
	}
	step.Way = Resume
	step.Recomputed = prefix
	return step
}

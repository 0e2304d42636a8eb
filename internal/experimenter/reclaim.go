package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/reclaimer"
)

const (
	reclaimRuns   = 200
	waveSlots     = 8
	waveSurvivors = 15
	// wavePrefillPerToken is the time that a surviving upstream takes to recompute
	// one token of a resumed stream while it also serves its own requests.
	wavePrefillPerToken = 400 * time.Microsecond
	lateGap             = time.Second
)

var waveCosts = reclaimer.Costs{TimePerToken: 30 * time.Millisecond, PrefillPerToken: wavePrefillPerToken, TransferPerToken: 40 * time.Microsecond}

type waveResult struct {
	streams          int
	recomputedTokens int
	lateStreams      int
	lostStreams      int
	actions          map[reclaimer.Action]int
	gaps             []time.Duration
}

func randomStreams(random *rand.Rand, n int) []reclaimer.Stream {
	var streams []reclaimer.Stream
	for i := range n {
		total := 20 + random.IntN(380)
		sent := random.IntN(total)
		streams = append(streams, reclaimer.Stream{
			RequestID: fmt.Sprint(i), Urgency: random.IntN(3), PromptTokens: 200 + random.IntN(1800),
			SentTokens: sent, ExpectedTokens: total - sent,
		})
	}
	return streams
}

// alwaysResume is the baseline: all streams resume on other upstreams at once.
func alwaysResume(streams []reclaimer.Stream) []reclaimer.Step {
	var steps []reclaimer.Step
	for _, s := range streams {
		steps = append(steps, reclaimer.Step{RequestID: s.RequestID, Action: reclaimer.Resume, RecomputedTokens: s.PromptTokens + s.SentTokens})
	}
	return steps
}

// simulateWave simulates the reclaim of a number of upstreams at once, with or
// without a plan. Each survivor recomputes one prefix at a time, and each
// leaving upstream sends its KV caches one after another over one link.
func simulateWave(seed uint64, run, upstreams int, notice time.Duration, planned bool) waveResult {
	result := waveResult{actions: map[reclaimer.Action]int{}}
	random := newRandom(seed, run)
	var freeAt [waveSurvivors]time.Duration
	for range upstreams {
		streams := randomStreams(random, waveSlots)
		steps := alwaysResume(streams)
		if planned {
			steps = reclaimer.Plan(streams, notice, waveCosts)
		}
		byID := map[string]reclaimer.Stream{}
		for _, s := range streams {
			byID[s.RequestID] = s
		}
		linkFreeAt := time.Duration(0)
		for _, step := range steps {
			s := byID[step.RequestID]
			result.streams++
			result.actions[step.Action]++
			gap := time.Duration(0)
			sentDuringDelay := int(step.Delay / waveCosts.TimePerToken)
			switch step.Action {
			case reclaimer.Finish:
				continue
			case reclaimer.MoveKV:
				begin := max(linkFreeAt, step.Delay)
				linkFreeAt = begin + time.Duration(s.PromptTokens+s.SentTokens+sentDuringDelay)*waveCosts.TransferPerToken
				gap = linkFreeAt - step.Delay
				if linkFreeAt > notice {
					result.lostStreams++
				}
			default:
				survivor := 0
				for i := range freeAt {
					if freeAt[i] < freeAt[survivor] {
						survivor = i
					}
				}
				tokens := s.PromptTokens + s.SentTokens + min(sentDuringDelay, s.ExpectedTokens)
				begin := max(freeAt[survivor], step.Delay)
				freeAt[survivor] = begin + time.Duration(tokens)*wavePrefillPerToken
				gap = freeAt[survivor] - step.Delay
				result.recomputedTokens += tokens
			}
			result.gaps = append(result.gaps, gap)
			if gap > lateGap {
				result.lateStreams++
			}
		}
	}
	return result
}

// runReclaim compares the plan with always resuming, for reclaims of one
// upstream and of a failure domain.
func runReclaim(cfg Config) error {
	runs := cfg.Runs
	if runs == 0 {
		runs = reclaimRuns
	}
	rows := [][]string{cells("wave|notice|way|streams|recomputed a stream|finish|move_kv|resume|gap p95|late|lost")}
	for _, wave := range []struct {
		name      string
		upstreams int
	}{{"upstream", 1}, {"domain", 5}} {
		for _, notice := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
			for _, planned := range []bool{false, true} {
				rows = append(rows, waveRow(cfg.Seed, runs, wave.name, wave.upstreams, notice, planned))
			}
		}
	}
	printTable(cfg.Out, fmt.Sprintf("reclaim waves, %d runs each, late is a gap above %s, seed %d", runs, lateGap, cfg.Seed), rows...)
	return nil
}

func waveRow(seed uint64, runs int, wave string, upstreams int, notice time.Duration, planned bool) []string {
	total := waveResult{actions: map[reclaimer.Action]int{}}
	for run := range runs {
		r := simulateWave(seed, run, upstreams, notice, planned)
		total.streams += r.streams
		total.recomputedTokens += r.recomputedTokens
		total.lateStreams += r.lateStreams
		total.lostStreams += r.lostStreams
		total.gaps = append(total.gaps, r.gaps...)
		for action, n := range r.actions {
			total.actions[action] += n
		}
	}
	name := "always resume"
	if planned {
		name = "plan"
	}
	share := func(n int) float64 { return 100 * float64(n) / float64(total.streams) }
	return cells("%s|%s|%s|%d|%.0f|%.0f%%|%.0f%%|%.0f%%|%s|%.1f%%|%.1f%%", wave, notice, name, total.streams,
		float64(total.recomputedTokens)/float64(total.streams), share(total.actions[reclaimer.Finish]), share(total.actions[reclaimer.MoveKV]),
		share(total.actions[reclaimer.Resume]), quantile(total.gaps, 0.95).Round(time.Millisecond), share(total.lateStreams), share(total.lostStreams))
}

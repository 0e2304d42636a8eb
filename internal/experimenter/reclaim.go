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
	// waveSpare is the prefill that one survivor can take on beside its own.
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

// alwaysResume is the plain baseline: all streams resume elsewhere at once.
func alwaysResume(streams []reclaimer.Stream) []reclaimer.Step {
	var steps []reclaimer.Step
	for _, s := range streams {
		steps = append(steps, reclaimer.Step{RequestID: s.RequestID, Action: reclaimer.Resume, RecomputedTokens: s.PromptTokens + s.SentTokens})
	}
	return steps
}

// simulateWave carries out a plan: survivors recompute prefixes one after
// another, and caches move over one link from each leaving upstream.
func simulateWave(seed uint64, run, upstreams int, left time.Duration, planned bool) waveResult {
	result := waveResult{actions: map[reclaimer.Action]int{}}
	random := newRandom(seed, run)
	var free [waveSurvivors]time.Duration
	for range upstreams {
		streams := randomStreams(random, waveSlots)
		steps := alwaysResume(streams)
		if planned {
			steps = reclaimer.Plan(streams, left, waveCosts)
		}
		byID := map[string]reclaimer.Stream{}
		for _, s := range streams {
			byID[s.RequestID] = s
		}
		link := time.Duration(0)
		for _, step := range steps {
			s := byID[step.RequestID]
			result.streams++
			result.actions[step.Action]++
			gap := time.Duration(0)
			sent := int(step.Delay / waveCosts.TimePerToken)
			switch step.Action {
			case reclaimer.Finish:
				continue
			case reclaimer.MoveKV:
				begin := max(link, step.Delay)
				link = begin + time.Duration(s.PromptTokens+s.SentTokens+sent)*waveCosts.TransferPerToken
				gap = link - step.Delay
				if link > left {
					result.lostStreams++
				}
			default:
				at := 0
				for i := range free {
					if free[i] < free[at] {
						at = i
					}
				}
				tokens := s.PromptTokens + s.SentTokens + min(sent, s.ExpectedTokens)
				begin := max(free[at], step.Delay)
				free[at] = begin + time.Duration(tokens)*wavePrefillPerToken
				gap = free[at] - step.Delay
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

// runReclaim compares the plan with always resuming, for waves of one upstream
// and of a failure domain.
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
		for _, left := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second} {
			for _, planned := range []bool{false, true} {
				rows = append(rows, waveRow(cfg.Seed, runs, wave.name, wave.upstreams, left, planned))
			}
		}
	}
	printTable(cfg.Out, fmt.Sprintf("reclaim waves, %d runs each, late is a gap above %s, seed %d", runs, lateGap, cfg.Seed), rows...)
	return nil
}

func waveRow(seed uint64, runs int, wave string, upstreams int, left time.Duration, planned bool) []string {
	total := waveResult{actions: map[reclaimer.Action]int{}}
	for run := range runs {
		r := simulateWave(seed, run, upstreams, left, planned)
		total.streams += r.streams
		total.recomputedTokens += r.recomputedTokens
		total.lateStreams += r.lateStreams
		total.lostStreams += r.lostStreams
		total.gaps = append(total.gaps, r.gaps...)
		for way, n := range r.actions {
			total.actions[way] += n
		}
	}
	name := "always resume"
	if planned {
		name = "plan"
	}
	share := func(n int) float64 { return 100 * float64(n) / float64(total.streams) }
	return cells("%s|%s|%s|%d|%.0f|%.0f%%|%.0f%%|%.0f%%|%s|%.1f%%|%.1f%%", wave, left, name, total.streams,
		float64(total.recomputedTokens)/float64(total.streams), share(total.actions[reclaimer.Finish]), share(total.actions[reclaimer.MoveKV]),
		share(total.actions[reclaimer.Resume]), quantile(total.gaps, 0.95).Round(time.Millisecond), share(total.lateStreams), share(total.lostStreams))
}

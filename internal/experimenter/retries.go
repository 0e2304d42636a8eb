package experimenter

import (
	"fmt"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/retrier"
)

const (
	stormStep     = 100 * time.Millisecond
	stormCapacity = 100
	stormLoad     = 80
	stormBegin    = 30 * time.Second
	stormEnd      = 60 * time.Second
	stormLast     = 4 * time.Minute
	stormOrgs     = 5
	// stormSmooth is the weight of one step in the mean load, over about a
	// second.
	stormSmooth = 0.1
	naiveTries  = 5
	naiveWait   = time.Second
)

type stormRequest struct {
	org      int
	attempts int
	first    time.Time
}

type stormResult struct {
	requests  int
	attempts  int
	good      int
	recovered time.Duration
}

// simulateStorm lets most of the capacity go for a while. Attempts beyond the
// capacity fail and still use it up, as requests that time out do.
func simulateStorm(seed uint64, budgets bool) stormResult {
	var result stormResult
	random := newRandom(seed, 0)
	var budget [stormOrgs]retrier.Budget
	due := map[time.Time][]stormRequest{}
	lastBad := stormEnd
	recent := 0.0
	for at := time.Duration(0); at < stormLast; at += stormStep {
		now := epoch.Add(at)
		offered := due[now]
		delete(due, now)
		for range poisson(random, stormLoad) {
			offered = append(offered, stormRequest{org: random.IntN(stormOrgs), first: now})
		}
		during := at >= stormBegin && at < stormEnd
		capacity := stormCapacity
		if during {
			capacity = stormCapacity / 5
		}
		odds := 1.0
		if len(offered) > capacity {
			odds = float64(capacity) / float64(len(offered))
			odds *= odds
		}
		good := 0
		for _, r := range offered {
			r.attempts++
			if at >= stormBegin {
				result.attempts++
				if r.attempts == 1 {
					result.requests++
				}
			}
			if random.Float64() < odds {
				good++
				budget[r.org].RecordSuccess()
				continue
			}
			wait, again := naiveWait, r.attempts < naiveTries
			if budgets {
				d := retrier.Decide(now, &budget[r.org], retrier.Failure{Verdict: judge.MayHaveRun, Idempotent: true, Attempts: r.attempts}, random)
				wait, again = d.Backoff, d.Retry
			}
			if again {
				next := now.Add(wait.Round(stormStep) + stormStep)
				due[next] = append(due[next], r)
			}
		}
		if at >= stormBegin {
			result.good += good
		}
		recent += stormSmooth * (float64(len(offered)) - recent)
		if at >= stormEnd && recent > stormCapacity {
			lastBad = at + stormStep
		}
	}
	result.recovered = lastBad - stormEnd
	return result
}

// runRetries measures what retries add to a wave and how long they outlast it.
func runRetries(cfg Config) error {
	rows := [][]string{cells("retries|requests|attempts|amplification|good|overload after the wave")}
	for _, budgets := range []bool{false, true} {
		name := "up to 5, after 1s"
		if budgets {
			name = "budget"
		}
		r := simulateStorm(cfg.Seed, budgets)
		rows = append(rows, cells("%s|%d|%d|%.2f|%.1f%%|%s", name, r.requests, r.attempts,
			float64(r.attempts)/float64(r.requests), 100*float64(r.good)/float64(r.requests), r.recovered))
	}
	table(cfg.Out, fmt.Sprintf("retries, four fifths of the capacity gone for %s, load 0.8, seed %d", stormEnd-stormBegin, cfg.Seed), rows...)
	return nil
}

package experimenter

import (
	"fmt"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/retrier"
)

const (
	retryTick       = 100 * time.Millisecond
	retryCapacity   = 100
	retryLoad       = 80
	outageStart     = 30 * time.Second
	outageEnd       = 60 * time.Second
	retriesDuration = 4 * time.Minute
	retryOrgs       = 5
	// loadSmoothing is the weight of one step in the mean load, over about a
	// second.
	loadSmoothing    = 0.1
	naiveMaxAttempts = 5
	naiveDelay       = time.Second
)

type retryRequest struct {
	org          int
	attempts     int
	firstAttempt time.Time
}

type retryResult struct {
	requests     int
	attempts     int
	succeeded    int
	recoveryTime time.Duration
}

// simulateRetries lets most of the capacity go for a while. Attempts beyond the
// capacity fail and still use it up, as requests that time out do.
func simulateRetries(seed uint64, budgets bool) retryResult {
	var result retryResult
	random := newRandom(seed, 0)
	var budget [retryOrgs]retrier.Budget
	due := map[time.Time][]retryRequest{}
	lastBad := outageEnd
	recent := 0.0
	for at := time.Duration(0); at < retriesDuration; at += retryTick {
		now := epoch.Add(at)
		offered := due[now]
		delete(due, now)
		for range poisson(random, retryLoad) {
			offered = append(offered, retryRequest{org: random.IntN(retryOrgs), firstAttempt: now})
		}
		during := at >= outageStart && at < outageEnd
		capacity := retryCapacity
		if during {
			capacity = retryCapacity / 5
		}
		odds := 1.0
		if len(offered) > capacity {
			odds = float64(capacity) / float64(len(offered))
			odds *= odds
		}
		good := 0
		for _, r := range offered {
			r.attempts++
			if at >= outageStart {
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
			wait, again := naiveDelay, r.attempts < naiveMaxAttempts
			if budgets {
				d := retrier.Decide(now, &budget[r.org], retrier.Failure{Verdict: judge.MayHaveRun, Idempotent: true, Attempts: r.attempts}, random)
				wait, again = d.Backoff, d.Retry
			}
			if again {
				next := now.Add(wait.Round(retryTick) + retryTick)
				due[next] = append(due[next], r)
			}
		}
		if at >= outageStart {
			result.succeeded += good
		}
		recent += loadSmoothing * (float64(len(offered)) - recent)
		if at >= outageEnd && recent > retryCapacity {
			lastBad = at + retryTick
		}
	}
	result.recoveryTime = lastBad - outageEnd
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
		r := simulateRetries(cfg.Seed, budgets)
		rows = append(rows, cells("%s|%d|%d|%.2f|%.1f%%|%s", name, r.requests, r.attempts,
			float64(r.attempts)/float64(r.requests), 100*float64(r.succeeded)/float64(r.requests), r.recoveryTime))
	}
	printTable(cfg.Out, fmt.Sprintf("retries, four fifths of the capacity gone for %s, load 0.8, seed %d", outageEnd-outageStart, cfg.Seed), rows...)
	return nil
}

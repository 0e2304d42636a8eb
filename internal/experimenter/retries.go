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
	// loadSmoothing is the weight of one tick in the moving average of the
	// load, which covers about a second.
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

// simulateRetries simulates an outage of four fifths of the capacity. Attempts
// beyond the capacity fail and still use capacity, as requests that time out do.
func simulateRetries(seed uint64, budgets bool) retryResult {
	var result retryResult
	random := newRandom(seed, 0)
	var budget [retryOrgs]retrier.Budget
	retriesAt := map[time.Time][]retryRequest{}
	overloadedUntil := outageEnd
	meanLoad := 0.0
	for elapsed := time.Duration(0); elapsed < retriesDuration; elapsed += retryTick {
		now := epoch.Add(elapsed)
		attempts := retriesAt[now]
		delete(retriesAt, now)
		for range poisson(random, retryLoad) {
			attempts = append(attempts, retryRequest{org: random.IntN(retryOrgs), firstAttempt: now})
		}
		inOutage := elapsed >= outageStart && elapsed < outageEnd
		capacity := retryCapacity
		if inOutage {
			capacity = retryCapacity / 5
		}
		successRate := 1.0
		if len(attempts) > capacity {
			successRate = float64(capacity) / float64(len(attempts))
			successRate *= successRate
		}
		succeeded := 0
		for _, r := range attempts {
			r.attempts++
			if elapsed >= outageStart {
				result.attempts++
				if r.attempts == 1 {
					result.requests++
				}
			}
			if random.Float64() < successRate {
				succeeded++
				budget[r.org].RecordSuccess()
				continue
			}
			delay, retry := naiveDelay, r.attempts < naiveMaxAttempts
			if budgets {
				d := retrier.Decide(now, &budget[r.org], retrier.Failure{Verdict: judge.MayHaveRun, Idempotent: true, Attempts: r.attempts}, random)
				delay, retry = d.Backoff, d.Retry
			}
			if retry {
				retryAt := now.Add(delay.Round(retryTick) + retryTick)
				retriesAt[retryAt] = append(retriesAt[retryAt], r)
			}
		}
		if elapsed >= outageStart {
			result.succeeded += succeeded
		}
		meanLoad += loadSmoothing * (float64(len(attempts)) - meanLoad)
		if elapsed >= outageEnd && meanLoad > retryCapacity {
			overloadedUntil = elapsed + retryTick
		}
	}
	result.recoveryTime = overloadedUntil - outageEnd
	return result
}

// runRetries measures how much retries amplify the load during an outage and
// how long they keep the load above the capacity after it.
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

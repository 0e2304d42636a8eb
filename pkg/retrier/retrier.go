package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// tokensPerSuccess is the refill of the budget by one finished request.
	tokensPerSuccess = 0.1
	// initialTokens allows a new entry retries before its first success.
	initialTokens = 10.0
	// maxTokens bounds the budget.
	maxTokens = 40.0
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// baseBackoff is the delay before the second attempt.
	baseBackoff = 10 * time.Millisecond
	// maxBackoff bounds the delay between attempts.
	maxBackoff = 500 * time.Millisecond
	// meanRetryAfter is the mean of the jittered Retry-After of refused callers.
	meanRetryAfter = time.Second
)

// Budget is the token bucket of retries of an organisation's route. The zero value
// is a new bucket with initialTokens.
type Budget struct {
	spent    float64
	refilled float64
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return initialTokens + b.refilled - b.spent }

// RecordSuccess refills the budget for a finished request.
func (b *Budget) RecordSuccess() {
	b.refilled += tokensPerSuccess
	if excess := b.Tokens() - maxTokens; excess > 0 {
		b.refilled -= excess
	}
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.Tokens() < 1 {
		return false
	}
	b.spent++
	return true
}

// Failure describes an attempt that failed.
type Failure struct {
	Verdict    judge.Verdict
	Idempotent bool
	// Attempts counts the attempts, the failed one included.
	Attempts int
	Deadline time.Time
	// Reclaimed marks an attempt that ended by a reclaim. It is exempt from the
	// budget, from maxAttempts and from the backoff.
	Reclaimed bool
	// UpstreamCrashed marks an attempt whose upstream is known to have crashed
	// during it. It is exempt from the budget, since it says nothing about load,
	// but counts as an attempt.
	UpstreamCrashed bool
}

// Decision is what follows a failed attempt.
type Decision struct {
	Retry bool
	// Backoff is the delay before the next attempt.
	Backoff time.Duration
	// Code and RetryAfter are for the caller if there is no next attempt.
	Code       judge.Code
	RetryAfter time.Duration
}

// Decide returns whether the attempt that failed with f is retried, and charges b
// for a retry. The delays are jittered with random.
func Decide(now time.Time, b *Budget, f Failure, random *rand.Rand) Decision {
	if !f.Idempotent && f.Verdict != judge.NotRun {
		return giveUp(judge.CodeUpstreamFailed, random)
	}
	if f.Reclaimed {
		return Decision{Retry: true}
	}
	if f.Attempts >= maxAttempts {
		return giveUp(judge.CodeUpstreamFailed, random)
	}
	backoff := Backoff(f.Attempts, random)
	if !f.Deadline.IsZero() && now.Add(backoff).After(f.Deadline) {
		return giveUp(judge.CodeDeadline, random)
	}
	if !f.UpstreamCrashed && !b.Spend() {
		return giveUp(judge.CodeRetryBudgetSpent, random)
	}
	return Decision{Retry: true, Backoff: backoff}
}

func giveUp(code judge.Code, random *rand.Rand) Decision {
	return Decision{Code: code, RetryAfter: Jitter(meanRetryAfter, random)}
}

// Backoff returns the jittered exponential delay after a number of attempts.
func Backoff(attempts int, random *rand.Rand) time.Duration {
	delay := min(maxBackoff, baseBackoff<<min(max(0, attempts-1), 8))
	return Jitter(delay, random)
}

// Jitter returns a random duration from half of d to one and a half of d.
func Jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}

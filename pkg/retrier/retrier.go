package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// tokensPerSuccess is what one finished request adds to the budget.
	tokensPerSuccess = 0.1
	// initialTokens lets a new entry retry before anything has succeeded.
	initialTokens = 10.0
	// maxTokens bounds what can be saved up.
	maxTokens = 40.0
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// baseBackoff is the delay before the second attempt.
	baseBackoff = 10 * time.Millisecond
	// maxBackoff bounds the delay between attempts.
	maxBackoff = 500 * time.Millisecond
	// meanRetryAfter is the middle of the time that refused callers are told to wait.
	meanRetryAfter = time.Second
)

// Budget holds the retries that an organisation's route may spend. The zero
// value is a fresh budget.
type Budget struct {
	spent    float64
	refilled float64
}

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return initialTokens + b.refilled - b.spent }

// RecordSuccess adds what a finished request earns.
func (b *Budget) RecordSuccess() {
	b.refilled += tokensPerSuccess
	if over := b.Tokens() - maxTokens; over > 0 {
		b.refilled -= over
	}
}

// Spend takes one retry, if there is one.
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
	// Attempts is how many were made, the failed one included.
	Attempts int
	Deadline time.Time
	// Reclaimed marks an attempt that ended by a reclaim: it is not charged.
	Reclaimed bool
	// UpstreamCrashed marks an attempt whose upstream is known to have died under it. It
	// is not charged either, since it says nothing about load, but it counts
	// as an attempt.
	UpstreamCrashed bool
}

// Decision says what follows a failure.
type Decision struct {
	Retry bool
	// Backoff is the wait before the next attempt.
	Backoff time.Duration
	// Code and RetryAfter are for the caller if there is no next attempt.
	Code       judge.Code
	RetryAfter time.Duration
}

// Decide returns what follows f. The random source jitters waits.
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

// Backoff returns the wait after a number of attempts: exponential, jittered.
func Backoff(attempts int, random *rand.Rand) time.Duration {
	wait := min(maxBackoff, baseBackoff<<min(max(0, attempts-1), 8))
	return Jitter(wait, random)
}

// Jitter returns a time between half and one and a half of d.
func Jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}

package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/retrier"
)

var start = time.UnixMilli(1_700_000_000_000)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func TestNonIdempotentIsNotRetried(t *testing.T) {
	var b retrier.Budget
	for _, v := range []judge.Verdict{judge.MayHaveRun, judge.Ran} {
		for _, reclaimed := range []bool{true, false} {
			d := retrier.Decide(start, &b, retrier.Failure{Verdict: v, Attempts: 1, Reclaimed: reclaimed, UpstreamCrashed: true}, random())
			require.False(t, d.Retry)
			require.Positive(t, d.RetryAfter)
		}
	}
	require.True(t, retrier.Decide(start, &b, retrier.Failure{Verdict: judge.NotRun, Attempts: 1}, random()).Retry)
}

// If every attempt fails, retries must stay below a fifth of the requests.
func TestRetryAmplificationIsBounded(t *testing.T) {
	var b retrier.Budget
	r := random()
	for range 1000 {
		b.RecordSuccess()
	}
	retries := 0
	const requests = 300
	for range requests {
		for attempts := 1; ; attempts++ {
			d := retrier.Decide(start, &b, retrier.Failure{Verdict: judge.MayHaveRun, Idempotent: true, Attempts: attempts}, r)
			if !d.Retry {
				require.Positive(t, d.RetryAfter)
				break
			}
			retries++
		}
	}
	require.Less(t, float64(requests+retries)/requests, 1.2)
}

func TestNoRetryPastTheDeadline(t *testing.T) {
	var b retrier.Budget
	d := retrier.Decide(start, &b, retrier.Failure{Idempotent: true, Attempts: 5, Deadline: start.Add(time.Millisecond)}, random())
	require.False(t, d.Retry)
	require.Equal(t, judge.CodeDeadline, d.Code)
}

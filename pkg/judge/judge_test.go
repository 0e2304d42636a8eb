package judge_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

func TestErrorsWithoutVerdictMayHaveRun(t *testing.T) {
	require.Equal(t, judge.MayHaveRun, judge.VerdictOf(errors.New("x")))
	require.Equal(t, judge.NotRun, judge.VerdictOf(fmt.Errorf("wrapped: %w", judge.Errorf(judge.NotRun, "x"))))
	require.Equal(t, judge.Ran, judge.VerdictOf(judge.Wrap(judge.Ran, judge.Errorf(judge.NotRun, "x"), "later")))
}

func TestRefusalFields(t *testing.T) {
	r := judge.Refuse(judge.CodeOverloaded, judge.NotRun, "busy").WithRetryAfter(time.Microsecond)
	require.Equal(t, 429, r.Status)
	require.EqualValues(t, 1, r.RetryAfterMS)
	identified := r.WithRequestID("id")
	require.Equal(t, "id", identified.RequestID)
	require.Empty(t, r.RequestID)
}

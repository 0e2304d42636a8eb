package judge_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

func TestUnmarkedErrorsMayHaveRun(t *testing.T) {
	require.Equal(t, judge.MayHaveRun, judge.Of(errors.New("x")))
	require.Equal(t, judge.NotRun, judge.Of(fmt.Errorf("wrapped: %w", judge.Mark(judge.NotRun, "x"))))
	require.Equal(t, judge.Ran, judge.Of(judge.Wrap(judge.Ran, judge.Mark(judge.NotRun, "x"), "later")))
}

func TestRefusalsCarryWhatCallersNeed(t *testing.T) {
	r := judge.Refuse(judge.CodeOverloaded, judge.NotRun, "busy").After(time.Microsecond)
	require.Equal(t, 429, r.Status)
	require.EqualValues(t, 1, r.RetryAfterMS)
	named := r.For("id")
	require.Equal(t, "id", named.RequestID)
	require.Empty(t, r.RequestID)
}

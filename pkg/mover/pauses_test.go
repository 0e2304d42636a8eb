package mover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/mover"
)

// observe adds events with the given pauses between them and returns after which event
// the collection was complete, -1 if it was not.
func observe(p *mover.Pauses, pauses ...time.Duration) int {
	at, complete := start, -1
	p.Observe(at)
	for i, pause := range pauses {
		at = at.Add(pause)
		if p.Observe(at) {
			complete = i + 1
		}
	}
	return complete
}

func TestTypicalPauseIgnoresInterruptions(t *testing.T) {
	const usual, long = 20 * time.Millisecond, 900 * time.Millisecond
	var p mover.Pauses
	require.Equal(t, 8, observe(&p, usual, long, usual, usual, long, long, usual, long, usual, usual))
	require.True(t, p.Complete())
	pause, ok := p.Typical()
	require.True(t, ok)
	require.Equal(t, usual, pause)

	p = mover.Pauses{}
	require.Equal(t, -1, observe(&p, usual, usual, usual))
	_, ok = p.Typical()
	require.False(t, ok, "the stream is too short")
	p = mover.Pauses{}
	observe(&p, usual, usual, usual, usual)
	_, ok = p.Typical()
	require.True(t, ok)
}

func TestLongPausesDependOnTheLoad(t *testing.T) {
	var threshold mover.PauseThreshold
	require.False(t, threshold.IsLong(time.Hour, false), "nothing to compare with")
	for range 200 {
		threshold.Observe(20 * time.Millisecond)
	}
	require.False(t, threshold.IsLong(20*time.Millisecond, false))
	require.True(t, threshold.IsLong(24*time.Millisecond, false))
	require.False(t, threshold.IsLong(24*time.Millisecond, true))
	require.True(t, threshold.IsLong(40*time.Millisecond, true))
}

// Upstreams of a good version have cached no prompt, so that their first tokens come
// late. Where pauses can be compared, that alone must not condemn the version.
func TestColdCachesDoNotCondemnAVersion(t *testing.T) {
	var withPauses, without mover.Comparisons
	for i := range 400 {
		current := mover.Counts{Outcomes: 1}
		if i%10 == 0 {
			current.Slow = 1
		}
		fresh := mover.Counts{Outcomes: 1}
		if i%10 < 4 {
			fresh.Slow = 1
		}
		without.Observe("a", current, fresh)
		current.Paced, fresh.Paced = 1, 1
		withPauses.Observe("a", current, fresh)
	}
	require.NotEmpty(t, without.RollBackReason())
	require.Empty(t, withPauses.RollBackReason())
}

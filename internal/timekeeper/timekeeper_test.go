package timekeeper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/timekeeper"
)

// A time with a monotonic reading would be compared by the clock that stands still while
// the machine is suspended.
func TestNowHasNoMonotonicReading(t *testing.T) {
	first := timekeeper.Now()
	require.Equal(t, first.Round(0), first)
	require.False(t, timekeeper.Now().Before(first))
}

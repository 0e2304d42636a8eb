package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/logger"
)

func at(seconds int64) func() time.Time {
	return func() time.Time { return time.Unix(seconds, 0).UTC() }
}

// A flood of one event must be bounded and counted, and must leave room for other
// events. Logging must not block while the writer is not running.
func TestFloodIsBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	q := logger.NewQueue(logger.QueueConfig{Out: &out, MaxPerSecond: 10, Now: at(5)})
	log, err := logger.New(q, "info")
	require.NoError(t, err)
	for range 2000 {
		log.Info().Str("event", "flood").Str("request_id", "a b").Send()
	}
	log.Warn().Str("event", "rare").Send()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, q.Run(ended))
	require.Equal(t, 10, strings.Count(out.String(), "event=flood"))
	require.Equal(t, 1, strings.Count(out.String(), "event=rare"))
	require.Contains(t, out.String(), `request_id="a b"`)
	require.Contains(t, out.String(), "event=log_lines_dropped kind=flood count=1990")
}

func TestFullQueueDropsAndCounts(t *testing.T) {
	var out bytes.Buffer
	q := logger.NewQueue(logger.QueueConfig{Out: &out, Now: at(5)})
	log, err := logger.New(q, "info")
	require.NoError(t, err)
	for range 600 {
		log.Info().Str("event", "many").Send()
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, q.Run(ended))
	require.Equal(t, 512, strings.Count(out.String(), "event=many"))
	require.Contains(t, out.String(), "kind=many count=88")
}

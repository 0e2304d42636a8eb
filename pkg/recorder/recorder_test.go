package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/recorder"
)

func TestLossIsItselfRecorded(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	r := recorder.New(recorder.Config{EntryID: "e", MaxPending: 3})
	for i := range 5 {
		r.Add(now, recorder.Record{Event: fmt.Sprint(i)})
	}
	require.Equal(t, 2, r.LostRecords())
	batch := r.Pending(2)
	require.Equal(t, "2", batch[0].Event)
	r.MarkWritten(now, batch)
	rest := r.Pending(10)
	require.Len(t, rest, 2)
	require.Equal(t, "4", rest[0].Event)
	require.Equal(t, "audit_records_lost", rest[1].Event)
	require.Contains(t, rest[1].Detail, "lost=2")
	require.Zero(t, r.LostRecords())
	require.NotEqual(t, rest[0].Key(), rest[1].Key())
}

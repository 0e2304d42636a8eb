package gateway

import (
	"iter"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/splitter"
)

// eventsOf returns the complete events of a stream that arrives in one piece.
func eventsOf(stream string) iter.Seq[splitter.Event] {
	s := splitter.New()
	s.Write([]byte(stream))
	return s.Events()
}

// A stream breaks at any byte, arrives in pieces of any size and is resumed by
// an upstream that repeats events that the caller already has. The caller must
// get each event once, in order.
func TestResumedStreamsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.IntRange(1, 20).Draw(t, "events")
		text := func(from int) []byte {
			var all []byte
			for i := from; i <= events; i++ {
				all = append(all, "id: "+string(rune('0'+i/10))+string(rune('0'+i%10))+"\ndata: x\n\n"...)
			}
			return all
		}
		c := &call{}
		var got []byte
		for from := 1; from <= events; {
			rest := text(from)
			if rapid.Bool().Draw(t, "breaks") && from < events {
				rest = rest[:rapid.IntRange(0, len(rest)-1).Draw(t, "at")]
			} else {
				from = events + 1
			}
			s := splitter.New()
			for len(rest) > 0 {
				n := rapid.IntRange(1, len(rest)).Draw(t, "read")
				s.Write(rest[:n])
				rest = rest[n:]
				kept, err := c.newEvents(s.Events())
				require.NoError(t, err)
				got = append(got, kept...)
			}
			if from <= events {
				from = rapid.IntRange(1, max(1, len(got)/len("id: 01\ndata: x\n\n")+1)).Draw(t, "resumes")
			}
		}
		require.Equal(t, string(text(1)), string(got))
	})
}

func TestEventsWithoutNumbers(t *testing.T) {
	c := &call{}
	newEvents := func(stream string) string {
		kept, err := c.newEvents(eventsOf(stream))
		require.NoError(t, err)
		return string(kept)
	}
	require.Equal(t, ": ping\n\ndata: x\n\n", newEvents(": ping\n\ndata: x\n\n"))
	require.Empty(t, c.lastEventID)
	require.Equal(t, "id: a\n\n", newEvents("id: a\n\nid: a\n\n"))
	require.Equal(t, "a", c.lastEventID)
	c.resuming = true
	require.Equal(t, ": ping\n\nid: b\n\n", newEvents(": ping\n\nid: b\n\n"))
	c.resuming = true
	_, err := c.newEvents(eventsOf("error\n\nid: c\n\n"))
	require.ErrorIs(t, err, errNotResumed)
}

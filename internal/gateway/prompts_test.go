package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests of one session share all parts but the last, which is each request's
// own: they go by the part before it, at every entry alike.
func TestSessionsGoByTheirLastSharedPart(t *testing.T) {
	var a, b prompts
	for i := range 10 {
		parts := []Part{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: fmt.Sprint("own", i), Tokens: 100}}
		require.Equal(t, "session", a.shared(parts))
	}
	require.Equal(t, "session", b.shared([]Part{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: "own", Tokens: 1}}))
	require.Empty(t, b.shared([]Part{{ID: "small", Tokens: 100}, {ID: "own2", Tokens: 9000}}), "too little is shared")
	require.Empty(t, b.shared(nil))
}

// Where last parts come again, they are what is shared.
func TestLastPartsThatComeAgain(t *testing.T) {
	var p prompts
	parts := []Part{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}}
	require.Equal(t, "template", p.shared(parts))
	require.Equal(t, "session", p.shared(parts))
	require.Equal(t, "session", p.shared(parts))
}

func TestPromptMemoryIsBounded(t *testing.T) {
	var p prompts
	for i := range 3 * promptMemory {
		p.note(fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(p.recent)+len(p.older), 2*promptMemory)
	require.True(t, p.note(fmt.Sprint(3*promptMemory-1)))
	require.False(t, p.note("0"))
}

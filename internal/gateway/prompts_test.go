package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// Requests of one session share all parts but the last, which is each request's
// own: they go by the part before it, at every entry alike.
func TestSessionsAreKeyedByTheirLastSharedPart(t *testing.T) {
	var a, b promptHistory
	for i := range 10 {
		parts := []PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: fmt.Sprint("own", i), Tokens: 100}}
		require.Equal(t, "session", a.sharedPart(parts))
	}
	require.Equal(t, "session", b.sharedPart([]PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: "own", Tokens: 1}}))
	require.Empty(t, b.sharedPart([]PromptPart{{ID: "small", Tokens: 100}, {ID: "own2", Tokens: 9000}}), "too little is shared")
	require.Empty(t, b.sharedPart(nil))
}

// Where last parts come again, they are what is shared.
func TestRepeatedLastPartsAreShared(t *testing.T) {
	var p promptHistory
	parts := []PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}}
	require.Equal(t, "template", p.sharedPart(parts))
	require.Equal(t, "session", p.sharedPart(parts))
	require.Equal(t, "session", p.sharedPart(parts))
}

// A request that is sent again keeps its session's place: its own last part has
// not come before.
func TestRetriesKeepTheirPrefix(t *testing.T) {
	g, c := newGateway(t, nil)
	b := g.state
	for i := range 16 {
		id := fmt.Sprint("u", i)
		b.upstreams[id] = Upstream{Name: id, Upstream: router.Upstream{ID: id, Deployment: "model", FailureDomain: "a", Slots: 32}}
	}
	b.updateRouter(c.now)
	parts := func(own string) []PromptPart {
		return []PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: own, Tokens: 100}}
	}
	again := &call{deployment: "model", request: Request{PromptParts: parts("own")}}
	first, ok := g.chooseUpstream(again)
	require.True(t, ok)
	again.exclude = []string{first.ID}
	second, ok := g.chooseUpstream(again)
	require.True(t, ok)
	other := &call{deployment: "model", exclude: []string{first.ID}, request: Request{PromptParts: parts("another")}}
	of, ok := g.chooseUpstream(other)
	require.True(t, ok)
	require.Equal(t, of, second, "both go to the second place of the session")
}

func TestPromptMemoryIsBounded(t *testing.T) {
	var p promptHistory
	for i := range 3 * maxPromptParts {
		p.add(fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(p.recent)+len(p.older), 2*maxPromptParts)
	require.True(t, p.add(fmt.Sprint(3*maxPromptParts-1)))
	require.False(t, p.add("0"))
}

package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// The last part of a prompt is unique to its request; the requests of a session
// share all others. Every entry must select the part before the last one.
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

// A last part that occurs again is shared by requests and must be selected.
func TestRepeatedLastPartsAreShared(t *testing.T) {
	var p promptHistory
	parts := []PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}}
	require.Equal(t, "template", p.sharedPart(parts))
	require.Equal(t, "session", p.sharedPart(parts))
	require.Equal(t, "session", p.sharedPart(parts))
}

// A retry must not take its own last part, which the first attempt recorded, for
// a shared one. It must keep the prefix of its session.
func TestRetriesKeepTheirPrefix(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	for i := range 16 {
		id := fmt.Sprint("u", i)
		st.upstreams[id] = Upstream{Name: id, Upstream: router.Upstream{ID: id, Deployment: "model", FailureDomain: "a", Slots: 32}}
	}
	st.updateRouter(c.now)
	parts := func(own string) []PromptPart {
		return []PromptPart{{ID: "template", Tokens: 500}, {ID: "session", Tokens: 4000}, {ID: own, Tokens: 100}}
	}
	retried := &call{deployment: "model", request: Request{PromptParts: parts("own")}}
	first, ok := g.chooseUpstream(retried)
	require.True(t, ok)
	retried.exclude = []string{first.ID}
	second, ok := g.chooseUpstream(retried)
	require.True(t, ok)
	other := &call{deployment: "model", exclude: []string{first.ID}, request: Request{PromptParts: parts("another")}}
	want, ok := g.chooseUpstream(other)
	require.True(t, ok)
	require.Equal(t, want, second, "both get the second upstream of the session")
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

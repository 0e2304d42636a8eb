package charter_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/charter"
)

func TestEmbeddedChartsRefuseUnlistedEvents(t *testing.T) {
	for _, c := range []*charter.Chart{charter.Request(), charter.Move(), charter.Upstream()} {
		_, err := c.Next(c.Initial(), "no such event")
		require.True(t, errorx.IsOfType(err, charter.Disallowed), c.Name())
	}
	_, err := charter.Move().Next("taken_back", "step_up")
	require.Error(t, err)
	_, err = charter.Upstream().Next("leaving", "recover")
	require.NoError(t, err)
	require.True(t, charter.Request().Final("moved"))
}

func TestParseChecksCharts(t *testing.T) {
	for _, source := range []string{
		"name: x\ninitial: nowhere\nstates: {a: {}}\n",
		"name: x\ninitial: a\nstates: {a: {go: nowhere}}\n",
		"name: x\nunknown: y\n",
		"[",
	} {
		_, err := charter.Parse([]byte(source))
		require.True(t, errorx.IsOfType(err, charter.Invalid), source)
	}
}

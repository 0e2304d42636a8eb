package planner_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

func example(t *testing.T, firm string) string {
	source, err := os.ReadFile("../../examples/" + firm + ".yaml")
	require.NoError(t, err)
	return string(source)
}

func TestExamplesHaveNoMistakes(t *testing.T) {
	for _, firm := range []string{"quiroga", "morsko"} {
		answers, problems := planner.Check([]byte(example(t, firm)))
		require.Empty(t, problems)
		cfg := planner.Plan(answers)
		value, err := planner.Encode(cfg)
		require.NoError(t, err)
		decoded, err := planner.Decode(value)
		require.NoError(t, err)
		require.Equal(t, cfg, decoded)
		require.Empty(t, planner.Diff(cfg, decoded))
	}
}

func TestPlanFollowsTheAnswers(t *testing.T) {
	answers, _ := planner.Check([]byte(example(t, "morsko")))
	cfg := planner.Plan(answers)
	order, ok := cfg.Route("work-order")
	require.True(t, ok)
	require.False(t, order.Idempotent)
	question, _ := cfg.Route("deck-question")
	require.True(t, question.Idempotent)
	require.Equal(t, limiter.High, question.Urgency)
	require.Equal(t, 580*time.Millisecond, question.AnswerWithin())
	d, _ := cfg.Deployment("inspection-assistant")
	require.Equal(t, 0.005, d.Move.StepShares[0], "high caution makes the first step smaller")
	require.EqualValues(t, 20*60*1000, d.Move.FinishWithinMS)
}

func TestUnansweredRepeatableCountsAsNo(t *testing.T) {
	source := strings.Replace(example(t, "morsko"), "  - name: chain-history\n    deployment: records-and-orders\n    may_be_repeated: true\n",
		"  - name: chain-history\n    deployment: records-and-orders\n", 1)
	answers, problems := planner.Check([]byte(source))
	require.Empty(t, problems)
	cfg := planner.Plan(answers)
	route, _ := cfg.Route("chain-history")
	require.False(t, route.Idempotent)
}

func TestEachMistakeNamesItsLine(t *testing.T) {
	for _, c := range []struct{ was, is, message string }{
		{"firm: Morsko Vazel Inspektsii OOD", "firm: ''", "firm is missing"},
		{"size: small", "size: huge", `size "huge" is not known`},
		{"name: pontos-fish", "name: kaliakra-farms", "is there twice"},
		{"name: pontos-fish", "name: Pontos Fish", "can't be a name"},
		{"kind: service", "kind: thing", `kind "thing" is not known`},
		{"urgency: high", "urgency: now", `urgency "now" is not known`},
		{"deployment: records-and-orders", "deployment: nothing", `deployment "nothing" is not known`},
		{"answer_within: 580ms", "answer_within: soon", "not a duration"},
		{"answer_within: 580ms", "answer_within: -1s", "answer_within is -1s"},
		{"finish_within: 5s", "finish_within: 100ms", "finish_within is shorter"},
		{"may_be_repeated: true", "may_be_repeated: false", "can't be resumed"},
		{"caution: high", "caution: extreme", "caution"},
		{"reclaimable_share: 0.5", "reclaimable_share: 3", "reclaimable_share is 3"},
		{"watch_after: 30m", "watch_aftr: 30m", "field watch_aftr not found"},
	} {
		before, _, found := strings.Cut(example(t, "morsko"), c.was)
		require.True(t, found, c.was)
		source := strings.Replace(example(t, "morsko"), c.was, c.is, 1)
		line := 1 + strings.Count(before, "\n")
		_, problems := planner.Check([]byte(source))
		require.NotEmpty(t, problems, c.is)
		require.Contains(t, problems[0].Message, c.message)
		require.NotEmpty(t, problems[0].Remedy)
		require.Equal(t, line, problems[0].Line, "%s: %s", c.is, problems[0].Message)
	}
}

func TestUnusableFiles(t *testing.T) {
	for _, source := range []string{"", "[", "firm: [", "- a", strings.Repeat("#", 2<<20)} {
		_, problems := planner.Check([]byte(source))
		require.NotEmpty(t, problems)
	}
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte("firm: x\nfailure_domains: [a]\n"))
	f.Add([]byte("requests:\n  - {name: a, answer_within: 1s}\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		answers, problems := planner.Check(source)
		if len(problems) == 0 {
			planner.Plan(answers)
		}
	})
}

func TestDiffHidesTokens(t *testing.T) {
	answers, _ := planner.Check([]byte(example(t, "quiroga")))
	was := planner.Plan(answers)
	is := planner.Plan(answers)
	is.Organisations = append([]planner.Organisation{}, is.Organisations...)
	is.Organisations[0].TokenSHA256 = strings.Repeat("f", 64)
	changes := planner.Diff(was, is)
	require.Len(t, changes, 1)
	require.NotContains(t, changes[0].String(), strings.Repeat("f", 10))
}

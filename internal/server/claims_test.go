package server

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/seeder"
	"github.com/galenahitch/galenahitch/pkg/claimer"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var errLost = errors.New("lost")

// lossyTable is a table that loses requests (fault 0) and responses to writes
// (fault 1). nextFault returns the fault of each call.
type lossyTable struct {
	provider.Table
	nextFault func() int
}

func (l *lossyTable) Put(ctx context.Context, put provider.Put) (provider.PutResult, error) {
	switch l.nextFault() {
	case 0:
		return provider.PutResult{}, errLost
	case 1:
		_, _ = l.Table.Put(ctx, put)
		return provider.PutResult{}, errLost
	}
	return l.Table.Put(ctx, put)
}

func (l *lossyTable) Get(ctx context.Context, key string) (provider.Row, error) {
	if l.nextFault() == 0 {
		return provider.Row{}, errLost
	}
	return l.Table.Get(ctx, key)
}

func (l *lossyTable) Batch(ctx context.Context, puts []provider.Put) ([]provider.PutResult, error) {
	switch l.nextFault() {
	case 0:
		return nil, errLost
	case 1:
		_, _ = l.Table.Batch(ctx, puts)
		return nil, errLost
	}
	return l.Table.Batch(ctx, puts)
}

// fakeUpstream is a service that runs calls, refuses them, or loses requests or
// responses. nextFault returns the fault of each step.
type fakeUpstream struct {
	dispatcher.UpstreamClient
	nextFault func() int
	ran       map[string]bool
	runs      map[string]int
}

func (u *fakeUpstream) Call(_ context.Context, _ dispatcher.Target, call dispatcher.Call) (dispatcher.Response, error) {
	switch u.nextFault() {
	case 0:
		return dispatcher.Response{}, judge.Errorf(judge.NotRun, "refused")
	case 1:
		return dispatcher.Response{}, judge.Errorf(judge.MayHaveRun, "never arrived")
	}
	u.ran[fmt.Sprint(call.RequestID, call.Number)] = true
	u.runs[call.IdempotencyKey]++
	if u.nextFault() == 1 {
		return dispatcher.Response{}, judge.Errorf(judge.MayHaveRun, "answer lost")
	}
	return dispatcher.Response{Status: 200, Body: []byte(call.IdempotencyKey)}, nil
}

func (u *fakeUpstream) Progress(_ context.Context, _ dispatcher.Target, id string, attempt int) (dispatcher.Progress, error) {
	if u.nextFault() == 0 {
		return dispatcher.Progress{}, errLost
	}
	ran := u.ran[fmt.Sprint(id, attempt)]
	return dispatcher.Progress{Found: ran, Done: ran}, nil
}

func (u *fakeUpstream) Load(context.Context, dispatcher.Target) (dispatcher.Load, error) {
	return dispatcher.Load{}, nil
}

const testAnswers = `firm: f
failure_domains: [z]
organisations: [{name: o, token_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}]
deployments: [{name: s, kind: service, version: v1}, {name: m, kind: model, version: v1}]
requests:
  - {name: save, deployment: s, may_be_repeated: false, urgency: normal, answer_within: 1s, finish_within: 5s}
  - {name: ask, deployment: m, may_be_repeated: true, urgency: high, answer_within: 1s, finish_within: 5s}
moves: {finish_within: 1m}
`

func testConfig(t require.TestingT, generation uint64) []byte {
	answers, problems := planner.Check([]byte(testAnswers))
	require.Empty(t, problems)
	cfg := planner.Plan(answers)
	cfg.Generation = generation
	value, err := planner.Encode(cfg)
	require.NoError(t, err)
	return value
}

func testServer(t require.TestingT, id string, table provider.Table, upstreams dispatcher.UpstreamClient) *Server {
	s := New(Config{
		Self: tracker.Member{ID: id, FailureDomain: "z"}, Table: table, Upstreams: upstreams, Log: zerolog.Nop(), Now: time.Now,
	})
	s.state.applyConfig(time.Now(), testConfig(t, 1))
	var vms []provider.VM
	for i := range 4 {
		vms = append(vms, provider.VM{ID: fmt.Sprintf("u%d", i), Role: provider.RoleService, Deployment: "s", Version: "v1", FailureDomain: "z", Slots: 4})
	}
	s.state.applyVMList(time.Now(), vms)
	return s
}

// newTestCall returns a call that may not be repeated, with an idempotency key.
func newTestCall(s *Server, id, key string) *serviceCall {
	cfg := s.state.config()
	route, _ := cfg.Route("save")
	return &serviceCall{
		callerRequest: callerRequest{org: cfg.Organisations[0], idempotencyKey: key, requestID: id}, route: route, digest: claimer.Digest([]byte(key)),
		deadline: time.Now().Add(time.Second), upstreamCall: dispatcher.Call{Attempt: dispatcher.Attempt{RequestID: id}, IdempotencyKey: key},
	}
}

// Guards against calls that run twice and against wrong verdicts: callers repeat
// calls at two entries while the table and the upstreams refuse requests and lose
// requests and responses.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := func() int { return rapid.IntRange(0, 5).Draw(t, "fate") }
		table := &lossyTable{Table: emulator.NewPlatform(time.Now), nextFault: next}
		upstream := &fakeUpstream{nextFault: next, ran: map[string]bool{}, runs: map[string]int{}}
		entries := []*Server{testServer(t, "e1", table, upstream), testServer(t, "e2", table, upstream)}
		for step := range 12 {
			s := entries[rapid.IntRange(0, 1).Draw(t, "entry")]
			if rapid.IntRange(0, 2).Draw(t, "act") == 0 {
				if batch := s.outcomes.takeBatch(); len(batch) > 0 && s.writeOutcomeBatch(context.Background(), batch) != nil {
					s.outcomes.requeue(batch)
				}
				continue
			}
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			id := fmt.Sprintf("r%d", step)
			before := upstream.runs[key]
			response, refusal := s.callAtMostOnce(context.Background(), newTestCall(s, id, key))
			require.LessOrEqual(t, upstream.runs[key], 1, "key %s", key)
			switch {
			case refusal == nil:
				require.Equal(t, key, string(response.Body))
				require.Equal(t, 1, upstream.runs[key])
			case refusal.Verdict == judge.NotRun:
				require.Equal(t, before, upstream.runs[key], "refused with %v", refusal)
			case refusal.Verdict == judge.Ran:
				require.Equal(t, 1, upstream.runs[key], "refused with %v", refusal)
			}
		}
	})
}

// An idempotency key whose claim's write had an unknown outcome can be used again
// when the table is reachable.
func TestAbandonedClaimFreesItsKey(t *testing.T) {
	fault := 1
	table := &lossyTable{Table: emulator.NewPlatform(time.Now), nextFault: func() int { return fault }}
	upstream := &fakeUpstream{nextFault: func() int { return 5 }, ran: map[string]bool{}, runs: map[string]int{}}
	s := testServer(t, "e1", table, upstream)
	// The write takes effect, but its response and the read-back are lost.
	table.Table = &unreadableTable{Table: table.Table}
	_, refusal := s.callAtMostOnce(context.Background(), newTestCall(s, "r1", "k"))
	require.Equal(t, judge.CodeStoreUnreachable, refusal.Code)
	require.Equal(t, judge.NotRun, refusal.Verdict)
	fault = 5
	table.Table = table.Table.(*unreadableTable).Table
	require.NoError(t, s.writeOutcomeBatch(context.Background(), s.outcomes.takeBatch()))
	_, refusal = s.callAtMostOnce(context.Background(), newTestCall(s, "r2", "k"))
	require.Nil(t, refusal)
	require.Equal(t, 1, upstream.runs["k"])
}

type unreadableTable struct{ provider.Table }

func (*unreadableTable) Get(context.Context, string) (provider.Row, error) {
	return provider.Row{}, errLost
}

func TestGenerationNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testServer(t, "e1", nil, nil)
		highest := uint64(1)
		for range 20 {
			generation := rapid.Uint64Range(0, 10).Draw(t, "generation")
			applied := s.state.applyConfig(time.Now(), testConfig(t, generation))
			require.Equal(t, generation > highest, applied)
			highest = max(highest, generation)
			require.Equal(t, highest, s.state.generation())
		}
	})
}

// A duplicate that arrives after the call has run but before its outcome is
// recorded waits for the outcome and gets the response.
func TestDuplicateWaitsForRecordedOutcome(t *testing.T) {
	table := emulator.NewPlatform(time.Now)
	upstream := &fakeUpstream{nextFault: func() int { return 5 }, ran: map[string]bool{}, runs: map[string]int{}}
	s := testServer(t, "e1", table, upstream)
	_, refusal := s.callAtMostOnce(context.Background(), newTestCall(s, "r1", "k"))
	require.Nil(t, refusal)
	_, refusal = s.callAtMostOnce(context.Background(), newTestCall(s, "r2", "k"))
	require.Equal(t, judge.Ran, refusal.Verdict, "the outcome is not recorded yet")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.writeOutcomes(ctx) }()
	response, refusal := s.callAtMostOnce(context.Background(), newTestCall(s, "r3", "k"))
	require.Nil(t, refusal)
	require.Equal(t, "k", string(response.Body))
	require.Equal(t, 1, upstream.runs["k"])
}

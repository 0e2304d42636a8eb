package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// rig is an entry with one emulated engine and one emulated service.
type rig struct {
	*Server
	engine  *emulator.Engine
	service *emulator.Service
	callers *httptest.Server
	admin   *httptest.Server
}

func newRig(t testing.TB, engine emulator.EngineConfig) *rig {
	gin.SetMode(gin.ReleaseMode)
	peers, err := messenger.NewClient(messenger.ClientConfig{})
	require.NoError(t, err)
	r := &rig{engine: emulator.NewEngine(engine), service: emulator.NewService(emulator.ServiceConfig{Version: "v1", Slots: 1000})}
	upstreams := dispatcher.NewHTTP(dispatcher.Config{})
	platform := emulator.NewPlatform(time.Now)
	r.Server = New(Config{
		Self: tracker.Member{ID: "e1", FailureDomain: "z"}, Table: platform, Cloud: platform, Upstreams: upstreams, Peers: peers,
		Log: zerolog.Nop(), Now: time.Now, Operators: []Operator{{Name: "ana", TokenSHA256: tokenDigest("op")}},
	})
	answers, problems := planner.Check([]byte(strings.Replace(testAnswers, strings.Repeat("a", 64), tokenDigest("caller"), 1)))
	require.Empty(t, problems)
	cfg := planner.Plan(answers)
	cfg.Generation = 1
	value, err := planner.Encode(cfg)
	require.NoError(t, err)
	r.state.applyConfig(time.Now(), value)
	engineServer, serviceServer := httptest.NewServer(r.engine.Handler()), httptest.NewServer(r.service.Handler())
	r.state.applyVMList(time.Now(), []provider.VM{
		{ID: "m1", Role: provider.RoleEngine, Deployment: "m", Version: "v1", FailureDomain: "z", Slots: 10000, Address: engineServer.Listener.Addr().String()},
		{ID: "s1", Role: provider.RoleService, Deployment: "s", Version: "v1", FailureDomain: "z", Slots: 10000, Address: serviceServer.Listener.Addr().String()},
	})
	r.callers, r.admin = httptest.NewServer(r.Server.callerHandler()), httptest.NewServer(r.adminHandler())
	t.Cleanup(func() {
		r.cancel()
		r.callers.CloseClientConnections()
		r.callers.Close()
		r.admin.Close()
		upstreams.Close()
		engineServer.CloseClientConnections()
		engineServer.Close()
		serviceServer.Close()
	})
	return r
}

func (r *rig) post(t *testing.T, path, token, body string, headers ...string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, r.callers.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

const validChat = `{"model":"ask","messages":[{"role":"user","content":"q"}],"max_tokens":4}`

func TestBadInputIsRefused(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 100})
	chat := "/v1/chat/completions"
	for _, c := range []struct {
		name, path, token, body string
		headers                 []string
		status                  int
		code                    string
	}{
		{"no token", chat, "", validChat, nil, 401, "unauthorised"},
		{"wrong token", chat, "x", validChat, nil, 401, "unauthorised"},
		{"an operator's token", chat, "op", validChat, nil, 401, "unauthorised"},
		{"broken JSON", chat, "caller", `{"model":`, nil, 400, "bad_request"},
		{"no messages", chat, "caller", `{"model":"ask"}`, nil, 400, "bad_request"},
		{"too many tokens", chat, "caller", `{"model":"ask","messages":[{}],"max_tokens":99999999}`, nil, 400, "bad_request"},
		{"unknown model", chat, "caller", `{"model":"other","messages":[{}]}`, nil, 404, "unknown_route"},
		{"a service as model", chat, "caller", `{"model":"save","messages":[{}]}`, nil, 404, "unknown_route"},
		{"unknown service", "/services/other", "caller", "", nil, 404, "unknown_route"},
		{"a model as service", "/services/ask", "caller", "", nil, 404, "unknown_route"},
		{"unknown path", "/v2/x", "caller", "", nil, 404, "not_found"},
		{"path with dot segments", "/services/save/a/%2e%2e/b", "caller", "", nil, 400, "bad_request"},
		{"body too large", chat, "caller", strings.Repeat("x", maxBodyBytes+1), nil, 413, "too_large"},
		{"negative deadline", chat, "caller", validChat, []string{headerDeadline, "-5"}, 400, "bad_request"},
		{"deadline of years", chat, "caller", validChat, []string{headerDeadline, "999999999999"}, 400, "bad_request"},
		{"long key", chat, "caller", validChat, []string{headerIdempotencyKey, strings.Repeat("k", 257)}, 400, "bad_request"},
	} {
		status, text := r.post(t, c.path, c.token, c.body, c.headers...)
		require.Equal(t, c.status, status, "%s: %s", c.name, text)
		require.Contains(t, text, `"code":"`+c.code+`"`, c.name)
		require.Contains(t, text, `"verdict":"not_run"`, c.name)
	}
	require.Empty(t, r.engine.Runs())
	require.Empty(t, r.service.Runs())
	status, _ := r.post(t, chat, "caller", validChat)
	require.Equal(t, 200, status)
}

func TestCallersCantAdminister(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{})
	for _, token := range []string{"", "caller", "x"} {
		req, err := http.NewRequest(http.MethodGet, r.admin.URL+"/admin/v1/status", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 401, resp.StatusCode)
	}
	resp, err := http.Get(r.callers.URL + "/admin/v1/status")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 404, resp.StatusCode)
}

// Guards against goroutine leaks: callers disconnect at once, after the first byte
// or with a part of the request unsent.
func TestNoGoroutineLeakAfterDisconnects(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 1000, TokenInterval: time.Millisecond})
	status, _ := r.post(t, "/v1/chat/completions", "caller", validChat)
	require.Equal(t, 200, status)
	before := runtime.NumGoroutine()
	for i := range 20 {
		conn, err := net.Dial("tcp", r.callers.Listener.Addr().String())
		require.NoError(t, err)
		body := fmt.Sprintf(`{"model":"ask","messages":[{"content":"%d"}],"max_tokens":30000,"stream":true}`, i)
		length := len(body)
		if i%3 == 0 {
			length += 10
		}
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer caller\r\nContent-Length: %d\r\n\r\n%s", length, body)
		require.NoError(t, err)
		if i%3 == 1 {
			_, err = conn.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		require.NoError(t, conn.Close())
	}
	for _, open := range r.runs.open() {
		open.cancel()
	}
	require.Eventually(t, func() bool {
		for _, open := range r.runs.open() {
			open.cancel()
		}
		http.DefaultClient.CloseIdleConnections()
		r.cfg.Upstreams.(*dispatcher.HTTP).Close()
		return runtime.NumGoroutine() <= before+5
	}, 30*time.Second, 20*time.Millisecond)
}

// A run whose callers have disconnected is canceled after unreadTimeout, which
// frees its upstream's slot. Before that a caller can reconnect.
func TestUnreadRunsEnd(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 10, TokenInterval: time.Millisecond})
	start := time.Now()
	var elapsed atomic.Int64
	r.cfg.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.callers.URL+"/v1/chat/completions",
		strings.NewReader(`{"model":"ask","messages":[{"content":"q"}],"max_tokens":30000,"stream":true}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer caller")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { return r.runs.open()[0].buffer.Readers() == 0 }, 10*time.Second, time.Millisecond)
	r.housekeep(context.Background())
	require.Len(t, r.runs.open(), 1, "a caller may still reconnect")
	elapsed.Store(int64(unreadTimeout + time.Second))
	r.housekeep(context.Background())
	require.Eventually(t, func() bool { return len(r.runs.open()) == 0 }, 10*time.Second, time.Millisecond)
}

// Attempts that end because the caller disconnected are no failures: the upstream
// stays live, and they don't count against the new version of a move.
func TestDisconnectsDoNotCountAsFailures(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 100, TokenInterval: time.Millisecond})
	r.state.mergeMove(mover.Start(time.Now(), mover.Move{ID: "m", Epoch: 1, Deployment: "m", From: "v0", To: "v1"}, "ana", time.Minute))
	for i := range 10 {
		req, err := http.NewRequest(http.MethodPost, r.callers.URL+"/v1/chat/completions",
			strings.NewReader(fmt.Sprintf(`{"model":"ask","messages":[{"content":"%d"}],"max_tokens":30000,"stream":true}`, i)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer caller")
		r.state.moves["m"].move.Step = 4
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, err = resp.Body.Read(make([]byte, 1))
		require.NoError(t, err)
		for _, open := range r.runs.open() {
			open.cancel()
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	for _, status := range r.state.router.Statuses() {
		require.EqualValues(t, "live", status.State, status.ID)
	}
	require.Zero(t, r.state.moves["m"].newVersionOutcomes)
	require.EqualValues(t, mover.Moving, r.state.moves["m"].move.State)
}

package dispatcher_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// serveRaw answers each request with the bytes that respond returns and then ends the
// connection.
func serveRaw(t *testing.T, respond func(r *http.Request) (response []byte, reset bool)) dispatcher.Target {
	t.Helper()
	server, err := emulator.NewRaw(func(conn net.Conn, r *http.Request) bool {
		response, reset := respond(r)
		_, _ = conn.Write(response)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return dispatcher.Target{ID: "u", Address: server.Address()}
}

// The server closes its connections, and a client must not reuse one.
const rawHead = "200 OK\r\nConnection: close\r\nX-Request-Id: r\r\nX-Attempt: 1\r\nContent-Type: text/event-stream\r\n"

// rawFramings return a response with a body that its framing says is whole.
var rawFramings = map[string]func(body string) string{
	"none":     func(body string) string { return "HTTP/1.1 " + rawHead + "\r\n" + body },
	"HTTP 1.0": func(body string) string { return "HTTP/1.0 " + rawHead + "\r\n" + body },
	"length": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", rawHead, len(body), body)
	},
	"chunks": func(body string) string {
		if body == "" {
			return "HTTP/1.1 " + rawHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", rawHead, len(body), body)
	},
}

// A stream that ended inside its last event, before the empty line, was complete for its
// caller.
func TestStreamsThatEndInsideAnEvent(t *testing.T) {
	h := dispatcher.NewHTTP(dispatcher.Config{})
	defer h.Close()
	for framing, encode := range rawFramings {
		for _, line := range []string{"\n", "\r\n", "\r"} {
			t.Run(fmt.Sprintf("%s/%q", framing, line), func(t *testing.T) {
				first := fmt.Sprintf(`data: {"request_id":"r","attempt":1,"offset":0,"text":"a"}%s%s`, line, line)
				whole := first + fmt.Sprintf(`data: {"request_id":"r","attempt":1,"offset":1,"text":"b","done":true}%s%s`, line, line)
				sent := 0
				target := serveRaw(t, func(*http.Request) ([]byte, bool) { return []byte(encode(whole[:sent])), false })
				for sent = range len(whole) + 1 {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					stream, err := h.Generate(ctx, target, dispatcher.Attempt{RequestID: "r", Number: 1, Body: []byte("{}")})
					require.NoError(t, err)
					text, done := "", false
					for part, partErr := range stream.Parts() {
						if err = partErr; err == nil {
							text, done = text+part.Text, part.Done
						}
					}
					stream.Close()
					cancel()
					ended := strings.TrimSuffix(whole[:sent], "\n")
					if complete := ended == strings.TrimSuffix(whole, "\n"); complete {
						require.NoError(t, err, "%q", whole[:sent])
						require.Equal(t, "ab", text)
						require.True(t, done)
						continue
					}
					require.Error(t, err, "%q", whole[:sent])
					require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
					want := ""
					if len(ended) >= len(strings.TrimSuffix(first, "\n")) {
						want = "a"
					}
					require.Equal(t, want, text, "%q", whole[:sent])
					require.False(t, done)
				}
			})
		}
	}
}

// A call's response that is cut or reset is no response, whatever its framing.
func TestCallsThatBreakOff(t *testing.T) {
	h := dispatcher.NewHTTP(dispatcher.Config{})
	defer h.Close()
	for framing, encode := range rawFramings {
		whole := encode("the whole body")
		for _, resets := range []bool{false, true} {
			for sent := range len(whole) {
				target := serveRaw(t, func(*http.Request) ([]byte, bool) { return []byte(whole[:sent]), resets })
				response, err := h.Call(context.Background(), target, call(true))
				bodyMayEnd := !resets && (framing == "none" || framing == "HTTP 1.0") && strings.Contains(whole[:sent], "\r\n\r\n")
				if bodyMayEnd {
					require.NoError(t, err)
					_, body, _ := strings.Cut(whole[:sent], "\r\n\r\n")
					require.Equal(t, body, string(response.Body))
					continue
				}
				require.Error(t, err, "%s, reset %t: %q", framing, resets, whole[:sent])
				require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
			}
		}
	}
}

// An upstream wrote an earlier refusal once more on a kept connection, and the next request,
// which it ran, counted as refused.
func TestRepeatedRefusalsAreNotThoseOfTheNextRequest(t *testing.T) {
	refusal := func(ids string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + ids + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	const first, other = "X-Request-Id: r\r\nX-Attempt: 1\r\n", "X-Request-Id: r\r\nX-Attempt: 2\r\n"
	for name, c := range map[string]struct{ first, second string }{
		"of another attempt": {first: refusal(first), second: refusal(first)},
		"without ids":        {first: refusal(""), second: refusal("")},
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			server, err := emulator.NewRaw(func(conn net.Conn, _ *http.Request) bool {
				requests++
				response := c.first
				if requests > 1 {
					response = c.second
				}
				_, err := conn.Write([]byte(response))
				return err == nil
			})
			require.NoError(t, err)
			defer server.Close()
			h := dispatcher.NewHTTP(dispatcher.Config{})
			defer h.Close()
			target := dispatcher.Target{ID: "u", Address: server.Address()}
			_, err = h.Generate(context.Background(), target, dispatcher.Attempt{RequestID: "r", Number: 1, Body: []byte("{}")})
			require.Equal(t, judge.NotRun, judge.VerdictOf(err), "%v", err)
			_, err = h.Generate(context.Background(), target, dispatcher.Attempt{RequestID: "r", Number: 2, Body: []byte("{}")})
			require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err), "%v", err)
		})
	}
	target := serveRaw(t, func(*http.Request) ([]byte, bool) { return []byte(refusal(other)), false })
	h := dispatcher.NewHTTP(dispatcher.Config{})
	defer h.Close()
	_, err := h.Generate(context.Background(), target, dispatcher.Attempt{RequestID: "r", Number: 2, Body: []byte("{}")})
	require.Equal(t, judge.NotRun, judge.VerdictOf(err), "%v", err)
}

// allocated returns the memory that f allocates, in MiB. Nothing else may run.
func allocated(f func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int((after.TotalAlloc - before.TotalAlloc) >> 20)
}

// An upstream sent a head, an event, a report or a KV cache without end.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 " + rawHead
	long := strings.Repeat("x", 12<<20)
	h := dispatcher.NewHTTP(dispatcher.Config{})
	defer h.Close()
	ctx := context.Background()
	// drained is an upstream that accepts a cache and says so only if it was whole.
	drained := serveRaw(t, func(*http.Request) ([]byte, bool) {
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), false
	})
	for name, c := range map[string]struct {
		response string
		use      func(target dispatcher.Target) error
		// most is the memory that the client may allocate, in MiB.
		most int
	}{
		"head of a call": {response: head + "X-Long: " + long, most: 1, use: func(target dispatcher.Target) error {
			_, err := h.Call(ctx, target, call(true))
			return err
		}},
		"head of a stream": {response: head + "X-Long: " + long, most: 1, use: func(target dispatcher.Target) error {
			_, err := h.Generate(ctx, target, dispatcher.Attempt{RequestID: "r", Number: 1, Body: []byte("{}")})
			return err
		}},
		"event": {response: head + "\r\ndata: " + long, most: 2, use: func(target dispatcher.Target) error {
			stream, err := h.Generate(ctx, target, dispatcher.Attempt{RequestID: "r", Number: 1, Body: []byte("{}")})
			require.NoError(t, err)
			defer stream.Close()
			for _, err = range stream.Parts() {
			}
			return err
		}},
		"body": {response: head + "\r\n" + long, most: 48, use: func(target dispatcher.Target) error {
			_, err := h.Call(ctx, target, call(true))
			return err
		}},
		"report": {response: head + "\r\n{\"version\":\"" + long, most: 1, use: func(target dispatcher.Target) error {
			_, err := h.Load(ctx, target)
			return err
		}},
		"cache": {response: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(long), long), most: 1, use: func(target dispatcher.Target) error {
			return h.MoveKV(ctx, target, drained, "r", 1)
		}},
		"cache without a length": {response: head + "\r\nxyz", most: 1, use: func(target dispatcher.Target) error {
			return h.MoveKV(ctx, target, drained, "r", 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			response := []byte(c.response)
			target := serveRaw(t, func(*http.Request) ([]byte, bool) { return response, false })
			var err error
			used := allocated(func() { err = c.use(target) })
			t.Logf("%d MiB: %v", used, err)
			require.Error(t, err)
			require.LessOrEqual(t, used, c.most)
		})
	}
}

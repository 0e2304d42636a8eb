package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
)

// BenchmarkOpenStreams holds streams open, for heap profiles of what each
// takes; the profile holds the caller's and the engine's part too.
func BenchmarkOpenStreams(b *testing.B) {
	r := newRig(b, emulator.EngineConfig{Version: "v1", Slots: 100000, FirstTokenDelay: time.Millisecond, TokenInterval: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := 0; b.Loop(); i++ {
		body := fmt.Sprintf(`{"model":"ask","messages":[{"content":"%d"}],"max_tokens":3000,"stream":true}`, i)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.callers.URL+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer caller")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(b, err)
		_, err = resp.Body.Read(make([]byte, 1))
		require.NoError(b, err)
	}
}

// BenchmarkTokens measures what relaying one token costs in all processes.
func BenchmarkTokens(b *testing.B) {
	r := newRig(b, emulator.EngineConfig{Version: "v1", Slots: 100000})
	const tokens = 1000
	body := fmt.Sprintf(`{"model":"ask","messages":[{"content":"q"}],"max_tokens":%d,"stream":true}`, tokens)
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, r.callers.URL+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer caller")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		resp.Body.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

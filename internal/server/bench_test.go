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

// BenchmarkOpenStreams keeps streams open, for heap profiles of the memory per
// stream. The profiles include the memory of the caller and of the engine.
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

// BenchmarkTokens measures the time to relay one token, including the work of the
// caller and of the engine.
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

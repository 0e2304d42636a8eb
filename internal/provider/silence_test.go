package provider_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
)

// Several kept connections to the platform go silent while new ones work. Each of them cost
// a call its whole timeout, one after the other.
func TestCallsOverSilentConnections(t *testing.T) {
	const calls = 4
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := emulator.NewListener(inner)
	// Calls wait for each other, so that each needs a connection of its own.
	var together sync.WaitGroup
	together.Add(calls)
	platform := emulator.NewPlatform(time.Now).Handler()
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cloud/notices" {
			together.Done()
			together.Wait()
		}
		platform.ServeHTTP(w, r)
	})}}
	server.Start()
	defer server.CloseClientConnections()
	h := provider.NewHTTP(provider.HTTPConfig{BaseURL: server.URL, Timeout: 300 * time.Millisecond})
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			_, err := h.Notices(context.Background())
			require.NoError(t, err)
		})
	}
	done.Wait()
	listener.Silence()
	_, err = h.VMs(context.Background())
	require.Error(t, err)
	_, err = h.VMs(context.Background())
	require.NoError(t, err, "a second silent connection was used")
}

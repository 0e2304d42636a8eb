package provider_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
)

func TestPutWithReadBackDetectsItsOwnWrite(t *testing.T) {
	platform := emulator.NewPlatform(time.Now)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	h := provider.NewHTTP(provider.HTTPConfig{BaseURL: server.URL})
	ctx := context.Background()

	platform.SetFaults(emulator.PlatformFaults{LoseWrites: 1})
	result, err := provider.PutWithReadBack(ctx, h, provider.Put{Key: "k", Value: []byte("mine")})
	require.NoError(t, err)
	require.True(t, result.Applied, "the response was lost; the row shows the write")
	require.EqualValues(t, 1, result.Row.Version)

	result, err = provider.PutWithReadBack(ctx, h, provider.Put{Key: "k", Value: []byte("other")})
	require.NoError(t, err)
	require.False(t, result.Applied)
	require.Equal(t, "mine", string(result.Row.Value))

	platform.SetFaults(emulator.PlatformFaults{Down: true})
	_, err = provider.PutWithReadBack(ctx, h, provider.Put{Key: "k", Value: []byte("x"), Expect: 1})
	require.Error(t, err)
}

func TestScanReadsByPrefixFromEitherEnd(t *testing.T) {
	platform := emulator.NewPlatform(time.Now)
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	h := provider.NewHTTP(provider.HTTPConfig{BaseURL: server.URL})
	ctx := context.Background()
	for _, key := range []string{"a/2", "b/1", "a/1", "a/3"} {
		_, err := h.Put(ctx, provider.Put{Key: key, Value: []byte(key)})
		require.NoError(t, err)
	}
	rows, err := h.Scan(ctx, provider.Scan{Prefix: "a/", After: "a/1", Reverse: true, Limit: 1})
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, "a/3", rows[0].Key)
	rows, err = h.Scan(ctx, provider.Scan{Prefix: "a/"})
	require.NoError(t, err)
	require.Len(t, rows, 3)
}

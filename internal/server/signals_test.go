package server

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// setFaults sets the faults of both upstreams of a rig.
func (r *rig) setFaults(f emulator.UpstreamFaults) {
	r.engine.SetFaults(f)
	r.service.SetFaults(f)
}

// received returns the number of requests that both upstreams of a rig have received.
func (r *rig) received(t *testing.T) int {
	t.Helper()
	total := 0
	for _, vm := range r.state.vms {
		response, err := http.Get("http://" + vm.Address + "/control/requests")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		var n int
		require.NoError(t, json.Unmarshal(body, &n))
		total += n
	}
	return total
}

var signalRequests = []struct{ path, body string }{
	{"/v1/chat/completions", validChat}, {"/services/save/x", "{}"},
}

// refused sends a request of each kind and returns the refusals, which must be immediate.
func (r *rig) refused(t *testing.T) []judge.Refusal {
	t.Helper()
	var refusals []judge.Refusal
	for _, request := range signalRequests {
		start := time.Now()
		status, text := r.post(t, request.path, "caller", request.body)
		require.Equal(t, http.StatusServiceUnavailable, status, text)
		require.Less(t, time.Since(start), time.Second)
		var refusal judge.Refusal
		require.NoError(t, json.Unmarshal([]byte(text), &refusal))
		require.Equal(t, judge.NotRun, refusal.Verdict)
		require.Positive(t, refusal.RetryAfterMS)
		refusals = append(refusals, refusal)
	}
	return refusals
}

// An upstream whose responses said that it leaves got requests until the platform's notice
// arrived.
func TestResponseThatSaysTheUpstreamLeaves(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 100})
	r.setFaults(emulator.UpstreamFaults{SayLeaving: true, LeavingMS: 60_000})
	for _, request := range signalRequests {
		status, text := r.post(t, request.path, "caller", request.body)
		require.Equal(t, http.StatusOK, status, text)
	}
	before := r.received(t)
	r.state.mu.Lock()
	for _, vm := range r.state.vms {
		require.Equal(t, router.CauseLeaving, r.state.router.Admission(time.Now(), vm.ID).Cause)
	}
	vms := r.state.vms
	r.state.mu.Unlock()
	r.state.applyVMList(time.Now(), vms)
	for _, request := range signalRequests {
		status, text := r.post(t, request.path, "caller", request.body)
		require.Equal(t, http.StatusServiceUnavailable, status, text)
	}
	require.Equal(t, before, r.received(t))
}

// An upstream that refused a request with Retry-After got requests and queries before that
// time was over, and callers waited for it until their deadline.
func TestRetryAfterOfAnUpstream(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 100})
	const wait = 1500 * time.Millisecond
	r.setFaults(emulator.UpstreamFaults{Refuse: true, RetryAfterMS: wait.Milliseconds()})
	start := time.Now()
	for _, refusal := range r.refused(t) {
		require.Greater(t, refusal.RetryAfterMS, wait.Milliseconds()/2)
	}
	r.setFaults(emulator.UpstreamFaults{})
	before := r.received(t)
	r.refused(t)
	r.syncLoads(t.Context())
	for _, vm := range r.state.vms {
		require.Equal(t, probeSilent, r.probe(t.Context(), dispatcher.Target{ID: vm.ID, Address: vm.Address}, ""))
		r.state.mu.Lock()
		require.Empty(t, r.state.bootIDs[vm.ID], "its load is not queried")
		r.state.mu.Unlock()
	}
	require.Equal(t, before, r.received(t))
	require.Less(t, time.Since(start), wait)
	require.Eventually(t, func() bool {
		for _, request := range signalRequests {
			if status, _ := r.post(t, request.path, "caller", request.body); status != http.StatusOK {
				return false
			}
		}
		return true
	}, 4*wait, 50*time.Millisecond)
	require.Greater(t, time.Since(start), wait)
}

// A stream was sent on to the upstream that had its KV cache although that leaves.
func TestMovedStreamAvoidsALeavingUpstream(t *testing.T) {
	r := newRig(t, emulator.EngineConfig{Version: "v1", Slots: 100})
	intr := interruption{action: reclaimer.MoveKV, nextTarget: dispatcher.Target{ID: "m1"}}
	require.Equal(t, intr, r.usable(intr))
	r.recordSignals(dispatcher.Target{ID: "m1"}, dispatcher.Signals{Leaving: true})
	require.Equal(t, interruption{action: reclaimer.Resume}, r.usable(intr))
}

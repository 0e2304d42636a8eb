package emulator

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/google/uuid"
)

// upstream is the common part of Engine and Service: faults, request counts and
// a journal.
type upstream struct {
	journal
	version  string
	slots    int
	bootID   string
	mu       sync.Mutex
	faults   UpstreamFaults
	running  int
	requests int
}

func newUpstream(version string, slots int) upstream {
	return upstream{version: version, slots: slots, bootID: uuid.NewString()}
}

// begin counts a request and returns the faults that apply to it.
func (u *upstream) begin(route string) UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests++
	u.running++
	f := u.faults
	if !f.matches(route, u.requests, u.running) {
		f.Fail, f.DelayMS = false, 0
	}
	return f
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// SetFaults replaces the faults.
func (u *upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// signaling adds to each response what the faults say that it has to say.
func (u *upstream) signaling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		f := u.faults
		u.mu.Unlock()
		if f.SayLeaving {
			w.Header().Set("X-Leaving-Ms", strconv.FormatInt(f.LeavingMS, 10))
		}
		next.ServeHTTP(w, r)
	})
}

// mount registers the handlers for the load report, the faults, the request
// count and the journal.
func (u *upstream) mount(mux *http.ServeMux, setFaults func(UpstreamFaults)) {
	mux.HandleFunc("GET /load", handleJSON(func(*http.Request, struct{}) (Load, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return Load{Version: u.version, Running: u.running, Slots: u.slots, LeavingMS: u.faults.LeavingMS, BootID: u.bootID}, nil
	}))
	mux.HandleFunc("POST /control/faults", handleJSON(func(_ *http.Request, f UpstreamFaults) (UpstreamFaults, error) {
		setFaults(f)
		return f, nil
	}))
	mux.HandleFunc("GET /control/requests", handleJSON(func(*http.Request, struct{}) (int, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.requests, nil
	}))
	u.journal.mount(mux)
}

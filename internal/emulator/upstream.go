package emulator

import (
	"net/http"
	"sync"

	"github.com/google/uuid"
)

// upstream is what engines and services have in common: faults, counts of
// requests and a journal.
type upstream struct {
	journal
	version  string
	slots    int
	boot     string
	mu       sync.Mutex
	faults   EngineFaults
	running  int
	requests int
}

func newUpstream(version string, slots int) upstream {
	return upstream{version: version, slots: slots, boot: uuid.NewString()}
}

// begin counts a request and returns the faults that hit it.
func (u *upstream) begin(route string) EngineFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests++
	u.running++
	f := u.faults
	if !f.hits(route, u.requests, u.running) {
		f.Fail, f.DelayMS = false, 0
	}
	return f
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// SetFaults replaces the faults in force.
func (u *upstream) SetFaults(f EngineFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// mount adds the load report, the journal and the control of faults.
func (u *upstream) mount(mux *http.ServeMux, set func(EngineFaults)) {
	mux.HandleFunc("GET /load", handle(func(*http.Request, struct{}) (Load, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return Load{Version: u.version, Running: u.running, Slots: u.slots, LeavingMS: u.faults.LeavingMS, Boot: u.boot}, nil
	}))
	mux.HandleFunc("POST /control/faults", handle(func(_ *http.Request, f EngineFaults) (EngineFaults, error) {
		set(f)
		return f, nil
	}))
	mux.HandleFunc("GET /control/requests", handle(func(*http.Request, struct{}) (int, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.requests, nil
	}))
	u.journal.mount(mux)
}

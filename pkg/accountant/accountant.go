package accountant

import (
	"maps"
	"time"
)

// Window is the number of a time window. Window w begins w times the window
// length after the Unix epoch.
type Window = int64

// Counts are numbers of requests by organisation.
type Counts = map[string]int

// Config configures an Accountant.
type Config struct {
	// Self names this process. A restarted process has a new name.
	Self string
	// Window is the length of a window.
	Window time.Duration
	// MaxWindows is the number of most recent windows that are kept.
	MaxWindows int
}

// Accountant holds the counts of all processes. It is not safe for concurrent
// use.
type Accountant struct {
	cfg     Config
	windows map[Window]map[string]Counts
}

// New returns an accountant without counts.
func New(cfg Config) *Accountant {
	return &Accountant{cfg: cfg, windows: map[Window]map[string]Counts{}}
}

// WindowAt returns the window that a wall-clock time is in.
func (a *Accountant) WindowAt(t time.Time) Window {
	return t.UnixMilli() / a.cfg.Window.Milliseconds()
}

// WindowEnd returns the end of a window.
func (a *Accountant) WindowEnd(w Window) time.Time {
	return time.UnixMilli((w + 1) * a.cfg.Window.Milliseconds())
}

// CountStart counts a request that started to run at the given time.
func (a *Accountant) CountStart(at time.Time, org string) {
	w := a.WindowAt(at)
	a.countsOf(w, a.cfg.Self)[org]++
	a.deleteExpired(w)
}

func (a *Accountant) countsOf(w Window, process string) Counts {
	processes, ok := a.windows[w]
	if !ok {
		processes = map[string]Counts{}
		a.windows[w] = processes
	}
	counts, ok := processes[process]
	if !ok {
		counts = Counts{}
		processes[process] = counts
	}
	return counts
}

func (a *Accountant) deleteExpired(newest Window) {
	for w := range a.windows {
		if w <= newest-int64(a.cfg.MaxWindows) {
			delete(a.windows, w)
		}
	}
}

// Merge takes in the counts of another process, which it sent itself or which
// were sent on its behalf, and keeps the larger count of each organisation.
// Counts of this process are ignored.
func (a *Accountant) Merge(process string, received map[Window]Counts) {
	if process == a.cfg.Self {
		return
	}
	for w, counts := range received {
		merged := a.countsOf(w, process)
		for org, n := range counts {
			merged[org] = max(merged[org], n)
		}
	}
}

// LocalCounts returns this process's counts in window since and later ones.
func (a *Accountant) LocalCounts(since Window) map[Window]Counts {
	return a.ProcessCounts(a.cfg.Self, since)
}

// ProcessCounts returns the counts of a process in window since and later ones.
func (a *Accountant) ProcessCounts(process string, since Window) map[Window]Counts {
	result := map[Window]Counts{}
	for w, processes := range a.windows {
		if counts, ok := processes[process]; ok && w >= since {
			result[w] = maps.Clone(counts)
		}
	}
	return result
}

// Total returns the sum of all processes' counts in a window.
func (a *Accountant) Total(w Window) Counts {
	total := Counts{}
	for _, counts := range a.windows[w] {
		for org, n := range counts {
			total[org] += n
		}
	}
	return total
}

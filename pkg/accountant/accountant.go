package accountant

import (
	"maps"
	"time"
)

// Window is the number of a window: it begins at Window times the length of a
// window after the start of 1970.
type Window = int64

// Counts are requests by organisation.
type Counts = map[string]int

// Config sets an accountant up.
type Config struct {
	// Self names this process; a restart has another name.
	Self string
	// Window is the length of a window.
	Window time.Duration
	// MaxWindows is the number of windows that are remembered.
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

// WindowAt returns the window that a time of the wall clock falls in.
func (a *Accountant) WindowAt(t time.Time) Window {
	return t.UnixMilli() / a.cfg.Window.Milliseconds()
}

// WindowEnd returns when a window is over.
func (a *Accountant) WindowEnd(w Window) time.Time {
	return time.UnixMilli((w + 1) * a.cfg.Window.Milliseconds())
}

// CountStart counts a request that began to run at a time.
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

// Merge takes what a process told of its own counts.
func (a *Accountant) Merge(process string, told map[Window]Counts) {
	if process == a.cfg.Self {
		return
	}
	for w, counts := range told {
		own := a.countsOf(w, process)
		for org, n := range counts {
			own[org] = max(own[org], n)
		}
	}
}

// LocalCounts returns this process's counts since a window.
func (a *Accountant) LocalCounts(since Window) map[Window]Counts {
	return a.ProcessCounts(a.cfg.Self, since)
}

// ProcessCounts returns what is known of a process's counts since a window.
func (a *Accountant) ProcessCounts(process string, since Window) map[Window]Counts {
	told := map[Window]Counts{}
	for w, processes := range a.windows {
		if counts, ok := processes[process]; ok && w >= since {
			told[w] = maps.Clone(counts)
		}
	}
	return told
}

// Total returns the counts of all processes in a window.
func (a *Accountant) Total(w Window) Counts {
	total := Counts{}
	for _, counts := range a.windows[w] {
		for org, n := range counts {
			total[org] += n
		}
	}
	return total
}

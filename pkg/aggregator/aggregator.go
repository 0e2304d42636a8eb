package aggregator

import "time"

// Totals are counters by name, counted since a process booted.
type Totals = map[string]float64

// Report is one message about a group's counters.
type Report struct {
	// Group is whose counters they are, Source who tells of them.
	Group  string
	Source string
	// Boot is when the source's process booted; a later one is larger.
	Boot uint64
	// Entries is the number of entries whose counters are in the sum.
	Entries int
	Totals  Totals
}

// Aggregator is one entry's view of the counters of others. It is not safe for
// concurrent use.
type Aggregator struct {
	peerTimeout time.Duration
	groups      map[string]*group
}

// group is heard from one source at a time. The others stand by.
type group struct {
	active  string
	sources map[string]*source
}

type source struct {
	boot       uint64
	receivedAt time.Time
	entries    int
	lastTotals Totals
	// pending is what the source has told since the active one was last heard.
	pending Totals
}

// New returns an aggregator that has heard nothing. A source counts as heard for
// reach after its last report.
func New(reach time.Duration) *Aggregator {
	return &Aggregator{peerTimeout: reach, groups: map[string]*group{}}
}

// Merge takes a report and returns by how much the group's counters have grown,
// as far as that has not been told before. The first report of a group says
// where its counters stand and adds nothing.
func (a *Aggregator) Merge(now time.Time, r Report) Totals {
	g, ok := a.groups[r.Group]
	if !ok {
		g = &group{sources: map[string]*source{}}
		a.groups[r.Group] = g
	}
	s, known := g.sources[r.Source]
	if known && s.boot > r.Boot && now.Sub(s.receivedAt) <= a.peerTimeout {
		// It is an old message. From a source that was silent it would be that of
		// a new process whose clock was set back.
		return nil
	}
	if !known {
		s = &source{boot: r.Boot, lastTotals: Totals{}, pending: Totals{}}
		g.sources[r.Source] = s
		for name, total := range r.Totals {
			s.lastTotals[name] = total
		}
	} else if s.boot != r.Boot {
		s.boot, s.lastTotals = r.Boot, Totals{}
	}
	s.receivedAt, s.entries = now, r.Entries
	for name, total := range r.Totals {
		if more := total - s.lastTotals[name]; more > 0 {
			s.lastTotals[name] = total
			s.pending[name] += more
		}
	}
	return g.drain(now, r.Source, a.peerTimeout)
}

// drain returns what the group's active source has told beyond what was taken
// before. A source takes over from one that has fallen silent.
func (g *group) drain(now time.Time, id string, reach time.Duration) Totals {
	active, ok := g.sources[g.active]
	if id != g.active && ok && now.Sub(active.receivedAt) <= reach {
		return nil
	}
	g.active = id
	more := g.sources[id].pending
	if len(more) == 0 {
		// An old message of the active source says nothing of what a standby has
		// told since.
		return nil
	}
	for _, s := range g.sources {
		s.pending = Totals{}
	}
	return more
}

// Active reports whether a source is the one that its group is heard from.
func (a *Aggregator) Active(group, source string) bool {
	g, ok := a.groups[group]
	return ok && g.active == source
}

// Entries returns how many entries are heard, through whomever.
func (a *Aggregator) Entries(now time.Time) int {
	heard := 0
	for _, g := range a.groups {
		if s, ok := g.sources[g.active]; ok && now.Sub(s.receivedAt) <= a.peerTimeout {
			heard += s.entries
		}
	}
	return heard
}

// Drop forgets a source that is gone. It reports whether its group can still be
// heard.
func (a *Aggregator) Drop(group, source string) bool {
	g, ok := a.groups[group]
	if !ok {
		return false
	}
	delete(g.sources, source)
	if len(g.sources) == 0 {
		delete(a.groups, group)
		return false
	}
	return true
}

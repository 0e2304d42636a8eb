package aggregator

import "time"

// Totals are counters by name, counted since a process started.
type Totals = map[string]float64

// Report is one message with the counters of a group.
type Report struct {
	// Group is the group that the counters belong to. Source is the entry that
	// sent the report.
	Group  string
	Source string
	// Boot identifies the run of the source's process; a later run has a larger one.
	Boot uint64
	// Entries is the number of entries whose counters are in Totals.
	Entries int
	Totals  Totals
}

// Aggregator holds the counters of other entries as one entry has received
// them. It is not safe for concurrent use.
type Aggregator struct {
	peerTimeout time.Duration
	groups      map[string]*group
}

// group is a group's sources. Only the reports of the active one are counted;
// the others are standbys.
type group struct {
	active  string
	sources map[string]*source
}

type source struct {
	boot       uint64
	receivedAt time.Time
	entries    int
	lastTotals Totals
	// pending is the growth that the source has reported since growth of the group
	// was last counted.
	pending Totals
}

// New returns an empty aggregator. A source counts as reachable for peerTimeout
// after its last report.
func New(peerTimeout time.Duration) *Aggregator {
	return &Aggregator{peerTimeout: peerTimeout, groups: map[string]*group{}}
}

// Merge adds a report and returns the growth of the group's counters that was
// not returned before. The first report of a source only sets its starting
// point.
func (a *Aggregator) Merge(now time.Time, r Report) Totals {
	g, ok := a.groups[r.Group]
	if !ok {
		g = &group{sources: map[string]*source{}}
		a.groups[r.Group] = g
	}
	s, found := g.sources[r.Source]
	if found && s.boot > r.Boot && now.Sub(s.receivedAt) <= a.peerTimeout {
		// The report is from an earlier run of the process. If the source has been
		// silent for longer than peerTimeout, the report counts as one of a new run
		// whose clock was set back.
		return nil
	}
	if !found {
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
		if growth := total - s.lastTotals[name]; growth > 0 {
			s.lastTotals[name] = total
			s.pending[name] += growth
		}
	}
	return g.drain(now, r.Source, a.peerTimeout)
}

// drain returns the uncounted growth if id is the active source, or becomes active
// because no source is or the active one has timed out. It resets the pending
// growth of all sources.
func (g *group) drain(now time.Time, id string, peerTimeout time.Duration) Totals {
	active, ok := g.sources[g.active]
	if id != g.active && ok && now.Sub(active.receivedAt) <= peerTimeout {
		return nil
	}
	g.active = id
	growth := g.sources[id].pending
	if len(growth) == 0 {
		// A late report of the active source does not cover what a standby has
		// reported since, so the standby's pending growth must stay.
		return nil
	}
	for _, s := range g.sources {
		s.pending = Totals{}
	}
	return growth
}

// Active reports whether a source is the active one of its group.
func (a *Aggregator) Active(group, source string) bool {
	g, ok := a.groups[group]
	return ok && g.active == source
}

// Entries returns the number of entries whose counters arrive, directly or
// through a relay.
func (a *Aggregator) Entries(now time.Time) int {
	entries := 0
	for _, g := range a.groups {
		if s, ok := g.sources[g.active]; ok && now.Sub(s.receivedAt) <= a.peerTimeout {
			entries += s.entries
		}
	}
	return entries
}

// Drop removes a source and reports whether the group has sources left.
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

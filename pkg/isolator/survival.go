package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tellSurvivalFor is the time after a crash of a part in which peers are told of its
	// survivals, and the age of those that they are told of.
	tellSurvivalFor = 10 * time.Second
	// A part is common if it has more than commonShare of the latest survivals, of which
	// there are at least minCommonSurvivals.
	commonShare        = 0.1
	minCommonSurvivals = 20
	// survivalWindow is the time for which the survivals of a generation are counted.
	survivalWindow = 5 * time.Second
)

// IsCommon reports whether many of the latest requests had a part.
func (i *Isolator) IsCommon(f Fingerprint) bool { return i.survivals.isCommon(f) }

// RecordSurvival records that an upstream has answered a request with the given parts, from
// the given time on, and still ran later. It clears the crashes of these parts before that.
func (i *Isolator) RecordSurvival(now, began time.Time, parts []Part) {
	parts = parts[:min(len(parts), maxParts)]
	i.survivals.add(now, began, parts)
	for _, p := range parts {
		i.clearPart(now, p.Fingerprint, began)
	}
}

// clearPart drops the crashes of a part until a survival that began at the given time, and
// ends its trial.
func (i *Isolator) clearPart(now time.Time, f Fingerprint, began time.Time) {
	if h, ok := i.histories[f]; ok && (len(h.crashes) > 0 || h.onTrial || h.quarantinedUntil.After(now)) {
		i.complete(now, f, began)
	}
}

// Survival is the latest survival of a part that an entry knows of.
type Survival struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// AgeMS is the time since the answer began, in milliseconds.
	AgeMS int64
}

// Survivals returns the latest survivals of at most n parts to which crashes were attributed
// lately, first of those with most crashes.
func (i *Isolator) Survivals(now time.Time, n int) []Survival {
	type sighted struct {
		Survival
		sightings int
	}
	var all []sighted
	for f, h := range i.histories {
		if !h.isPart() || now.Sub(h.lastCrashAt) > tellSurvivalFor {
			continue
		}
		if at := i.survivals.at(f); !at.IsZero() && h.lastCrashAt.Sub(at) < tellSurvivalFor {
			all = append(all, sighted{Survival: Survival{Fingerprint: f, AgeMS: now.Sub(at).Milliseconds()}, sightings: h.sightings})
		}
	}
	slices.SortFunc(all, func(a, b sighted) int {
		return cmp.Or(cmp.Compare(b.sightings, a.sightings), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	var latest []Survival
	for _, s := range all[:min(n, len(all))] {
		latest = append(latest, s.Survival)
	}
	return latest
}

// MergeSurvivals takes the survivals that a peer knows of into account.
func (i *Isolator) MergeSurvivals(now time.Time, latest []Survival) {
	for _, s := range latest {
		began := now.Add(-time.Duration(max(0, s.AgeMS)) * time.Millisecond)
		if i.survivals.merge(s.Fingerprint, began) {
			i.clearPart(now, s.Fingerprint, began)
		}
	}
}

// latestTimes holds the latest times of events of one kind, in a ring.
type latestTimes struct {
	times [64]time.Time
	next  int
}

func (l *latestTimes) add(at time.Time) {
	l.times[l.next], l.next = at, (l.next+1)%len(l.times)
}

// since returns how many of the latest times are after a time.
func (l *latestTimes) since(at time.Time) int {
	n := 0
	for _, t := range l.times {
		if t.After(at) {
			n++
		}
	}
	return n
}

// survivals holds the latest survivals of parts, in two generations. The zero value is empty
// and ready to use.
type survivals struct {
	recent, older generation
	// times are the beginnings of the latest survivals.
	times latestTimes
}

type generation struct {
	began time.Time
	total int
	parts map[Fingerprint]survival
}

type survival struct {
	at    time.Time
	count int
}

func (s *survivals) add(now, began time.Time, parts []Part) {
	if s.recent.parts == nil || now.Sub(s.recent.began) >= survivalWindow || len(s.recent.parts) >= maxFingerprints {
		s.recent, s.older = generation{began: now, parts: map[Fingerprint]survival{}}, s.recent
		// Parts that are seldom used keep their last survival.
		for f, last := range s.older.parts {
			if now.Sub(last.at) < tellSurvivalFor && len(s.recent.parts) < maxFingerprints/2 {
				s.recent.parts[f] = survival{at: last.at}
			}
		}
	}
	s.times.add(began)
	s.recent.total++
	for _, p := range parts {
		s.merge(p.Fingerprint, began)
		last := s.recent.parts[p.Fingerprint]
		last.count++
		s.recent.parts[p.Fingerprint] = last
	}
}

// merge records a survival that began at the given time, and reports whether it is the
// latest of its part.
func (s *survivals) merge(f Fingerprint, began time.Time) bool {
	if !began.After(s.at(f)) {
		return false
	}
	if s.recent.parts == nil {
		s.recent.parts = map[Fingerprint]survival{}
	}
	if last, ok := s.recent.parts[f]; ok || len(s.recent.parts) < maxFingerprints {
		last.at = began
		s.recent.parts[f] = last
	}
	return true
}

// at returns the beginning of the latest survival of a part, zero if none is known.
func (s *survivals) at(f Fingerprint) time.Time {
	if last, ok := s.recent.parts[f]; ok {
		return last.at
	}
	return s.older.parts[f].at
}

func (s *survivals) isCommon(f Fingerprint) bool {
	total := s.recent.total + s.older.total
	return total >= minCommonSurvivals && float64(s.recent.parts[f].count+s.older.parts[f].count) > commonShare*float64(total)
}

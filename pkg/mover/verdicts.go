package mover

import (
	"maps"
	"slices"
	"time"
)

// VerdictTTL is how long the verdict on a version is kept after the last upstream of the
// version was listed.
const VerdictTTL = time.Minute

// Verdict is what the latest order for a version has shown of it. Verdicts form a join
// semilattice, so that messages with them may be lost, repeated and late.
type Verdict struct {
	// Epoch is that of the latest order for the version.
	Epoch uint64 `cbor:"1,keyasint"`
	// RolledBack and Done are the ends of that order. Done is final.
	RolledBack bool `cbor:"2,keyasint,omitempty"`
	Done       bool `cbor:"3,keyasint,omitempty"`
}

// join returns the verdict that follows from two on the same version.
func (v Verdict) join(other Verdict) Verdict {
	switch {
	case v.Epoch > other.Epoch:
		return v
	case v.Epoch < other.Epoch:
		return other
	}
	return Verdict{Epoch: v.Epoch, RolledBack: v.RolledBack || other.RolledBack, Done: v.Done || other.Done}
}

// Verdicts are those on the versions of one deployment. They outlive the order that follows:
// upstreams of a version that was rolled back are listed until they have drained.
type Verdicts struct {
	byVersion map[string]Verdict
	// listed are the versions that are listed now, listedAt is when one was last listed, or
	// first looked for.
	listed    map[string]bool
	listedAt  map[string]time.Time
	withdrawn []string
}

// NewVerdicts returns an empty value for a deployment with the given listed versions. The map
// must not be changed later.
func NewVerdicts(listed map[string]bool) *Verdicts {
	return &Verdicts{byVersion: map[string]Verdict{}, listed: listed, listedAt: map[string]time.Time{}}
}

// Merge adds another entry's verdict on a version. One on a version that is neither known nor
// listed here is ignored: the other entry has not forgotten it yet. It reports whether the
// version was withdrawn by that.
func (v *Verdicts) Merge(version string, verdict Verdict) bool {
	if _, known := v.byVersion[version]; !known && !v.listed[version] {
		return false
	}
	before := slices.Contains(v.withdrawn, version)
	v.Join(version, verdict)
	return !before && slices.Contains(v.withdrawn, version)
}

// Join adds a verdict on a version.
func (v *Verdicts) Join(version string, verdict Verdict) {
	known, ok := v.byVersion[version]
	if joined := known.join(verdict); !ok || joined != known {
		v.byVersion[version] = joined
		v.update()
	}
}

// Retain forgets versions that have not been listed for VerdictTTL. The map of the versions
// that are listed now must not be changed later.
func (v *Verdicts) Retain(now time.Time, listed map[string]bool) {
	v.listed = listed
	for version := range v.byVersion {
		_, seen := v.listedAt[version]
		switch {
		case listed[version], !seen:
			v.listedAt[version] = now
		case now.Sub(v.listedAt[version]) > VerdictTTL:
			delete(v.byVersion, version)
			delete(v.listedAt, version)
			v.update()
		}
	}
}

func (v *Verdicts) update() {
	v.withdrawn = nil
	for version, verdict := range v.byVersion {
		if verdict.RolledBack && !verdict.Done {
			v.withdrawn = append(v.withdrawn, version)
		}
	}
	slices.Sort(v.withdrawn)
}

// Withdrawn returns the versions whose latest order was rolled back. The slice must not be
// changed.
func (v *Verdicts) Withdrawn() []string { return v.withdrawn }

// Except returns the verdicts on all versions but one, nil if there are none.
func (v *Verdicts) Except(version string) map[string]Verdict {
	others := maps.Clone(v.byVersion)
	delete(others, version)
	if len(others) == 0 {
		return nil
	}
	return others
}

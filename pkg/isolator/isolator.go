package isolator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of deaths after which a request that alone was
	// in all of them is convicted.
	minCrashes = 2
	// immediateCrashes is the number of deaths after which a request is convicted
	// at once, unless another request was in all of them too. It bounds what one
	// request can cost.
	immediateCrashes = 4
	// propagationTime is how long the implications of other entries may take to
	// arrive; no request is convicted for being alone before it has passed.
	propagationTime = 3 * time.Second
	// recordLifetime is how long an implication counts.
	recordLifetime = time.Hour
	// maxFingerprints bounds the state.
	maxFingerprints = 4096
)

// Fingerprint identifies a request by what it asks, whoever sends it again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(organisation, route string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(organisation + "\x00" + route + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Status is what is held against a request.
type Status int

// The standings.
const (
	Clear Status = iota
	// Suspect: it runs with no other suspect on its upstream.
	Suspect
	// Pending: it waits until it is known who else was there.
	Pending
	Confirmed
)

// CrashRecord says that a request was in flight on an upstream that died.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
}

// Isolator holds the implications of the last hour. The zero value is useful.
type Isolator struct {
	crashes map[Fingerprint]map[string]time.Time
}

// RecordCrash records the death of an upstream and returns what was news.
func (i *Isolator) RecordCrash(now time.Time, upstream string, inFlight []Fingerprint) []CrashRecord {
	var news []CrashRecord
	for _, f := range inFlight {
		implication := CrashRecord{Fingerprint: f, Upstream: upstream}
		if i.Merge(now, implication) {
			news = append(news, implication)
		}
	}
	return news
}

// Merge takes an implication from a peer and reports whether it was news.
func (i *Isolator) Merge(now time.Time, implication CrashRecord) bool {
	if i.crashes == nil {
		i.crashes = map[Fingerprint]map[string]time.Time{}
	}
	upstreams, ok := i.crashes[implication.Fingerprint]
	if !ok {
		if len(i.crashes) >= maxFingerprints {
			i.evict(now)
		}
		upstreams = map[string]time.Time{}
		i.crashes[implication.Fingerprint] = upstreams
	}
	if _, known := upstreams[implication.Upstream]; known {
		return false
	}
	upstreams[implication.Upstream] = now
	return true
}

// keptShare is the share of the fingerprints that forget keeps, so that it runs
// rarely however fast new ones come.
const keptShare = 0.75

// evict drops what is too old, and then the oldest beyond the kept share.
func (i *Isolator) evict(now time.Time) {
	type dated struct {
		f  Fingerprint
		at time.Time
	}
	var kept []dated
	for f := range i.crashes {
		newest := i.lastCrash(f)
		if now.Sub(newest) > recordLifetime {
			delete(i.crashes, f)
			continue
		}
		kept = append(kept, dated{f, newest})
	}
	slices.SortFunc(kept, func(a, b dated) int { return a.at.Compare(b.at) })
	excess := len(kept) - int(keptShare*maxFingerprints)
	for _, d := range kept[:max(0, excess)] {
		delete(i.crashes, d.f)
	}
}

// Status returns what is held against a request at now.
func (i *Isolator) Status(now time.Time, f Fingerprint) Status {
	upstreams := i.crashedUpstreams(now, f)
	switch {
	case len(upstreams) == 0:
		return Clear
	case len(upstreams) >= immediateCrashes && i.soleCandidate(now, f):
		return Confirmed
	case len(upstreams) < minCrashes:
		return Suspect
	case now.Sub(i.lastCrash(f)) < propagationTime:
		return Pending
	case i.soleCandidate(now, f):
		return Confirmed
	default:
		return Suspect
	}
}

// lastCrash returns the time of the last implication of a request.
func (i *Isolator) lastCrash(f Fingerprint) time.Time {
	newest := time.Time{}
	for _, at := range i.crashes[f] {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

func (i *Isolator) crashedUpstreams(now time.Time, f Fingerprint) []string {
	var upstreams []string
	for upstream, at := range i.crashes[f] {
		if now.Sub(at) <= recordLifetime {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// SharesAllCrashes reports whether another request was in flight at every death of f, so
// that one more death of both would not tell them apart.
func (i *Isolator) SharesAllCrashes(now time.Time, f, other Fingerprint) bool {
	shared := i.crashedUpstreams(now, other)
	return !slices.ContainsFunc(i.crashedUpstreams(now, f), func(u string) bool { return !slices.Contains(shared, u) })
}

// soleCandidate reports whether no other request was in flight at all those deaths.
func (i *Isolator) soleCandidate(now time.Time, f Fingerprint) bool {
	for other := range i.crashes {
		if other != f && i.SharesAllCrashes(now, f, other) {
			return false
		}
	}
	return true
}

// NewestRecords returns the latest implications that count at now, at most n of them.
func (i *Isolator) NewestRecords(now time.Time, n int) []CrashRecord {
	type dated struct {
		CrashRecord
		at time.Time
	}
	var all []dated
	for f, upstreams := range i.crashes {
		for upstream, at := range upstreams {
			if now.Sub(at) <= recordLifetime {
				all = append(all, dated{CrashRecord{Fingerprint: f, Upstream: upstream}, at})
			}
		}
	}
	slices.SortFunc(all, func(a, b dated) int { return b.at.Compare(a.at) })
	newest := make([]CrashRecord, 0, min(n, len(all)))
	for _, d := range all[:min(n, len(all))] {
		newest = append(newest, d.CrashRecord)
	}
	return newest
}

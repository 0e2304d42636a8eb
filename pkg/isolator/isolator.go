package isolator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of crashes from which on a request can be
	// confirmed.
	minCrashes = 2
	// immediateCrashes is the number of crashes from which on a request is
	// confirmed without waiting for propagationTime, unless another request was in
	// flight at all of them. It bounds the upstreams that one request can crash.
	immediateCrashes = 4
	// propagationTime is the time that crash records of other entries may take to
	// arrive. Below immediateCrashes no request is confirmed before it has passed.
	propagationTime = 3 * time.Second
	// recordLifetime is how long a crash record counts.
	recordLifetime = time.Hour
	// maxFingerprints bounds the requests with crash records.
	maxFingerprints = 4096
)

// Fingerprint identifies a request by its content, so that a repeated request has
// the same one.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(organisation, route string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(organisation + "\x00" + route + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in base 36, as it stands in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 36) }

// Status says how a request is treated after crashes.
type Status int

// The statuses of a request.
const (
	// Clear: no crash record counts.
	Clear Status = iota
	// Suspect: it runs with no other suspect on its upstream.
	Suspect
	// Pending: it waits for the crash records of other entries.
	Pending
	// Confirmed: it crashes upstreams and must not run again.
	Confirmed
)

// CrashRecord says that a request was in flight on an upstream that crashed.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
}

// Isolator holds the crash records of the last hour. The zero value is ready to
// use.
type Isolator struct {
	crashes map[Fingerprint]map[string]time.Time
}

// RecordCrash records a crash of an upstream and returns the records that are new.
func (i *Isolator) RecordCrash(now time.Time, upstream string, inFlight []Fingerprint) []CrashRecord {
	var added []CrashRecord
	for _, f := range inFlight {
		record := CrashRecord{Fingerprint: f, Upstream: upstream}
		if i.Merge(now, record) {
			added = append(added, record)
		}
	}
	return added
}

// Merge adds a crash record of a peer and reports whether it is new.
func (i *Isolator) Merge(now time.Time, record CrashRecord) bool {
	if i.crashes == nil {
		i.crashes = map[Fingerprint]map[string]time.Time{}
	}
	upstreams, ok := i.crashes[record.Fingerprint]
	if !ok {
		if len(i.crashes) >= maxFingerprints {
			i.evict(now)
		}
		upstreams = map[string]time.Time{}
		i.crashes[record.Fingerprint] = upstreams
	}
	if _, recorded := upstreams[record.Upstream]; recorded {
		return false
	}
	upstreams[record.Upstream] = now
	return true
}

// keptShare is the share of maxFingerprints that evict keeps, so that it runs
// rarely at any rate of new fingerprints.
const keptShare = 0.75

// evict removes fingerprints whose records have expired, then the oldest ones
// beyond keptShare.
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

// Status returns the status of a request at now.
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

// lastCrash returns the time of the newest crash record of a request.
func (i *Isolator) lastCrash(f Fingerprint) time.Time {
	newest := time.Time{}
	for _, at := range i.crashes[f] {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// crashedUpstreams returns the upstreams of a request's crash records that count
// at now.
func (i *Isolator) crashedUpstreams(now time.Time, f Fingerprint) []string {
	var upstreams []string
	for upstream, at := range i.crashes[f] {
		if now.Sub(at) <= recordLifetime {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// SharesAllCrashes reports whether other was in flight at every crash of f, so
// that one more crash of both would not separate them.
func (i *Isolator) SharesAllCrashes(now time.Time, f, other Fingerprint) bool {
	otherUpstreams := i.crashedUpstreams(now, other)
	return !slices.ContainsFunc(i.crashedUpstreams(now, f), func(u string) bool { return !slices.Contains(otherUpstreams, u) })
}

// soleCandidate reports whether no other request was in flight at all crashes of
// f.
func (i *Isolator) soleCandidate(now time.Time, f Fingerprint) bool {
	for other := range i.crashes {
		if other != f && i.SharesAllCrashes(now, f, other) {
			return false
		}
	}
	return true
}

// NewestRecords returns the newest crash records that count at now, at most n.
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

package isolator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of one prompt that count.
	maxParts = 16
	// maxCrashRequests bounds the requests that are kept of one crash of a part.
	maxCrashRequests = 8
	// suspectPartCrashes is the number of successive crashes from which on a part is a
	// suspect: every crash has requests with many parts in flight.
	suspectPartCrashes = 2
	// undisputedPartCrashes is the number of crashes, suspectPartCrashes of them successive,
	// from which on a part is confirmed if nothing else has crashed.
	undisputedPartCrashes = 5
	// minControls is the number of this entry's requests that have survived since the first
	// crash of a part before it is confirmed, and maxBrokenPerControl that of its requests
	// that have broken off, for each of them. If little survives, the crashes do not
	// distinguish the part.
	minControls         = 4
	maxBrokenPerControl = 4
	// maxProvedCoincidence is maxCoincidence for a part that has survived lately.
	maxProvedCoincidence = 1e-9
	// settleTime is the time that survivals at other entries may take to arrive.
	settleTime = 500 * time.Millisecond
	// provedFor is the time after a survival in which a crash is not attributed to a part.
	provedFor = time.Second
)

// Part is a part of the prompt of a request that other requests may share.
type Part struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Depth is its position in the prompt, from 1.
	Depth int
}

// PartOf returns the part of a prompt with an id.
func PartOf(id string, depth int) Part {
	d := xxhash.New()
	_, _ = d.WriteString("part\x00" + id)
	return Part{Fingerprint: Fingerprint(d.Sum64()), Depth: depth}
}

func (h *history) isPart() bool { return h.depth > 0 }

// endsTrial puts a part on trial whose quarantine has ended by itself.
func (h *history) endsTrial(now time.Time) {
	if h.isPart() && !h.quarantinedUntil.IsZero() && !h.quarantinedUntil.After(now) {
		h.onTrial, h.trialAt = true, h.quarantinedUntil
		h.quarantinedUntil = time.Time{}
	}
}

// addPart adds a crash during a request with a part, and reports whether it is new.
func (i *Isolator) addPart(now time.Time, p Part, request Fingerprint, c crash) bool {
	h, ok := i.histories[p.Fingerprint]
	if !ok {
		h = i.addHistory(now, p.Fingerprint)
	}
	h.depth = max(1, p.Depth)
	if c.end.After(h.lastCrashAt) {
		h.lastCrashAt = c.end
		h.sightings++
	}
	if !c.end.After(h.completedAt) || !c.end.After(i.survivals.at(p.Fingerprint)) {
		return false
	}
	for n := range h.crashes {
		if known := &h.crashes[n]; known.crashName == c.crashName {
			if slices.Contains(known.requests, request) {
				i.refine(h, c)
				return false
			}
			return i.addRequest(known, request, c)
		}
	}
	c.requests, c.parts = []Fingerprint{request}, nil
	h.insert(c)
	i.logCrash(c)
	i.revision++
	return true
}

// addRequest adds another request with the part to a crash. The crash counts from the
// start of the last of these requests.
func (i *Isolator) addRequest(known *crash, request Fingerprint, c crash) bool {
	if len(known.requests) >= maxCrashRequests {
		return false
	}
	known.requests = append(known.requests, request)
	slices.Sort(known.requests)
	if c.start.After(known.start) {
		known.start = c.start
	}
	i.revision++
	return true
}

// distinctChain returns the longest series of crashes of which each attempt began after the
// crash before it, each by another request: one request that comes again says nothing of
// the parts of its prompt.
func distinctChain(crashes []crash, until time.Time) []crash {
	var chain []crash
	var requests []Fingerprint
	for _, c := range crashes {
		if c.end.After(until) || len(chain) > 0 && !c.startsAfter(chain[len(chain)-1]) {
			continue
		}
		other := slices.IndexFunc(c.requests, func(r Fingerprint) bool { return !slices.Contains(requests, r) })
		if other < 0 {
			continue
		}
		chain, requests = append(chain, c), append(requests, c.requests[other])
	}
	return chain
}

// weighPart returns the status of a part. Crashes that another confirmed part or request
// explains say nothing of it.
func (i *Isolator) weighPart(now time.Time, f Fingerprint, h *history) Status {
	crashes := h.crashes
	if len(crashes) >= suspectPartCrashes {
		explained := i.explainedCrashes(now, h)
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return explained[c.crashName] })
	}
	chain := distinctChain(crashes, now)
	h.successive, h.otherCrashes, h.coincidence = len(chain), 0, 1
	hasSurvived := !i.survivals.at(f).IsZero()
	switch {
	case h.onTrial && len(chain) >= suspectPartCrashes:
		return Confirmed
	case h.onTrial:
		return OnTrial
	case len(chain) < suspectPartCrashes || now.Sub(chain[0].end) < settleTime && hasSurvived:
		return Clear
	case len(chain) < minCrashes && len(crashes) < undisputedPartCrashes:
		return Suspect
	}
	h.otherCrashes, h.coincidence = i.coincidence(now, h, chain, len(crashes))
	limit := maxCoincidence
	if hasSurvived {
		limit = maxProvedCoincidence
	}
	if h.coincidence >= limit {
		return Suspect
	}
	if !i.hasControls(chain[0].end) || i.hasRival(now, f, crashes) {
		if hasSurvived {
			return Suspect
		}
		return Pending
	}
	if len(distinctChain(crashes, now.Add(-settleTime))) < min(len(chain), minCrashes) {
		return Pending
	}
	return Confirmed
}

// hasControls reports whether enough of this entry's requests have survived since a time.
func (i *Isolator) hasControls(since time.Time) bool {
	survived := i.survivals.times.since(since)
	return survived >= minControls && i.broken.since(since) <= maxBrokenPerControl*survived
}

// hasRival reports whether another part explains the crashes of a part as well or better:
// it was there at all of them and at more, or at the same ones in fewer requests, or in as
// many and later in the prompt. Parts that are always together have the same requests. One
// that coincidence explains less is confirmed first, and its crashes no longer count then.
func (i *Isolator) hasRival(now time.Time, f Fingerprint, crashes []crash) bool {
	depth, coincidence, requests := i.histories[f].depth, i.histories[f].coincidence, requestCount(crashes)
	for other, rival := range i.histories {
		if other == f || !rival.isPart() || rival.quarantinedUntil.After(now) {
			continue
		}
		if rival.successive >= minCrashes && rival.revision == i.revision && rival.coincidence < coincidence {
			return true
		}
		if len(rival.crashes) < len(crashes) || slices.ContainsFunc(crashes, func(c crash) bool { return !rival.has(c.crashName) }) {
			continue
		}
		others := requestCount(rival.crashes)
		if len(rival.crashes) > len(crashes) || others < requests || others == requests && rival.depth > depth {
			return true
		}
	}
	return false
}

// requestCount returns the number of requests during crashes of a part.
func requestCount(crashes []crash) int {
	distinct := map[Fingerprint]bool{}
	for _, c := range crashes {
		for _, r := range c.requests {
			distinct[r] = true
		}
	}
	return len(distinct)
}

// convict confirms a part that was confirmed at the given time, and reports whether it is
// new.
func (i *Isolator) convict(now time.Time, f Fingerprint, depth int, at time.Time) bool {
	h, ok := i.histories[f]
	if ok && (h.quarantinedUntil.After(now) || !at.After(h.completedAt)) || now.Sub(at) > recordLifetime {
		return false
	}
	if !ok {
		h = i.addHistory(now, f)
	}
	h.depth, h.onTrial = max(1, depth), false
	i.quarantine(f, h, at, at.Add(recordLifetime))
	return true
}

// QuarantinePart is Quarantine for a part of prompts.
func (i *Isolator) QuarantinePart(now time.Time, p Part, until time.Time) {
	i.Quarantine(now, p.Fingerprint, until)
	i.histories[p.Fingerprint].depth = max(1, p.Depth)
}

// ConvictParts quarantines the parts that the crashes confirm at now and returns the records
// for peers.
func (i *Isolator) ConvictParts(now time.Time) []CrashRecord {
	var convicted []CrashRecord
	for f, h := range i.histories {
		if !h.isPart() || len(h.crashes) < suspectPartCrashes || h.quarantinedUntil.After(now) || i.evaluate(now, f, h) != Confirmed {
			continue
		}
		if i.convict(now, f, h.depth, now) {
			convicted = append(convicted, CrashRecord{Fingerprint: f, Convicted: true, Depth: h.depth})
		}
	}
	return convicted
}

// Convictions returns the records of the parts that are quarantined at now, for peers.
func (i *Isolator) Convictions(now time.Time) []CrashRecord {
	var convicted []CrashRecord
	for f, h := range i.histories {
		if h.isPart() && h.quarantinedUntil.After(now) {
			convicted = append(convicted, CrashRecord{Fingerprint: f, Convicted: true, Depth: h.depth, AgeMS: now.Sub(h.quarantinedAt).Milliseconds()})
		}
	}
	return newestOf(convicted, len(convicted))
}

// IsPart reports whether a fingerprint with records is that of a part.
func (i *Isolator) IsPart(f Fingerprint) bool {
	h, ok := i.histories[f]
	return ok && h.isPart()
}

// unproved returns the parts of an attempt to which a crash is attributed.
func (i *Isolator) unproved(a Attempt) []Part {
	var parts []Part
	for _, p := range a.Parts[:min(len(a.Parts), maxParts)] {
		if a.End.Sub(i.survivals.at(p.Fingerprint)) > provedFor {
			parts = append(parts, p)
		}
	}
	return parts
}

// Uncleared returns a record without the parts that have survived its crash.
func (i *Isolator) Uncleared(now time.Time, record CrashRecord) CrashRecord {
	end := now.Add(-time.Duration(record.AgeMS) * time.Millisecond)
	record.Parts = slices.DeleteFunc(slices.Clone(record.Parts), func(p Part) bool {
		h, ok := i.histories[p.Fingerprint]
		return ok && !end.After(h.completedAt) || !end.After(i.survivals.at(p.Fingerprint))
	})
	return record
}

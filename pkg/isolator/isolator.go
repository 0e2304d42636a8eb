package isolator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minCrashes is the number of successive crashes from which on a request can be
	// confirmed.
	minCrashes = 3
	// maxCoincidence is the probability of a coincidence below which a request is
	// confirmed.
	maxCoincidence = 1e-6
	// undisputedCrashes is the number of successive crashes from which on a request is
	// confirmed if nothing else has crashed.
	undisputedCrashes = 4
	// listedAfterCrash is how long an upstream that has crashed is still listed.
	listedAfterCrash = 3 * time.Second
	// assumedCrashes are added to the crashes of other requests within rateWindow: the
	// crashes of a request may be the first ones of many.
	assumedCrashes = 5
	// rateWindow is the time before a request's first crash whose crashes count for
	// the rate of crashes.
	rateWindow = 10 * time.Second
	// minExposure is the shortest duration that an attempt or a chain counts as.
	minExposure = 10 * time.Millisecond
	// sameCrashWindow is the time during which later records of an upstream are of
	// the same crash.
	sameCrashWindow = 2 * time.Second
	// timePrecision is the precision of the times in records.
	timePrecision = 2 * time.Millisecond
	// completionInterval is the shortest time between two completions of a request that
	// are told to peers, if the first one cleared it.
	completionInterval = 2 * time.Second
	// propagationTime is the time that records of peers may take to arrive.
	propagationTime = time.Second
	// recordLifetime is how long a crash record counts, and a quarantine lasts.
	recordLifetime = time.Hour
	// maxFingerprints bounds the requests with records, maxCrashes the crashes of one
	// request.
	maxFingerprints = 4096
	maxCrashes      = 16
	// maxUpstreams is the number of crashed upstreams above which only those that
	// crashed within sameCrashWindow are kept.
	maxUpstreams = 16384
	// maxLoggedCrashes bounds the crashes that are known.
	maxLoggedCrashes = 4096
	// completionShare is the largest share of completions among the newest records.
	completionShare = 0.25
	// keptShare is the share of a full table that is kept, so that it is seldom cleaned
	// up at any rate of new records.
	keptShare = 0.75
)

// Status says how a request is treated after crashes.
type Status int

// The statuses of a request.
const (
	// Clear: no crash record counts.
	Clear Status = iota
	// Suspect: it runs with no other suspect on its upstream.
	Suspect
	// Pending: it is confirmed unless records that are on their way from peers show
	// another request at its newest crash.
	Pending
	// Confirmed: it crashes upstreams and must not run again.
	Confirmed
	// OnTrial: the quarantine of a part has ended, and one request with it may run.
	OnTrial
)

// Isolator holds the crash records of the last hour. The zero value is ready to
// use.
type Isolator struct {
	histories map[Fingerprint]*history
	// lastCrashes are the latest crashes by upstream, crashes the times of all, also of
	// those whose requests have completed since.
	lastCrashes map[string]lastCrash
	crashes     map[crashName]time.Time
	// revision changes with each change of the records.
	revision  uint64
	survivals survivals
	// quarantined has all histories whose quarantine has not ended.
	quarantined map[Fingerprint]bool
	// broken are the ends of the attempts of this entry that crashes have broken off.
	broken latestTimes
}

type lastCrash struct {
	ordinal int
	at      time.Time
}

// RecordCrash records a crash of an upstream and returns the records that are new.
func (i *Isolator) RecordCrash(now time.Time, upstream string, inFlight []Attempt) []CrashRecord {
	var added []CrashRecord
	for _, a := range inFlight {
		i.broken.add(a.End)
		c := crash{crashName: i.nameCrash(upstream, a.End), start: a.Start, end: a.End, deploymentSize: a.DeploymentSize, parts: i.unproved(a)}
		if i.add(now, a.Fingerprint, c) {
			added = append(added, c.record(now, a.Fingerprint))
		}
	}
	return added
}

// nameCrash returns the name of a crash of an upstream that ended an attempt.
func (i *Isolator) nameCrash(upstream string, end time.Time) crashName {
	last, known := i.lastCrashes[upstream]
	switch {
	case !known:
		i.setLastCrash(upstream, lastCrash{at: end})
	case end.Sub(last.at) > sameCrashWindow:
		last = lastCrash{ordinal: last.ordinal + 1, at: end}
		i.setLastCrash(upstream, last)
	}
	return crashName{upstream: upstream, ordinal: last.ordinal}
}

func (i *Isolator) setLastCrash(upstream string, last lastCrash) {
	if i.lastCrashes == nil {
		i.lastCrashes = map[string]lastCrash{}
	}
	if len(i.lastCrashes) >= maxUpstreams {
		maps.DeleteFunc(i.lastCrashes, func(_ string, other lastCrash) bool { return last.at.Sub(other.at) > sameCrashWindow })
	}
	i.lastCrashes[upstream] = last
}

// logCrash adds a crash to crashes.
func (i *Isolator) logCrash(c crash) {
	if i.crashes == nil {
		i.crashes = map[crashName]time.Time{}
	}
	if _, known := i.crashes[c.crashName]; known {
		return
	}
	if len(i.crashes) >= maxLoggedCrashes {
		times := slices.SortedFunc(maps.Values(i.crashes), time.Time.Compare)
		oldest := times[len(times)-int(keptShare*maxLoggedCrashes)]
		maps.DeleteFunc(i.crashes, func(_ crashName, at time.Time) bool { return at.Before(oldest) })
	}
	i.crashes[c.crashName] = c.end
}

// Merge adds a record of a peer and reports whether it is new. Invalid records are
// ignored.
func (i *Isolator) Merge(now time.Time, record CrashRecord) bool {
	if !record.valid() {
		return false
	}
	at := now.Add(-time.Duration(max(0, record.AgeMS)) * time.Millisecond)
	switch {
	case record.Completed:
		return i.complete(now, record.Fingerprint, at)
	case record.Convicted:
		return i.convict(now, record.Fingerprint, record.Depth, at)
	}
	name := crashName{upstream: record.Upstream, ordinal: record.Ordinal}
	if last, known := i.lastCrashes[name.upstream]; !known || last.ordinal < name.ordinal {
		i.setLastCrash(name.upstream, lastCrash{ordinal: name.ordinal, at: at})
	}
	start := at.Add(-time.Duration(max(0, record.RanMS)) * time.Millisecond)
	return i.add(now, record.Fingerprint, crash{crashName: name, start: start, end: at, deploymentSize: record.DeploymentSize, parts: record.Parts})
}

// add adds a crash of a request and of the parts of its prompt, and reports whether it is
// new.
func (i *Isolator) add(now time.Time, f Fingerprint, c crash) bool {
	if now.Sub(c.end) > recordLifetime {
		return false
	}
	added := false
	for _, part := range c.parts[:min(len(c.parts), maxParts)] {
		added = i.addPart(now, part, f, c) || added
	}
	h, ok := i.histories[f]
	if ok && !c.end.After(h.completedAt) {
		return added
	}
	if ok && h.has(c.crashName) {
		i.refine(h, c)
		return added
	}
	if !ok {
		h = i.addHistory(now, f)
	}
	h.insert(c)
	i.logCrash(c)
	i.revision++
	return true
}

// refine sets the times of a known crash to those of another record of it that were less
// delayed on the way: the end of an attempt must not seem later than the start of the next.
func (i *Isolator) refine(h *history, c crash) {
	at := slices.IndexFunc(h.crashes, func(known crash) bool { return known.crashName == c.crashName })
	known := h.crashes[at]
	difference := known.end.Sub(known.start) - c.end.Sub(c.start)
	if !c.end.Before(known.end) || difference.Abs() > timePrecision {
		return
	}
	known.start, known.end = c.start, c.end
	h.crashes = slices.Delete(h.crashes, at, at+1)
	h.insert(known)
	i.revision++
}

func (i *Isolator) addHistory(now time.Time, f Fingerprint) *history {
	if i.histories == nil {
		i.histories = map[Fingerprint]*history{}
	}
	if len(i.histories) >= maxFingerprints {
		i.evict(now)
	}
	h := &history{}
	i.histories[f] = h
	return h
}

// evict removes expired records, then the oldest histories beyond keptShare that are
// not of quarantined requests or parts.
func (i *Isolator) evict(now time.Time) {
	maps.DeleteFunc(i.lastCrashes, func(_ string, last lastCrash) bool { return now.Sub(last.at) > recordLifetime })
	type dated struct {
		f  Fingerprint
		at time.Time
	}
	var kept []dated
	for f, h := range i.histories {
		newest := h.newest()
		if h.quarantinedUntil.After(now) {
			newest = now
		}
		if now.Sub(newest) > recordLifetime {
			delete(i.histories, f)
			continue
		}
		kept = append(kept, dated{f, newest})
	}
	slices.SortFunc(kept, func(a, b dated) int { return a.at.Compare(b.at) })
	excess := len(kept) - int(keptShare*maxFingerprints)
	for _, d := range kept[:max(0, excess)] {
		delete(i.histories, d.f)
	}
}

// RecordCompletion records that a request has completed, which clears it. It returns
// the record for peers, and false if the request had no records. RecordSurvival does it
// for the parts of its prompt.
func (i *Isolator) RecordCompletion(now time.Time, f Fingerprint) (CrashRecord, bool) {
	h, ok := i.histories[f]
	if !ok || len(h.crashes) == 0 && !h.quarantinedUntil.After(now) {
		return CrashRecord{}, false
	}
	return CrashRecord{Fingerprint: f, Completed: true}, i.complete(now, f, now)
}

// complete drops the records of a request until a completion and reports whether the
// completion is new.
func (i *Isolator) complete(now time.Time, f Fingerprint, at time.Time) bool {
	h, ok := i.histories[f]
	if !ok {
		h = i.addHistory(now, f)
	}
	isCleared := !slices.ContainsFunc(h.crashes, func(c crash) bool { return !c.end.After(at) })
	isReleased := !h.quarantinedUntil.After(now) || at.Before(h.quarantinedAt)
	endsTrial := h.onTrial && at.After(h.completedAt)
	if isCleared && isReleased && !endsTrial && at.Sub(h.completedAt) < completionInterval {
		return false
	}
	if at.After(h.completedAt) {
		h.completedAt = at
	}
	if !isReleased {
		h.quarantinedUntil = time.Time{}
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(c crash) bool { return !c.end.After(at) })
	h.onTrial = h.onTrial && !endsTrial
	i.revision++
	return true
}

// Quarantine confirms a request that another process has confirmed, until the given
// time.
func (i *Isolator) Quarantine(now time.Time, f Fingerprint, until time.Time) {
	h, ok := i.histories[f]
	if !ok {
		h = i.addHistory(now, f)
	}
	i.quarantine(f, h, now, until)
}

// quarantine quarantines a request or a part from one time until another.
func (i *Isolator) quarantine(f Fingerprint, h *history, at, until time.Time) {
	if i.quarantined == nil {
		i.quarantined = map[Fingerprint]bool{}
	}
	i.quarantined[f] = true
	h.quarantinedAt, h.quarantinedUntil = at, until
	i.revision++
}

// Release drops the records and the quarantine of a request, as a completion does. A part
// of prompts is on trial from then on.
func (i *Isolator) Release(now time.Time, f Fingerprint) {
	if h, ok := i.histories[f]; ok {
		i.complete(now, f, now)
		h.onTrial, h.trialAt = h.isPart(), now
	}
}

// Status returns the status of a request at now.
func (i *Isolator) Status(now time.Time, f Fingerprint) Status {
	h, ok := i.histories[f]
	if !ok {
		return Clear
	}
	if h.quarantinedUntil.After(now) {
		return Confirmed
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(c crash) bool { return now.Sub(c.end) > recordLifetime })
	if h.endsTrial(now); len(h.crashes) == 0 && !h.onTrial {
		return Clear
	}
	return i.evaluate(now, f, h)
}

// evaluationLifetime is how long the result of an evaluation is used if no record is
// added.
const evaluationLifetime = 100 * time.Millisecond

// evaluate returns the status of a request that has crash records.
func (i *Isolator) evaluate(now time.Time, f Fingerprint, h *history) Status {
	if h.revision != i.revision || now.Sub(h.evaluatedAt) > evaluationLifetime {
		h.status = i.weigh(now, f, h)
		h.revision, h.evaluatedAt = i.revision, now
	}
	return h.status
}

func (i *Isolator) weigh(now time.Time, f Fingerprint, h *history) Status {
	if h.isPart() {
		return i.weighPart(now, f, h)
	}
	chain := h.chain()
	h.successive, h.otherCrashes, h.coincidence = len(chain), 0, 1
	if len(chain) < minCrashes {
		return Suspect
	}
	h.otherCrashes, h.coincidence = i.coincidence(now, h, chain, len(h.crashes))
	if h.coincidence >= maxCoincidence || i.isShared(f, h.crashes) {
		return Suspect
	}
	newest := len(h.crashes) - 1
	if now.Sub(h.crashes[newest].end) < propagationTime && i.isShared(f, h.crashes[:newest]) {
		return Pending
	}
	return Confirmed
}

// Evidence is what the status of a request rests on.
type Evidence struct {
	// Crashes is the number of crashes during the request, Successive that of the
	// longest series, OtherCrashes that of crashes without it since rateWindow before
	// the series.
	Crashes, Successive, OtherCrashes int
	// Coincidence is the probability of the series by chance, 1 for fewer than
	// minCrashes.
	Coincidence float64
	// FirstAge and NewestAge are the times since the first and the newest crash.
	FirstAge, NewestAge time.Duration
	// ListedAge is the time since Quarantine was called, zero if it was not.
	ListedAge time.Duration
	// TrialAge is the time since the trial of a part began, zero if it is not on trial.
	TrialAge time.Duration
}

// Evidence returns the evidence about a request at now.
func (i *Isolator) Evidence(now time.Time, f Fingerprint) Evidence {
	h, ok := i.histories[f]
	if !ok {
		return Evidence{}
	}
	e := Evidence{Crashes: len(h.crashes)}
	if h.quarantinedUntil.After(now) {
		e.ListedAge = now.Sub(h.quarantinedAt)
	}
	if h.onTrial {
		e.TrialAge = now.Sub(h.trialAt)
	}
	if len(h.crashes) > 0 {
		i.evaluate(now, f, h)
		e.Successive, e.OtherCrashes, e.Coincidence = h.successive, h.otherCrashes, h.coincidence
		e.FirstAge, e.NewestAge = now.Sub(h.crashes[0].end), now.Sub(h.crashes[len(h.crashes)-1].end)
	}
	return e
}

// coincidence returns the number of crashes of other requests since rateWindow before a
// chain, and the probability that each attempt of the chain after the first met the
// crash of its upstream by chance: any crash has requests in flight. crashes is the number
// of crashes of which the chain is the longest series. The rate of other
// crashes is that during the chain or that since rateWindow before it, whichever is
// higher. The probability is taken as 0 from undisputedCrashes on if there are no other
// crashes.
func (i *Isolator) coincidence(now time.Time, h *history, chain []crash, crashes int) (others int, probability float64) {
	first, last := chain[0].end, chain[len(chain)-1].end
	during := 0
	for name, at := range i.unexplainedCrashes(now) {
		if at.After(last) || at.Before(first.Add(-rateWindow)) || h.has(name) {
			continue
		}
		others++
		if !at.Before(first) {
			during++
		}
	}
	if others == 0 && (len(chain) >= undisputedCrashes || h.isPart() && crashes >= undisputedPartCrashes) {
		return 0, 0
	}
	perSecond := func(crashes int, span time.Duration) float64 {
		return float64(crashes) / max(minExposure, span).Seconds()
	}
	assumed := assumedCrashes
	if h.isPart() {
		// If it is not the cause, something else has ended these upstreams as well.
		assumed += len(chain)
	}
	rate := max(perSecond(during, last.Sub(first)), perSecond(others+assumed, last.Sub(first)+rateWindow))
	probability = 1.0
	for _, c := range chain[1:] {
		exposure := max(minExposure, c.end.Sub(c.start)).Seconds()
		size := c.deploymentSize
		if h.isPart() {
			size -= i.crashesWithin(c.end.Add(-listedAfterCrash), c.end)
		}
		probability *= 1 - math.Exp(-rate/float64(max(1, size))*exposure)
	}
	return others, probability
}

// crashesWithin returns the number of crashes after one time and before another.
func (i *Isolator) crashesWithin(from, to time.Time) int {
	n := 0
	for _, at := range i.crashes {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// unexplainedCrashes returns the times of all crashes, without those that quarantined
// requests explain.
func (i *Isolator) unexplainedCrashes(now time.Time) map[crashName]time.Time {
	unexplained := maps.Clone(i.crashes)
	for name := range i.explainedCrashes(now, nil) {
		delete(unexplained, name)
	}
	return unexplained
}

// explainedCrashes returns the crashes during quarantined requests or parts other than own.
func (i *Isolator) explainedCrashes(now time.Time, own *history) map[crashName]bool {
	explained := map[crashName]bool{}
	for f := range i.quarantined {
		h, ok := i.histories[f]
		if !ok || !h.quarantinedUntil.After(now) {
			delete(i.quarantined, f)
			continue
		}
		if h == own {
			continue
		}
		for _, c := range h.crashes {
			explained[c.crashName] = true
		}
	}
	return explained
}

// crashNames returns the crashes of a request that count at now.
func (i *Isolator) crashNames(now time.Time, f Fingerprint) []crashName {
	h, ok := i.histories[f]
	if !ok {
		return nil
	}
	var names []crashName
	for _, c := range h.crashes {
		if now.Sub(c.end) <= recordLifetime {
			names = append(names, c.crashName)
		}
	}
	return names
}

// SharesAllCrashes reports whether other was in flight at every crash of f, so
// that one more crash of both would not separate them.
func (i *Isolator) SharesAllCrashes(now time.Time, f, other Fingerprint) bool {
	h, ok := i.histories[other]
	return !slices.ContainsFunc(i.crashNames(now, f), func(name crashName) bool { return !ok || !h.has(name) })
}

// isShared reports whether another request was in flight at all of the given crashes of
// the request f. The parts of its own prompt always were.
func (i *Isolator) isShared(f Fingerprint, crashes []crash) bool {
	for other, h := range i.histories {
		if other != f && !h.isPart() && !slices.ContainsFunc(crashes, func(c crash) bool { return !h.has(c.crashName) }) {
			return true
		}
	}
	return false
}

// Records returns the records of a request that count at now. Parts have none of their own:
// the records of requests name them.
func (i *Isolator) Records(now time.Time, f Fingerprint) []CrashRecord {
	h, ok := i.histories[f]
	if !ok || h.isPart() {
		return nil
	}
	var records []CrashRecord
	if !h.completedAt.IsZero() {
		records = append(records, CrashRecord{Fingerprint: f, Completed: true, AgeMS: now.Sub(h.completedAt).Milliseconds()})
	}
	for _, c := range h.crashes {
		if now.Sub(c.end) <= recordLifetime {
			records = append(records, c.record(now, f))
		}
	}
	return records
}

// NewestRecords returns the newest records that count at now, at most n. Completions
// take at most completionShare of them.
func (i *Isolator) NewestRecords(now time.Time, n int) []CrashRecord {
	var crashes, completions []CrashRecord
	for f := range i.histories {
		for _, record := range i.Records(now, f) {
			if record.Completed {
				completions = append(completions, record)
			} else {
				crashes = append(crashes, record)
			}
		}
	}
	completions = newestOf(completions, int(completionShare*float64(n)))
	return append(newestOf(crashes, n-len(completions)), completions...)
}

// newestOf returns the newest n records.
func newestOf(records []CrashRecord, n int) []CrashRecord {
	slices.SortFunc(records, func(a, b CrashRecord) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return records[:min(n, len(records))]
}

// Crashes returns the number of crashes of a request that count at now.
func (i *Isolator) Crashes(now time.Time, f Fingerprint) int { return len(i.crashNames(now, f)) }

// Confirmed returns the requests whose crashes confirm them at now and which are not
// quarantined yet. ConvictParts does it for parts of prompts.
func (i *Isolator) Confirmed(now time.Time) []Fingerprint {
	var confirmed []Fingerprint
	for f, h := range i.histories {
		if len(h.crashes) >= minCrashes && !h.quarantinedUntil.After(now) && !h.isPart() && i.evaluate(now, f, h) == Confirmed {
			confirmed = append(confirmed, f)
		}
	}
	return confirmed
}

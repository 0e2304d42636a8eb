package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// survivalTime is the time from the first event of a stream after which another one shows
	// that the upstream has survived the request.
	survivalTime = 500 * time.Millisecond
	// convictionInterval is the time between two messages with all convictions, for entries
	// that have just started or were cut off.
	convictionInterval = time.Second
	// maxSentConvictions and maxSentSurvivals bound those in one message.
	maxSentConvictions = 4
	maxSentSurvivals   = 16
	// maxPartIDs bounds the known ids of parts.
	maxPartIDs = 4096
	// pendingRetryDelay is the shortest mean time after which callers are asked to retry while a
	// part's conviction is pending or another request tries it. It grows with the time since the
	// newest crash.
	pendingRetryDelay = 500 * time.Millisecond
	// pendingTrialDelay is the shortest time from the newest crash of a pending part until one
	// request at a time may try it.
	pendingTrialDelay = 30 * time.Second
	// trialSpread is the shortest time within which the entries begin to try a part, and trialGap
	// the mean time between two of them in a large fleet: the crashes of the first ones tell the
	// others.
	trialSpread = 30 * time.Second
	trialGap    = 300 * time.Millisecond
	// partMessage tells callers why a request with a convicted part is refused.
	partMessage = "a part of this prompt crashes the upstreams that run it"
	// pendingPartMessage is for parts that are not convicted yet.
	pendingPartMessage = "a part of this prompt may crash upstreams"
)

// crashParts returns the parts of a prompt to which crashes of upstreams may be attributed:
// all but the last one, which belongs to its request or session.
func crashParts(parts []PromptPart) []isolator.Part {
	if len(parts) < 2 {
		return nil
	}
	shared := make([]isolator.Part, 0, len(parts)-1)
	for i, part := range parts[:len(parts)-1] {
		shared = append(shared, isolator.PartOf(part.ID, i+1))
	}
	return shared
}

// refuseConvictedPart returns a refusal if a part of the call's prompt crashes the
// upstreams that run it or is about to be convicted of that, and nil otherwise.
func (g *Gateway) refuseConvictedPart(c *call) *judge.Refusal {
	if len(c.parts) == 0 {
		return nil
	}
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	part, status := st.convictedPart(now, c)
	if status == isolator.Clear {
		st.mu.Unlock()
		return nil
	}
	evidence := st.quarantine.isolator.Evidence(now, part.Fingerprint)
	row, listed := st.quarantine.rows[part.Fingerprint]
	st.mu.Unlock()
	g.metrics.Count("requests_quarantined")
	withEvidence(g.cfg.Log.Info().Str("event", "request_quarantined"), part.Fingerprint, evidence).Str("request_id", c.request.ID).
		Str("part", describeParts(c.request.PromptParts[part.Depth-1:part.Depth])).Bool("pending", status == isolator.Pending).Bool("trial", status == isolator.OnTrial).
		Bool("listed", listed).Str("listed_by", row.Entry).Int("runs", c.runs).Send()
	message, wait := pendingPartMessage, st.jitter(min(max(pendingRetryDelay, evidence.NewestAge), pendingTrialDelay))
	if status == isolator.Confirmed {
		message = partMessage
		wait = max(quarantineInterval, quarantineLifetime-evidence.ListedAge) + st.jitter(quarantineRetrySpread)
	}
	if c.runs > 0 {
		return judge.Refuse(judge.CodeCrashesUpstreams, judge.MayHaveRun, message)
	}
	refusal := judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, message).WithRetryAfter(wait)
	refusal.Status = http.StatusServiceUnavailable
	return refusal
}

// convictedPart returns the part of a call for which it is refused, and the part's status,
// which is Clear if there is none. The lock must be held.
func (st *state) convictedPart(now time.Time, c *call) (isolator.Part, isolator.Status) {
	for _, part := range c.parts {
		switch status := st.crashStatus(now, part.Fingerprint); {
		case status == isolator.Confirmed:
			return part, status
		case (status == isolator.OnTrial || status == isolator.Pending) && !st.mayTry(now, part.Fingerprint, status):
			return part, status
		}
	}
	return isolator.Part{}, isolator.Clear
}

// mayTry reports whether a request may try a part that is pending or on trial. The lock must
// be held.
func (st *state) mayTry(now time.Time, part isolator.Fingerprint, status isolator.Status) bool {
	evidence := st.quarantine.isolator.Evidence(now, part)
	age := evidence.TrialAge
	if status == isolator.Pending {
		age = evidence.NewestAge - pendingTrialDelay
	}
	spread := max(trialSpread, time.Duration(st.memberCount())*trialGap)
	turn := time.Duration(xxhash.Sum64String(st.cfg.ID+"/"+part.String()) % uint64(spread))
	return age >= turn && !st.runsSuspect(part)
}

// runsSuspect reports whether requests with a suspect part are in flight. The lock must be
// held.
func (st *state) runsSuspect(part isolator.Fingerprint) bool {
	for _, suspects := range st.quarantine.suspectRequests {
		if suspects[part] > 0 {
			return true
		}
	}
	return false
}

// suspectPart returns the part of a call's prompt that is suspected of crashing upstreams.
// Common parts are left out: one upstream can't serve all requests that have them. The
// lock must be held.
func (st *state) suspectPart(now time.Time, c *call) (isolator.Fingerprint, bool) {
	for _, part := range slices.Backward(c.parts) {
		switch st.crashStatus(now, part.Fingerprint) {
		case isolator.Clear:
		case isolator.OnTrial:
			return part.Fingerprint, true
		default:
			if !st.quarantine.isolator.IsCommon(part.Fingerprint) {
				return part.Fingerprint, true
			}
		}
	}
	return 0, false
}

// hasSuspectPart reports whether a part of the call's prompt is a suspect, so that the call
// is not sent to another upstream.
func (g *Gateway) hasSuspectPart(c *call) bool {
	if len(c.parts) == 0 {
		return false
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	_, suspect := g.state.suspectPart(g.cfg.Now(), c)
	return suspect
}

// pickApart picks an upstream on which no request with a suspect part of this entry runs,
// if there is one. The lock must be held.
func (st *state) pickApart(now time.Time, query router.Request) (router.Upstream, bool) {
	if len(st.quarantine.suspectRequests) > 0 {
		apart := query
		apart.Exclude = slices.Clone(query.Exclude)
		for id, suspects := range st.quarantine.suspectRequests {
			for f := range suspects {
				if st.quarantine.isolator.IsPart(f) {
					apart.Exclude = append(apart.Exclude, id)
					break
				}
			}
		}
		if picked, ok := st.router.Pick(now, apart); ok && st.router.Admission(now, picked.ID).Allowed() {
			return picked, true
		}
	}
	return st.router.Pick(now, query)
}

// recordProgress records that events of the current attempt have arrived, and that the
// upstream has survived the beginning of the stream once it has sent events for some time. A
// part that crashes upstreams does so when an answer begins.
func (g *Gateway) recordProgress(now time.Time, c *call) {
	if !c.hasEvents {
		c.hasEvents, c.answeredAt = true, now
	}
	if c.survived || len(c.parts) == 0 || now.Sub(c.answeredAt) < survivalTime {
		return
	}
	c.survived = true
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.recordSurvival(now, c.answeredAt, c.parts)
}

// recordEnd records that an upstream has run a call to its end. The lock must be held.
func (st *state) recordEnd(now time.Time, c *call) {
	st.recordSound(now, c.fingerprint, c.parts, c.answeredAt)
}

// recordSound records that a request and the parts of its prompt, of which the answer began
// at answeredAt, do not crash upstreams. The lock must be held.
func (st *state) recordSound(now time.Time, f isolator.Fingerprint, parts []isolator.Part, answeredAt time.Time) {
	st.recordCompletion(now, f)
	st.recordSurvival(now, answeredAt, parts)
}

func (st *state) recordSurvival(now, answeredAt time.Time, parts []isolator.Part) {
	if len(parts) > 0 {
		st.quarantine.isolator.RecordSurvival(now, answeredAt, parts)
	}
}

// convictParts convicts the parts that the crashes confirm and returns the convictions for
// this round's messages: new ones, and all of them from time to time. The lock must be held.
func (st *state) convictParts(now time.Time) []isolator.CrashRecord {
	q := &st.quarantine
	records := q.isolator.ConvictParts(now)
	for _, record := range records {
		withEvidence(st.log.Warn().Str("event", "part_convicted"), record.Fingerprint, q.isolator.Evidence(now, record.Fingerprint)).
			Str("part", q.partIDs[record.Fingerprint]).Int("depth", record.Depth).Send()
	}
	if now.Sub(q.convictionsSentAt) >= convictionInterval {
		q.convictionsSentAt = now
		records = append(records, q.nextConvictions(now)...)
	}
	return records
}

// nextConvictions returns the convictions for the next message, in turn.
func (q *quarantine) nextConvictions(now time.Time) []isolator.CrashRecord {
	all := q.isolator.Convictions(now)
	if q.convictionsSent >= len(all) {
		q.convictionsSent = 0
	}
	next := all[q.convictionsSent:min(len(all), q.convictionsSent+maxSentConvictions)]
	q.convictionsSent += len(next)
	return next
}

// notePartIDs keeps the ids of the parts of a call for logs and for the store. The lock must
// be held.
func (st *state) notePartIDs(c *call) {
	q := &st.quarantine
	if len(q.partIDs)+len(c.parts) > maxPartIDs {
		clear(q.partIDs)
	}
	for i, part := range c.parts {
		q.partIDs[part.Fingerprint] = describeParts(c.request.PromptParts[i : i+1])
	}
}

// addConvicted adds the rows of convicted parts that the table lacks. The lock must be held.
func (st *state) addConvicted(now time.Time, leader bool, change *provider.Commit) {
	q := &st.quarantine
	for _, record := range q.isolator.Convictions(now) {
		f := record.Fingerprint
		_, listed := q.rows[f]
		if _, lost := q.lost[f]; listed || lost || !leader && !q.observed[f] || len(change.Put) >= maxQuarantineChanges {
			continue
		}
		since := st.agreedTime(now).Add(-time.Duration(record.AgeMS) * time.Millisecond)
		st.putQuarantined(change, f, quarantineRow{SinceMS: since.UnixMilli(), Crashes: q.isolator.Crashes(now, f), Entry: st.cfg.ID, Part: q.partIDs[f], Depth: record.Depth})
	}
}

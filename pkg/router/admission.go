package router

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Cause says why an upstream gets no request.
type Cause string

// The causes, in the order in which they apply.
const (
	// CauseNone is that of an upstream that may get the request.
	CauseNone Cause = ""
	// CauseUnlisted is that of an upstream that is not in the VM list.
	CauseUnlisted Cause = "unlisted"
	// CauseLeaving is that of an upstream with a notice, or whose responses say that it
	// leaves. No time ends it.
	CauseLeaving Cause = "leaving"
	// CauseBackoff is that of an upstream that has asked this entry to send nothing.
	CauseBackoff Cause = "backoff"
	// CauseUnreachable is that of an upstream in a failure domain without connection.
	CauseUnreachable Cause = "unreachable"
	// CauseSuspect is that of an upstream that has failed.
	CauseSuspect Cause = "suspect"
	// CauseRecovering is that of an upstream after a backoff, or after it was cold, that has
	// got as many requests as it may get by now.
	CauseRecovering Cause = "recovering"
	// CauseEvacuated is that of an upstream in a failure domain that operators have
	// evacuated. No time ends it.
	CauseEvacuated Cause = "evacuated"
	// CauseCold is that of an upstream that is cold. It gets a few requests if no other
	// upstream may get them.
	CauseCold Cause = "cold"
)

// AvoidedCauses are the causes for which a listed upstream gets fewer requests or none.
var AvoidedCauses = []Cause{CauseLeaving, CauseBackoff, CauseUnreachable, CauseSuspect, CauseRecovering, CauseEvacuated, CauseCold}

// Source says where what an entry believes of an upstream comes from.
type Source string

// The sources.
const (
	SourceList     Source = "list"
	SourceResponse Source = "response"
	SourceAttempts Source = "attempts"
	SourceOperator Source = "operator"
)

// Admission says whether an upstream may get a request, and if not, why and until when.
type Admission struct {
	Cause  Cause
	Source Source
	// Since is when the source said so, zero if that is not known.
	Since time.Time
	// Until is zero if no time ends the cause.
	Until time.Time
}

// Allowed reports whether the upstream may get a request.
func (a Admission) Allowed() bool { return a.Cause == CauseNone }

// Forbids reports whether nothing at all may be sent to the upstream: a request that was
// on its way to it has to go elsewhere.
func (a Admission) Forbids() bool {
	switch a.Cause {
	case CauseUnlisted, CauseLeaving, CauseBackoff, CauseEvacuated:
		return true
	default:
		return false
	}
}

// Admission returns whether an upstream may get a request. Requests of all kinds, first
// attempts and retries, and probes depend on it alone.
func (r *Router) Admission(now time.Time, id string) Admission {
	rec, ok := r.records[id]
	if !ok {
		return Admission{Cause: CauseUnlisted, Source: SourceList}
	}
	return r.admission(now, rec)
}

func (r *Router) admission(now time.Time, rec *record) Admission {
	if rec.state == "suspect" && !now.Before(rec.suspectUntil) {
		r.applyEvent(rec.ID, "recover")
	}
	switch {
	case !rec.listed:
		return Admission{Cause: CauseUnlisted, Source: SourceList}
	case rec.state == "leaving":
		return Admission{Cause: CauseLeaving, Source: rec.leavingSource, Since: rec.leavingSince}
	case r.evacuatedDomains[rec.FailureDomain]:
		return Admission{Cause: CauseEvacuated, Source: SourceOperator}
	case now.Before(rec.backoff.until):
		return Admission{Cause: CauseBackoff, Source: SourceResponse, Since: rec.backoff.since, Until: rec.backoff.until}
	case r.unreachableDomains[rec.FailureDomain]:
		return Admission{Cause: CauseUnreachable, Source: SourceAttempts}
	case rec.state == "suspect":
		return Admission{Cause: CauseSuspect, Source: SourceAttempts, Until: rec.suspectUntil}
	}
	if r.isCold(now, rec) {
		return Admission{Cause: CauseCold, Source: SourceList, Until: rec.coldUntil}
	}
	if until, limited := rec.backoff.limitedUntil(now); limited {
		return Admission{Cause: CauseRecovering, Source: SourceResponse, Since: rec.backoff.until, Until: until}
	}
	if until, limited := r.isWarmingUp(now, rec); limited {
		return Admission{Cause: CauseRecovering, Source: SourceList, Since: rec.warmUp.until, Until: until}
	}
	return Admission{}
}

const (
	// DefaultBackoff is the backoff for a request for time that can't be decoded.
	DefaultBackoff = time.Second
	// MaxBackoff is the longest backoff. An upstream that asks for more gets requests
	// again after this time.
	MaxBackoff = 5 * time.Minute
	// returnInterval is the mean time between the returns of two entries to an upstream
	// after a backoff. The returns of all entries are spread over at most the time that
	// the upstream asked for.
	returnInterval = 25 * time.Millisecond
	// An upstream may get one request after a backoff, and twice as many in all after
	// each further step. There is no limit after rampSteps. A step is rampStepShare of
	// the time that the upstream asked for, within minRampStep and maxRampStep.
	rampSteps     = 8
	rampStepShare = 0.125
	minRampStep   = 25 * time.Millisecond
	maxRampStep   = 250 * time.Millisecond
)

// backoff is a time in which an upstream gets nothing, as it has asked for, and the
// gradual return after it.
type backoff struct {
	since time.Time
	// end is when the time that the upstream asked for is over, until when this entry
	// returns.
	end, until time.Time
	// share is the part of the spread after which this entry returns, from 0 to 1.
	share float64
	// rampStep is the time in which the limit after the return doubles, begun the
	// number of requests since the return.
	rampStep time.Duration
	begun    int
}

// extend applies a request for time. It returns false if a longer one is in force.
func (b *backoff) extend(now time.Time, asked, spread time.Duration, share float64) bool {
	asked = min(asked, MaxBackoff)
	end := now.Add(asked)
	if now.Before(b.until) {
		if !end.After(b.end) {
			return false
		}
	} else {
		b.since, b.share = now, share
	}
	b.end, b.begun = end, 0
	b.until = end.Add(time.Duration(b.share * float64(min(asked, spread))))
	b.rampStep = min(maxRampStep, max(minRampStep, time.Duration(rampStepShare*float64(asked))))
	return true
}

// limitedUntil reports whether no more requests may be sent after the return, and until
// when.
func (b *backoff) limitedUntil(now time.Time) (time.Time, bool) {
	if b.rampStep == 0 {
		return time.Time{}, false
	}
	if now.Before(b.until) {
		return b.until, true
	}
	steps := now.Sub(b.until) / b.rampStep
	if steps >= rampSteps || b.begun < 1<<steps {
		return time.Time{}, false
	}
	return b.until.Add((steps + 1) * b.rampStep), true
}

// ParseBackoff decodes the seconds, with or without fractions, for which an upstream wants
// no requests; 0 means that text is empty. A text that is no such number is taken for
// DefaultBackoff, a larger number than MaxBackoff for that.
func ParseBackoff(text string) time.Duration {
	if text == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return DefaultBackoff
	}
	return time.Duration(min(seconds, MaxBackoff.Seconds()) * float64(time.Second))
}

// Signals are what an upstream says of itself in a response.
type Signals struct {
	// Leaving says that the upstream's process is about to end.
	Leaving bool
	// RetryAfter is the time in which the upstream wants no requests from this entry; 0
	// means that it asks for none.
	RetryAfter time.Duration
}

// RecordSignals records what an upstream has said of itself in a response. It returns
// false if that changes nothing. Leaving is final for the upstream's id, whatever the VM
// list says later; RetryAfter is bounded by MaxBackoff.
func (r *Router) RecordSignals(now time.Time, id string, s Signals) bool {
	changed := false
	if s.Leaving {
		changed = r.markLeaving(now, id, 0, SourceResponse)
	}
	if rec, ok := r.records[id]; ok && s.RetryAfter > 0 {
		spread := time.Duration(r.sharingEntries()) * returnInterval
		changed = rec.backoff.extend(now, s.RetryAfter, spread, r.random.Float64()) || changed
	}
	return changed
}

// SetUnreachableDomains sets the failure domains whose upstreams get no requests. They
// replace those of an earlier call.
func (r *Router) SetUnreachableDomains(domains map[string]bool) { r.unreachableDomains = domains }

// NextReturn returns the earliest time at which the backoff of an upstream that may get
// the request then ends. It returns false if one may get the request now, as the last
// resort if it is a suspect, or if no such time is known. Exclude is ignored.
func (r *Router) NextReturn(now time.Time, req Request) (time.Time, bool) {
	var next time.Time
	for _, rec := range r.byDeployment[req.Deployment] {
		if !req.allows(rec) {
			continue
		}
		a := r.admission(now, rec)
		if a.Allowed() || a.Cause == CauseSuspect {
			return time.Time{}, false
		}
		if !a.Until.IsZero() && (next.IsZero() || a.Until.Before(next)) {
			next = a.Until
		}
	}
	return next, !next.IsZero()
}

// Change is the beginning or the end of a time in which an upstream is avoided. The cause
// of After is CauseNone at the end, or CauseUnlisted if the upstream left the list.
type Change struct {
	ID            string
	Before, After Admission
}

// Changes returns the changes since the last call. An upstream that recovers from a
// backoff is not avoided.
func (r *Router) Changes(now time.Time) []Change {
	changes := r.unlistedChanges
	r.unlistedChanges = nil
	for _, rec := range r.records {
		if !rec.listed {
			continue
		}
		a := r.admission(now, rec)
		if a.Cause == CauseRecovering {
			a = Admission{}
		}
		if a.Cause != rec.reported.Cause {
			changes = append(changes, Change{ID: rec.ID, Before: rec.reported, After: a})
			rec.reported = a
		}
	}
	return changes
}

// reportUnlisted adds the change of an upstream that was avoided and is no longer listed.
func (r *Router) reportUnlisted(rec *record) {
	if rec.reported.Allowed() {
		return
	}
	r.unlistedChanges = append(r.unlistedChanges, Change{ID: rec.ID, Before: rec.reported, After: Admission{Cause: CauseUnlisted, Source: SourceList}})
	rec.reported = Admission{}
}

// AvoidedCounts returns the number of listed upstreams that are avoided, by cause.
func (r *Router) AvoidedCounts(now time.Time) map[Cause]int {
	counts := map[Cause]int{}
	for _, rec := range r.records {
		if a := r.admission(now, rec); rec.listed && !a.Allowed() {
			counts[a.Cause]++
		}
	}
	return counts
}

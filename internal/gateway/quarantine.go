package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// quarantineLifetime is how long a request that crashes upstreams is refused.
	quarantineLifetime = time.Hour
	// quarantineRetrySpread is the mean time after the end of a quarantine at which the
	// refused callers are asked to retry.
	quarantineRetrySpread = 10 * time.Second
	// quarantineInterval is the time between two checks for requests to quarantine. Crash
	// records of other entries arrive within one.
	quarantineInterval = time.Second
	// quarantineMessage tells callers why a request is refused.
	quarantineMessage = "a request with this content crashes the upstreams that run it"
	// maxReadyDelay is how long an entry that could serve waits for the table of
	// quarantined requests before it is ready.
	maxReadyDelay = 2 * time.Second
)

// quarantine is what the entry knows of requests that crash upstreams.
type quarantine struct {
	isolator isolator.Isolator
	// queue holds the crash records to send to other entries.
	queue []queuedRecord
	// suspectRequests are the suspect requests in flight, by upstream ID.
	suspectRequests map[string]map[isolator.Fingerprint]int
	// observed are the requests of which this entry recorded a crash or a completion
	// itself.
	observed map[isolator.Fingerprint]bool
	// rows are the rows of the store's table.
	rows map[isolator.Fingerprint]quarantineRow
	// lost are the rows that the store lacks since it returned from an older copy.
	lost map[isolator.Fingerprint]quarantineRow
	// confirmed are the requests that the previous check found confirmed.
	confirmed map[isolator.Fingerprint]bool
	// partIDs are the ids of the parts that were in flight at crashes.
	partIDs map[isolator.Fingerprint]string
	// convictionsSentAt is when all convictions of parts were last queued.
	convictionsSentAt time.Time
	// convictionsSent are those of the current turn through all of them.
	convictionsSent int
	// lastRoundAt and backlogUntil detect that the process did not run.
	lastRoundAt, backlogUntil time.Time
}

func newQuarantine() quarantine {
	return quarantine{
		suspectRequests: map[string]map[isolator.Fingerprint]int{}, observed: map[isolator.Fingerprint]bool{},
		rows: map[isolator.Fingerprint]quarantineRow{}, lost: map[isolator.Fingerprint]quarantineRow{}, confirmed: map[isolator.Fingerprint]bool{},
		partIDs: map[isolator.Fingerprint]string{},
	}
}

// crashStatus returns the status of a request. The lock must be held.
func (st *state) crashStatus(now time.Time, f isolator.Fingerprint) isolator.Status {
	return st.quarantine.isolator.Status(now, f)
}

// isSuspect reports whether a request was in flight at crashes and is not confirmed. The
// lock must be held.
func (st *state) isSuspect(now time.Time, f isolator.Fingerprint) bool {
	status := st.crashStatus(now, f)
	return status == isolator.Suspect || status == isolator.Pending
}

// refuseQuarantined returns a refusal if the request crashes the upstreams that run it,
// and nil otherwise.
func (g *Gateway) refuseQuarantined(c *call) *judge.Refusal {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	if st.crashStatus(now, c.fingerprint) != isolator.Confirmed {
		st.mu.Unlock()
		return g.refuseConvictedPart(c)
	}
	evidence := st.quarantine.isolator.Evidence(now, c.fingerprint)
	row, listed := st.quarantine.rows[c.fingerprint]
	st.mu.Unlock()
	g.metrics.Count("requests_quarantined")
	withEvidence(g.cfg.Log.Info().Str("event", "request_quarantined"), c.fingerprint, evidence).Str("request_id", c.request.ID).
		Bool("listed", listed).Str("listed_by", row.Entry).Int("runs", c.runs).Send()
	if c.runs > 0 {
		return judge.Refuse(judge.CodeCrashesUpstreams, judge.MayHaveRun, quarantineMessage)
	}
	wait := quarantineLifetime
	if listed {
		wait = max(quarantineInterval, row.expires.Sub(now))
	}
	refusal := judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, quarantineMessage).WithRetryAfter(wait + st.jitter(quarantineRetrySpread))
	refusal.Status = http.StatusServiceUnavailable
	return refusal
}

// withEvidence adds the evidence about a request to a log line.
func withEvidence(line *zerolog.Event, f isolator.Fingerprint, e isolator.Evidence) *zerolog.Event {
	return line.Str("fingerprint", f.String()).Int("crashes", e.Crashes).Int("successive", e.Successive).Int("other_crashes", e.OtherCrashes).
		Float64("coincidence", e.Coincidence).Dur("first_age", e.FirstAge).Dur("newest_age", e.NewestAge).Dur("listed_age", e.ListedAge)
}

// recordCrash records the crash of an upstream during attempts of this entry, and how it
// was found. The lock must be held.
func (st *state) recordCrash(now time.Time, id, found string, attempts []isolator.Attempt) {
	added := st.quarantine.isolator.RecordCrash(now, id, attempts)
	for _, record := range added {
		st.quarantine.observed[record.Fingerprint] = true
		for _, part := range record.Parts {
			st.quarantine.observed[part.Fingerprint] = true
		}
	}
	st.queueRecords(now, added)
	if len(added) > 0 {
		st.log.Info().Str("event", "upstream_crashed").Str("upstream", id).Str("found", found).Int("attempts", len(attempts)).
			Dur("lag", now.Sub(attempts[len(attempts)-1].End)).Str("fingerprint", added[0].Fingerprint.String()).Int("crashes", st.quarantine.isolator.Crashes(now, added[0].Fingerprint)).Send()
	}
}

// recordCompletion records that an upstream has run a request to its end, which shows
// that it does not crash upstreams. The lock must be held.
func (st *state) recordCompletion(now time.Time, f isolator.Fingerprint) {
	evidence := st.quarantine.isolator.Evidence(now, f)
	if record, cleared := st.quarantine.isolator.RecordCompletion(now, f); cleared {
		withEvidence(st.log.Info().Str("event", "request_cleared"), f, evidence).Send()
		st.quarantine.observed[f] = true
		st.queueRecords(now, []isolator.CrashRecord{record})
	}
}

// pickForSuspect picks an upstream on which no other suspect of this entry runs. It
// returns false if the request is no suspect or there is no such upstream. Requests with one
// suspect part go to one upstream. The lock must be held.
func (st *state) pickForSuspect(now time.Time, c *call, query router.Request) (router.Upstream, bool) {
	if part, ok := st.suspectPart(now, c); ok {
		query.PrefixHash, query.IgnoreLoad = uint64(part), true
		return st.router.Pick(now, query)
	}
	ids := st.upstreamsOfSuspects(now, c.fingerprint)
	if len(ids) == 0 {
		return router.Upstream{}, false
	}
	query.Exclude = append(slices.Clone(query.Exclude), ids...)
	picked, ok := st.router.Pick(now, query)
	// If all others are excluded, the router picks an upstream that has failed.
	return picked, ok && st.router.Admission(now, picked.ID).Allowed()
}

// upstreamsOfSuspects returns the upstreams on which other suspects of this entry run, if
// the request is a suspect. The lock must be held.
func (st *state) upstreamsOfSuspects(now time.Time, f isolator.Fingerprint) []string {
	if len(st.quarantine.suspectRequests) == 0 || !st.isSuspect(now, f) {
		return nil
	}
	var ids []string
	for id, suspects := range st.quarantine.suspectRequests {
		if _, own := suspects[f]; !own || len(suspects) > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// beginSuspect and endSuspect count an attempt of a suspect request on its upstream.
// beginSuspect reports whether the request is a suspect. The lock must be held.
func (st *state) beginSuspect(now time.Time, c *call) bool {
	part, ok := st.suspectPart(now, c)
	switch {
	case ok:
		c.suspect = part
	case st.isSuspect(now, c.fingerprint):
		c.suspect = c.fingerprint
	default:
		return false
	}
	suspects, ok := st.quarantine.suspectRequests[c.upstream.ID]
	if !ok {
		suspects = map[isolator.Fingerprint]int{}
		st.quarantine.suspectRequests[c.upstream.ID] = suspects
	}
	suspects[c.suspect]++
	return true
}

func (st *state) endSuspect(c *call) {
	suspects := st.quarantine.suspectRequests[c.upstream.ID]
	if suspects[c.suspect]--; suspects[c.suspect] <= 0 {
		delete(suspects, c.suspect)
	}
	if len(suspects) == 0 {
		delete(st.quarantine.suspectRequests, c.upstream.ID)
	}
}

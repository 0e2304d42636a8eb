package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// isolationLifetime is how long a request that crashes upstreams is refused.
	isolationLifetime = time.Hour
	// isolationRetrySpread is the mean time after the end of an isolation at which the
	// refused callers are asked to retry.
	isolationRetrySpread = 10 * time.Second
	// isolationInterval is the time between two checks for requests to isolate. Crash
	// records of other entries arrive within one.
	isolationInterval = time.Second
	// maxIsolations bounds the rows that one commit changes.
	maxIsolations = 50
	// isolationPollTimeout limits one long poll of the table of isolated requests.
	isolationPollTimeout = 25 * time.Second
	// maxReadyDelay is how long an entry that could serve waits for the table of
	// isolated requests before it is ready.
	maxReadyDelay = 2 * time.Second

	// A crash record is sent in recordSends messages, and not once it is older than
	// recordSendTime. A message has at most maxSentRecords records, and at most
	// maxQueuedRecords wait.
	recordSends      = 3
	recordSendTime   = 5 * time.Second
	maxSentRecords   = 10
	maxQueuedRecords = 512
	// Messages that arrive after this entry did not run for maxRoundDelay may have
	// waited as long, and their ages are wrong. They are ignored for backlogTime.
	maxRoundDelay = time.Second
	backlogTime   = 200 * time.Millisecond
)

// isolation is what the entry knows of requests that crash upstreams.
type isolation struct {
	isolator isolator.Isolator
	// queue holds the crash records to send to other entries.
	queue []queuedRecord
	// suspects are the suspect requests in flight, by upstream ID.
	suspects map[string]map[isolator.Fingerprint]int
	// observed are the requests of which this entry recorded a crash itself.
	observed map[isolator.Fingerprint]time.Time
	// rows are the isolations in the store.
	rows map[isolator.Fingerprint]isolationRow
	// lost are the isolations that the store lacks since it returned from an older copy.
	lost map[isolator.Fingerprint]isolationRow
	// confirmed are the requests that the previous check found confirmed.
	confirmed map[isolator.Fingerprint]bool
	// lastRoundAt and backlogUntil detect that the process did not run.
	lastRoundAt, backlogUntil time.Time
}

type queuedRecord struct {
	isolator.CrashRecord
	queuedAt time.Time
	sends    int
	// crashes is the number of crashes of the request. Records of requests with many
	// are sent first.
	crashes int
}

// isolationRow is a row of the table of isolated requests. Its key is the
// fingerprint.
type isolationRow struct {
	// IsolatedMS is when the request was confirmed, in Unix milliseconds.
	IsolatedMS int64  `json:"isolated_ms"`
	Crashes    int    `json:"crashes"`
	Entry      string `json:"entry"`

	version provider.Version
	expires time.Time
}

func newIsolation() isolation {
	return isolation{
		suspects: map[string]map[isolator.Fingerprint]int{}, observed: map[isolator.Fingerprint]time.Time{},
		rows: map[isolator.Fingerprint]isolationRow{}, lost: map[isolator.Fingerprint]isolationRow{}, confirmed: map[isolator.Fingerprint]bool{},
	}
}

// crashStatus returns the status of a request. The lock must be held.
func (st *state) crashStatus(now time.Time, f isolator.Fingerprint) isolator.Status {
	return st.isolation.isolator.Status(now, f)
}

// refuseIsolated returns a refusal if the request crashes the upstreams that run it,
// and nil otherwise.
func (g *Gateway) refuseIsolated(c *call) *judge.Refusal {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	if st.crashStatus(now, c.fingerprint) != isolator.Confirmed {
		st.mu.Unlock()
		return nil
	}
	crashes := st.isolation.isolator.Crashes(now, c.fingerprint)
	row, listed := st.isolation.rows[c.fingerprint]
	st.mu.Unlock()
	g.metrics.Count("requests_isolated")
	g.cfg.Log.Info().Str("event", "request_isolated").Str("request_id", c.request.ID).Str("fingerprint", c.fingerprint.String()).
		Int("crashes", crashes).Bool("listed", listed).Int("runs", c.runs).Send()
	if c.runs > 0 {
		return judge.Refuse(judge.CodeCrashesUpstreams, judge.MayHaveRun, "a request with this content crashes the upstreams that run it")
	}
	wait := isolationLifetime
	if listed {
		wait = max(isolationInterval, row.expires.Sub(now))
	}
	refusal := judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, "a request with this content crashes the upstreams that run it").WithRetryAfter(wait + st.jitter(isolationRetrySpread))
	refusal.Status = http.StatusServiceUnavailable
	return refusal
}

// recordCrash records the crash of an upstream during attempts of this entry. The lock
// must be held.
func (st *state) recordCrash(now time.Time, id string, attempts []isolator.Attempt) {
	added := st.isolation.isolator.RecordCrash(now, id, attempts)
	for _, record := range added {
		st.isolation.observed[record.Fingerprint] = now
	}
	st.queueRecords(now, added)
	if len(added) > 0 {
		st.log.Info().Str("event", "upstream_crashed").Str("upstream", id).Int("attempts", len(attempts)).
			Str("fingerprint", added[0].Fingerprint.String()).Int("crashes", st.isolation.isolator.Crashes(now, added[0].Fingerprint)).Send()
	}
}

// recordCompletion records that an upstream has run the call to its end, which shows
// that its request does not crash upstreams. The lock must be held.
func (st *state) recordCompletion(now time.Time, f isolator.Fingerprint) {
	if record, cleared := st.isolation.isolator.RecordCompletion(now, f); cleared {
		st.queueRecords(now, []isolator.CrashRecord{record})
	}
}

// queueRecords queues new crash records for other entries. If a request has several
// crashes, all its records are sent again, as other entries may lack some.
func (st *state) queueRecords(now time.Time, records []isolator.CrashRecord) {
	is := &st.isolation
	for _, record := range records {
		crashes := is.isolator.Crashes(now, record.Fingerprint)
		all := []isolator.CrashRecord{record}
		if crashes > 1 && !record.Completed {
			all = is.isolator.Records(now, record.Fingerprint)
		}
		is.queue = slices.DeleteFunc(is.queue, func(q queuedRecord) bool { return q.Fingerprint == record.Fingerprint && crashes > 1 })
		for _, r := range all {
			is.queue = append(is.queue, queuedRecord{CrashRecord: r, queuedAt: now, crashes: crashes})
		}
	}
	slices.SortStableFunc(is.queue, func(a, b queuedRecord) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sends, b.sends), b.queuedAt.Compare(a.queuedAt))
	})
	is.queue = is.queue[:min(len(is.queue), maxQueuedRecords)]
}

// nextRecords returns the crash records to send in this round.
func (st *state) nextRecords(now time.Time) []isolator.CrashRecord {
	is := &st.isolation
	if !is.lastRoundAt.IsZero() && now.Sub(is.lastRoundAt) > maxRoundDelay {
		is.backlogUntil = now.Add(backlogTime)
	}
	is.lastRoundAt = now
	is.queue = slices.DeleteFunc(is.queue, func(q queuedRecord) bool {
		return q.sends >= recordSends || now.Sub(q.queuedAt) > recordSendTime
	})
	var records []isolator.CrashRecord
	for i := range is.queue[:min(len(is.queue), maxSentRecords)] {
		q := &is.queue[i]
		q.sends++
		record := q.CrashRecord
		record.AgeMS += now.Sub(q.queuedAt).Milliseconds()
		records = append(records, record)
	}
	return records
}

// mergeRecords merges the crash records of another entry.
func (st *state) mergeRecords(now time.Time, records []isolator.CrashRecord) {
	is := &st.isolation
	if now.Before(is.backlogUntil) || !is.lastRoundAt.IsZero() && now.Sub(is.lastRoundAt) > maxRoundDelay {
		return
	}
	var added []isolator.CrashRecord
	for _, record := range records {
		if is.isolator.Merge(now, record) {
			added = append(added, record)
		}
	}
	if len(added) > 0 {
		st.queueRecords(now, added)
	}
}

// pickForSuspect picks an upstream on which no other suspect of this entry runs. It
// returns false if the request is no suspect or there is no such upstream. The lock
// must be held.
func (st *state) pickForSuspect(now time.Time, c *call, query router.Request) (router.Upstream, bool) {
	ids := st.suspectUpstreams(now, c.fingerprint)
	if len(ids) == 0 {
		return router.Upstream{}, false
	}
	query.Exclude = append(slices.Clone(query.Exclude), ids...)
	return st.router.Pick(now, query)
}

// suspectUpstreams returns the upstreams on which other suspects of this entry run, if
// the request is a suspect. The lock must be held.
func (st *state) suspectUpstreams(now time.Time, f isolator.Fingerprint) []string {
	if len(st.isolation.suspects) == 0 || st.crashStatus(now, f) != isolator.Suspect {
		return nil
	}
	var ids []string
	for id, suspects := range st.isolation.suspects {
		if _, own := suspects[f]; !own || len(suspects) > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// beginSuspect and endSuspect count an attempt of a suspect request on its upstream.
// beginSuspect reports whether the request is a suspect. The lock must be held.
func (st *state) beginSuspect(now time.Time, c *call) bool {
	if st.crashStatus(now, c.fingerprint) != isolator.Suspect {
		return false
	}
	suspects, ok := st.isolation.suspects[c.upstream.ID]
	if !ok {
		suspects = map[isolator.Fingerprint]int{}
		st.isolation.suspects[c.upstream.ID] = suspects
	}
	suspects[c.fingerprint]++
	return true
}

func (st *state) endSuspect(c *call) {
	suspects := st.isolation.suspects[c.upstream.ID]
	if suspects[c.fingerprint]--; suspects[c.fingerprint] <= 0 {
		delete(suspects, c.fingerprint)
	}
	if len(suspects) == 0 {
		delete(st.isolation.suspects, c.upstream.ID)
	}
}

// applyIsolationRows applies changed rows of the table of isolated requests.
func (st *state) applyIsolationRows(now time.Time, changed []provider.StoreRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	is := &st.isolation
	for _, row := range changed {
		f, err := isolator.ParseFingerprint(row.Key)
		if err != nil {
			st.log.Warn().Str("event", "isolation_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		if row.Deleted {
			old := is.rows[f]
			delete(is.rows, f)
			if old.version.Era() < row.Version.Era() {
				is.lost[f] = old
				continue
			}
			is.isolator.Release(f)
			continue
		}
		delete(is.lost, f)
		var isolated isolationRow
		if err := json.Unmarshal(row.Value, &isolated); err != nil {
			st.log.Warn().Str("event", "isolation_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		age := min(isolationLifetime, max(0, st.agreedTime(now).Sub(time.UnixMilli(isolated.IsolatedMS))))
		isolated.version, isolated.expires = row.Version, now.Add(isolationLifetime-age)
		is.rows[f] = isolated
		is.isolator.Isolate(now, f, isolated.expires)
		st.log.Info().Str("event", "isolation_listed").Str("fingerprint", row.Key).Str("entry", isolated.Entry).Int("crashes", isolated.Crashes).Dur("age", age).Send()
	}
}

// maintainIsolations writes confirmed requests to the store and deletes expired rows,
// until ctx ends.
func (g *Gateway) maintainIsolations(ctx context.Context) error {
	for waiter.Pause(ctx, g.state.jitter(isolationInterval)) {
		now := g.cfg.Now()
		change := g.state.isolationChange(now, g.isLeaderNow(now))
		if len(change.Put)+len(change.Delete) == 0 {
			continue
		}
		result, err := g.cfg.Store.Commit(ctx, change)
		g.cfg.Log.Info().Str("event", "isolations_written").Int("added", len(change.Put)).Int("deleted", len(change.Delete)).
			Bool("applied", err == nil && result.Applied).Err(err).Send()
	}
	return nil
}

// isolationChange returns the change of the table of isolated requests that this entry
// has to make. A request is added if two checks in a row have found it confirmed, by
// the entries that observed a crash of it and by the leader. Rows are deleted by the
// leader.
func (st *state) isolationChange(now time.Time, leader bool) provider.Commit {
	st.mu.Lock()
	defer st.mu.Unlock()
	is := &st.isolation
	previous := is.confirmed
	is.confirmed = map[isolator.Fingerprint]bool{}
	var change provider.Commit
	for _, f := range is.isolator.Confirmed(now) {
		is.confirmed[f] = true
		_, observed := is.observed[f]
		if !previous[f] || !observed && !leader || len(change.Put) >= maxIsolations {
			continue
		}
		change = st.putIsolation(change, f, isolationRow{IsolatedMS: st.agreedTime(now).UnixMilli(), Crashes: is.isolator.Crashes(now, f), Entry: st.cfg.ID})
	}
	for f, row := range is.lost {
		_, observed := is.observed[f]
		switch {
		case is.isolator.Status(now, f) != isolator.Confirmed:
			delete(is.lost, f)
		case (observed || leader) && len(change.Put) < maxIsolations:
			change = st.putIsolation(change, f, row)
		}
	}
	for f, row := range is.rows {
		_, observed := is.observed[f]
		if len(change.Delete) < maxIsolations && (leader || observed) && is.isolator.Status(now, f) != isolator.Confirmed {
			change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String(), Version: row.version})
			change.Delete = append(change.Delete, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String()})
		}
	}
	for f, at := range is.observed {
		if now.Sub(at) > isolationLifetime {
			delete(is.observed, f)
		}
	}
	return change
}

// putIsolation adds a row of the table of isolated requests to a change, unless there is
// one.
func (st *state) putIsolation(change provider.Commit, f isolator.Fingerprint, row isolationRow) provider.Commit {
	value, err := json.Marshal(row)
	if err != nil {
		st.log.Error().Str("event", "isolation_not_encoded").Str("fingerprint", f.String()).Err(err).Send()
		return change
	}
	change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String()})
	change.Put = append(change.Put, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String(), Value: value})
	return change
}

// isLeaderNow reports whether this entry may act as the leader.
func (g *Gateway) isLeaderNow(now time.Time) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.isLeader(now)
}

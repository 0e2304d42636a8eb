package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
)

const (
	// maxQuarantineChanges bounds the rows that one commit changes.
	maxQuarantineChanges = 50
	// maxQuarantineRows bounds the table of quarantined requests.
	maxQuarantineRows = 1024
	// lostRowDelay is the time in which a lost row is left to its usual writers.
	lostRowDelay = time.Second
	// quarantinePollTimeout limits one long poll of the table of quarantined requests,
	// of which entries also learn by messages.
	quarantinePollTimeout = 25 * time.Second
)

// quarantineRow is a row of the table of quarantined requests and parts of prompts. Its key
// is the fingerprint.
type quarantineRow struct {
	// SinceMS is when it was confirmed, in Unix milliseconds.
	SinceMS int64  `json:"since_ms"`
	Crashes int    `json:"crashes"`
	Entry   string `json:"entry"`
	// Part is the id of a part of prompts and Depth its position, if the row is of a part.
	Part  string `json:"part,omitempty"`
	Depth int    `json:"depth,omitempty"`

	version provider.Version
	expires time.Time
	// lostAt is when the row was found missing after the store's return from an older copy.
	lostAt time.Time
}

// applyQuarantineRows applies changed rows of the table of quarantined requests.
func (st *state) applyQuarantineRows(now time.Time, changed []provider.StoreRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	q := &st.quarantine
	for _, row := range changed {
		f, err := isolator.ParseFingerprint(row.Key)
		if err != nil {
			st.log.Warn().Str("event", "quarantine_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		if row.Deleted {
			old := q.rows[f]
			delete(q.rows, f)
			if old.version.Era() < row.Version.Era() {
				old.lostAt = now
				q.lost[f] = old
				st.log.Info().Str("event", "quarantine_lost").Str("fingerprint", row.Key).Uint64("era", row.Version.Era()).Uint64("previous", old.version.Era()).Send()
				continue
			}
			withEvidence(st.log.Info().Str("event", "quarantine_ended"), f, q.isolator.Evidence(now, f)).Str("listed_by", old.Entry).Send()
			q.isolator.Release(now, f)
			continue
		}
		delete(q.lost, f)
		var listed quarantineRow
		if err := json.Unmarshal(row.Value, &listed); err != nil {
			st.log.Warn().Str("event", "quarantine_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		age := min(quarantineLifetime, max(0, st.agreedTime(now).Sub(time.UnixMilli(listed.SinceMS))))
		listed.version, listed.expires = row.Version, now.Add(quarantineLifetime-age)
		q.rows[f] = listed
		if listed.Depth > 0 {
			q.isolator.QuarantinePart(now, isolator.Part{Fingerprint: f, Depth: listed.Depth}, listed.expires)
		} else {
			q.isolator.Quarantine(now, f, listed.expires)
		}
		st.log.Info().Str("event", "quarantine_listed").Str("fingerprint", row.Key).Str("entry", listed.Entry).Int("crashes", listed.Crashes).Str("part", listed.Part).Dur("age", age).Send()
	}
}

// maintainQuarantine writes confirmed requests to the store and deletes expired rows,
// until ctx ends.
func (g *Gateway) maintainQuarantine(ctx context.Context) error {
	for waiter.Pause(ctx, g.state.jitter(quarantineInterval)) {
		now := g.cfg.Now()
		change := g.state.quarantineChange(now, g.isLeaderNow())
		if len(change.Put)+len(change.Delete) == 0 {
			continue
		}
		result, err := g.cfg.Store.Commit(ctx, change)
		g.cfg.Log.Info().Str("event", "quarantine_written").Int("added", len(change.Put)).Int("deleted", len(change.Delete)).
			Bool("applied", err == nil && result.Applied).Err(err).Send()
	}
	return nil
}

// quarantineChange returns the change of the table of quarantined requests that this entry
// has to make.
func (st *state) quarantineChange(now time.Time, leader bool) provider.Commit {
	st.mu.Lock()
	defer st.mu.Unlock()
	var change provider.Commit
	st.addQuarantined(now, leader, &change)
	st.addConvicted(now, leader, &change)
	st.deleteQuarantined(now, leader, &change)
	q := &st.quarantine
	for f := range q.observed {
		_, listed := q.rows[f]
		_, lost := q.lost[f]
		if !listed && !lost && st.crashStatus(now, f) == isolator.Clear {
			delete(q.observed, f)
		}
	}
	return change
}

// addQuarantined adds the rows of requests that two checks in a row have found confirmed,
// and of those that the store has lost. They are written by the entries that observed
// the requests and by the leader. The lock must be held.
func (st *state) addQuarantined(now time.Time, leader bool, change *provider.Commit) {
	q := &st.quarantine
	previous := q.confirmed
	q.confirmed = map[isolator.Fingerprint]bool{}
	for _, f := range q.isolator.Confirmed(now) {
		q.confirmed[f] = true
		if !previous[f] {
			withEvidence(st.log.Info().Str("event", "request_confirmed"), f, q.isolator.Evidence(now, f)).Bool("observed", q.observed[f]).Send()
		}
		if previous[f] && (leader || q.observed[f]) && len(change.Put) < maxQuarantineChanges {
			st.putQuarantined(change, f, quarantineRow{SinceMS: st.agreedTime(now).UnixMilli(), Crashes: q.isolator.Crashes(now, f), Entry: st.cfg.ID})
		}
	}
	for f, row := range q.lost {
		switch {
		case st.crashStatus(now, f) != isolator.Confirmed:
			delete(q.lost, f)
		case (leader || q.observed[f] || now.Sub(row.lostAt) >= lostRowDelay) && len(change.Put) < maxQuarantineChanges:
			st.putQuarantined(change, f, row)
		}
	}
}

// deleteQuarantined deletes the rows of requests that are no longer confirmed and, beyond
// maxQuarantineRows, the oldest ones. The lock must be held.
func (st *state) deleteQuarantined(now time.Time, leader bool, change *provider.Commit) {
	q := &st.quarantine
	oldest := slices.SortedFunc(maps.Keys(q.rows), func(a, b isolator.Fingerprint) int { return q.rows[a].expires.Compare(q.rows[b].expires) })
	for i, f := range oldest {
		excess := leader && i < len(oldest)-maxQuarantineRows
		ended := (leader || q.observed[f]) && st.crashStatus(now, f) != isolator.Confirmed
		if (excess || ended) && len(change.Delete) < maxQuarantineChanges {
			change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Quarantine, Key: f.String(), Version: q.rows[f].version})
			change.Delete = append(change.Delete, provider.StoreRow{Table: st.cfg.Tables.Quarantine, Key: f.String()})
		}
	}
}

// putQuarantined adds a row to a change, unless the table has one.
func (st *state) putQuarantined(change *provider.Commit, f isolator.Fingerprint, row quarantineRow) {
	value, err := json.Marshal(row)
	if err != nil {
		st.log.Error().Str("event", "quarantine_not_encoded").Str("fingerprint", f.String()).Err(err).Send()
		return
	}
	change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Quarantine, Key: f.String()})
	change.Put = append(change.Put, provider.StoreRow{Table: st.cfg.Tables.Quarantine, Key: f.String(), Value: value})
}

// isLeaderNow reports whether this entry may act as the leader.
func (g *Gateway) isLeaderNow() bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.isLeader()
}

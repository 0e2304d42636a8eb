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
	// maxIsolations bounds the rows that one commit changes.
	maxIsolations = 50
	// maxIsolationRows bounds the table of isolated requests.
	maxIsolationRows = 1024
	// isolationPollTimeout limits one long poll of the table of isolated requests.
	isolationPollTimeout = 25 * time.Second
)

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
				st.log.Info().Str("event", "isolation_lost").Str("fingerprint", row.Key).Uint64("era", row.Version.Era()).Uint64("previous", old.version.Era()).Send()
				continue
			}
			withEvidence(st.log.Info().Str("event", "isolation_ended"), f, is.isolator.Evidence(now, f)).Str("listed_by", old.Entry).Send()
			is.isolator.Release(now, f)
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
// has to make.
func (st *state) isolationChange(now time.Time, leader bool) provider.Commit {
	st.mu.Lock()
	defer st.mu.Unlock()
	var change provider.Commit
	st.addIsolations(now, leader, &change)
	st.deleteIsolations(now, leader, &change)
	is := &st.isolation
	for f := range is.observed {
		_, listed := is.rows[f]
		_, lost := is.lost[f]
		if !listed && !lost && st.crashStatus(now, f) == isolator.Clear {
			delete(is.observed, f)
		}
	}
	return change
}

// addIsolations adds the rows of requests that two checks in a row have found confirmed,
// and of those that the store has lost. They are written by the entries that observed
// the requests and by the leader. The lock must be held.
func (st *state) addIsolations(now time.Time, leader bool, change *provider.Commit) {
	is := &st.isolation
	previous := is.confirmed
	is.confirmed = map[isolator.Fingerprint]bool{}
	for _, f := range is.isolator.Confirmed(now) {
		is.confirmed[f] = true
		if !previous[f] {
			withEvidence(st.log.Info().Str("event", "request_confirmed"), f, is.isolator.Evidence(now, f)).Bool("observed", is.observed[f]).Send()
		}
		if previous[f] && (leader || is.observed[f]) && len(change.Put) < maxIsolations {
			st.putIsolation(change, f, isolationRow{IsolatedMS: st.agreedTime(now).UnixMilli(), Crashes: is.isolator.Crashes(now, f), Entry: st.cfg.ID})
		}
	}
	for f, row := range is.lost {
		switch {
		case st.crashStatus(now, f) != isolator.Confirmed:
			delete(is.lost, f)
		case (leader || is.observed[f]) && len(change.Put) < maxIsolations:
			st.putIsolation(change, f, row)
		}
	}
}

// deleteIsolations deletes the rows of requests that are no longer confirmed and, beyond
// maxIsolationRows, the oldest ones. The lock must be held.
func (st *state) deleteIsolations(now time.Time, leader bool, change *provider.Commit) {
	is := &st.isolation
	oldest := slices.SortedFunc(maps.Keys(is.rows), func(a, b isolator.Fingerprint) int { return is.rows[a].expires.Compare(is.rows[b].expires) })
	for i, f := range oldest {
		excess := leader && i < len(oldest)-maxIsolationRows
		ended := (leader || is.observed[f]) && st.crashStatus(now, f) != isolator.Confirmed
		if (excess || ended) && len(change.Delete) < maxIsolations {
			change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String(), Version: is.rows[f].version})
			change.Delete = append(change.Delete, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String()})
		}
	}
}

// putIsolation adds a row to a change, unless the table has one.
func (st *state) putIsolation(change *provider.Commit, f isolator.Fingerprint, row isolationRow) {
	value, err := json.Marshal(row)
	if err != nil {
		st.log.Error().Str("event", "isolation_not_encoded").Str("fingerprint", f.String()).Err(err).Send()
		return
	}
	change.Expect = append(change.Expect, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String()})
	change.Put = append(change.Put, provider.StoreRow{Table: st.cfg.Tables.Isolations, Key: f.String(), Value: value})
}

// isLeaderNow reports whether this entry may act as the leader.
func (g *Gateway) isLeaderNow(now time.Time) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.isLeader(now)
}

package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// usageSettleTime is the time after the end of a window in which the entries
	// send their last counts of it.
	usageSettleTime = time.Second
	// A report is sent usageReportLead before it is due even if some entries have
	// sent no counts since the window ended.
	usageReportLead = 3 * time.Second
	// maxOpenUsageWindows is the number of ended windows that may be unreported. A new
	// leader reports no older ones.
	maxOpenUsageWindows = 4
	// usageKeyPrefix is the prefix of the keys of agreed counts.
	usageKeyPrefix = "usage/"
)

// usageReporter reports organisations' usage. The counts of a window are written to
// the store once before they are reported, so that all reports of a window are equal,
// whichever leader sends them.
type usageReporter struct {
	g               *Gateway
	leader          *leader
	agreedCounts    map[accountant.Window]accountant.Counts
	reportedWindows map[accountant.Window]bool
	// eras are the times at which eras of the store began, as the table of leases has
	// them.
	eras map[uint64]time.Time
}

func newUsageReporter(g *Gateway, l *leader) *usageReporter {
	return &usageReporter{g: g, leader: l, agreedCounts: map[accountant.Window]accountant.Counts{}, reportedWindows: map[accountant.Window]bool{}, eras: map[uint64]time.Time{}}
}

// addAgreedRows adds the agreed counts in the rows of the table of leases.
func (u *usageReporter) addAgreedRows(page provider.Page) {
	newest := accountant.Window(0)
	for _, row := range page.Rows {
		u.addEraRow(row)
		window, ok := windowFromKey(row.Key)
		if !ok {
			continue
		}
		var counts accountant.Counts
		if err := json.Unmarshal(row.Value, &counts); err != nil {
			u.g.cfg.Log.Error().Str("event", "usage_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		u.agreedCounts[window] = counts
		newest = max(newest, window)
	}
	maps.DeleteFunc(u.agreedCounts, func(w accountant.Window, _ accountant.Counts) bool { return w < newest-2*keptUsageWindows })
}

func windowFromKey(key string) (accountant.Window, bool) {
	number, found := strings.CutPrefix(key, usageKeyPrefix)
	if !found {
		return 0, false
	}
	window, err := strconv.ParseInt(number, 10, 64)
	return window, err == nil
}

// reportEnded reports the windows that have ended.
func (u *usageReporter) reportEnded(ctx context.Context) {
	if u.g.cfg.UsageWindow <= 0 {
		return
	}
	st := u.g.state
	st.mu.Lock()
	localNow := u.g.cfg.Now()
	now := st.agreedTime(localNow)
	st.mu.Unlock()
	clockOffset := now.Sub(localNow)
	currentWindow := st.accountant.WindowAt(now)
	for w := currentWindow - maxOpenUsageWindows; w < currentWindow; w++ {
		if u.reportedWindows[w] || now.Before(st.accountant.WindowEnd(w).Add(usageSettleTime)) {
			continue
		}
		if !u.allReceived(localNow, st.accountant.WindowEnd(w).Add(-clockOffset)) && now.Before(st.accountant.WindowEnd(w).Add(u.g.cfg.MaxUsageDelay-usageReportLead)) {
			continue
		}
		u.report(ctx, w)
	}
	for w := range u.reportedWindows {
		if w < currentWindow-2*keptUsageWindows {
			delete(u.reportedWindows, w)
			delete(u.agreedCounts, w)
		}
	}
}

// allReceived reports whether the usage of every other entry with a current row has
// been received up to the end of a window. Both times are on this entry's own clock.
func (u *usageReporter) allReceived(now, end time.Time) bool {
	st := u.g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, p := range st.peers {
		if p.usageReceivedAt.Before(end) && now.Sub(p.rowReadAt) < memberRowTimeout*st.memberIntervalFactor() {
			return false
		}
	}
	return true
}

func (u *usageReporter) report(ctx context.Context, w accountant.Window) {
	counts, ok := u.agreedCounts[w]
	if !ok {
		reported, known := u.mayBeReported(ctx, w)
		if !known {
			return
		}
		if reported {
			u.g.cfg.Log.Warn().Str("event", "usage_not_agreed").Int64("window", w).Uint64("era", u.leader.era).
				Str("reason", "it may have been reported before the store returned from an older copy").Send()
			u.reportedWindows[w] = true
			return
		}
		if counts, ok = u.agreeCounts(ctx, w); !ok {
			return
		}
	}
	if len(counts) == 0 {
		u.reportedWindows[w] = true
		return
	}
	sentAt := u.g.cfg.Now()
	t, err := u.leader.callCloud(ctx, func(ctx context.Context, t term) error {
		return u.g.cfg.Cloud.Report(ctx, Usage{Window: w, Counts: counts, Holder: t.entry, Fence: t.fence})
	})
	took := u.g.cfg.Now().Sub(sentAt)
	if err != nil {
		u.g.cfg.Log.Warn().Str("event", "usage_not_reported").Int64("window", w).Uint64("fence", t.fence).Dur("lease_left", t.left).Dur("took", took).Err(err).Send()
		return
	}
	u.reportedWindows[w] = true
	u.g.metrics.Count("usage_reports")
	u.g.cfg.Log.Info().Str("event", "usage_reported").Int64("window", w).Uint64("fence", t.fence).Int("organisations", len(counts)).
		Dur("lease_left", t.left).Dur("took", took).Send()
}

// agreeCounts writes the counts of a window to the store, unless another leader has
// done so, and returns the counts in the store. It returns false if they are unknown.
func (u *usageReporter) agreeCounts(ctx context.Context, w accountant.Window) (accountant.Counts, bool) {
	st := u.g.state
	st.mu.Lock()
	counts := st.accountant.Total(w)
	st.mu.Unlock()
	if len(counts) == 0 {
		return counts, true
	}
	value, err := json.Marshal(counts)
	if err != nil {
		u.g.cfg.Log.Error().Str("event", "usage_not_encoded").Int64("window", w).Err(err).Send()
		return nil, false
	}
	table, key := u.g.cfg.Tables.Leases, usageKeyPrefix+strconv.FormatInt(w, 10)
	change := provider.Commit{
		Expect: []provider.StoreRow{{Table: table, Key: key}},
		Put:    []provider.StoreRow{{Table: table, Key: key, Value: value}},
		Delete: []provider.StoreRow{{Table: table, Key: usageKeyPrefix + strconv.FormatInt(w-2*keptUsageWindows, 10)}},
	}
	result, err := u.leader.commit(ctx, change)
	switch {
	case err != nil:
		// Unless the store refused the write, its outcome is unknown until the row is
		// read.
		u.g.cfg.Log.Warn().Str("event", "usage_not_agreed").Int64("window", w).Err(err).Send()
		if !errorx.IsOfType(err, provider.Refused) && !errorx.IsOfType(err, provider.GuardFailed) {
			if readErr := u.leader.readLease(ctx); readErr != nil {
				u.g.cfg.Log.Debug().Str("event", "lease_not_read").Err(readErr).Send()
			}
		}
		return nil, false
	case !result.Applied:
		u.addAgreedRows(provider.Page{Rows: result.Current})
		counts, ok := u.agreedCounts[w]
		return counts, ok
	}
	u.agreedCounts[w] = counts
	return counts, true
}

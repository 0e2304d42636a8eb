package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// usageSettleTime is the time after the end of a window in which the entries
	// tell their last counts of it.
	usageSettleTime = time.Second
	// usageReportLead is the time before a report is due in which it is sent even
	// if some entries were not heard since the window ended.
	usageReportLead = 3 * time.Second
	// maxOpenUsageWindows is the number of ended windows that a new holder looks at.
	maxOpenUsageWindows = 4
	// usageKeyPrefix begins the keys of agreed counts.
	usageKeyPrefix = "usage/"
)

// usageReporter reports what organisations used. The counts of a window are
// agreed in the store before they are sent, so that every report of a window is
// the same, whoever sends it.
type usageReporter struct {
	g               *Gateway
	leader          *leader
	agreedCounts    map[accountant.Window]accountant.Counts
	reportedWindows map[accountant.Window]bool
}

func newUsageReporter(g *Gateway, d *leader) *usageReporter {
	return &usageReporter{g: g, leader: d, agreedCounts: map[accountant.Window]accountant.Counts{}, reportedWindows: map[accountant.Window]bool{}}
}

// addAgreedRows takes the agreed counts from the table of duties.
func (u *usageReporter) addAgreedRows(page provider.Page) {
	for _, row := range page.Rows {
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
	}
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
	b := u.g.state
	b.mu.Lock()
	own := u.g.cfg.Now()
	now := b.agreedTime(own)
	b.mu.Unlock()
	ahead := now.Sub(own)
	present := b.accountant.WindowAt(now)
	for w := present - maxOpenUsageWindows; w < present; w++ {
		if u.reportedWindows[w] || now.Before(b.accountant.WindowEnd(w).Add(usageSettleTime)) {
			continue
		}
		if !u.allReceived(own, b.accountant.WindowEnd(w).Add(-ahead)) && now.Before(b.accountant.WindowEnd(w).Add(u.g.cfg.MaxUsageDelay-usageReportLead)) {
			continue
		}
		u.report(ctx, w)
	}
	for w := range u.reportedWindows {
		if w < present-2*keptUsageWindows {
			delete(u.reportedWindows, w)
			delete(u.agreedCounts, w)
		}
	}
}

// allReceived reports whether every other entry was heard since a window ended, both
// times on this entry's own clock.
func (u *usageReporter) allReceived(now, end time.Time) bool {
	b := u.g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.usageReceivedAt.Before(end) && now.Sub(p.rowReadAt) < memberRowTimeout*b.memberIntervalFactor() {
			return false
		}
	}
	return true
}

func (u *usageReporter) report(ctx context.Context, w accountant.Window) {
	counts, ok := u.agreedCounts[w]
	if !ok {
		if counts, ok = u.agreeCounts(ctx, w); !ok {
			return
		}
	}
	if len(counts) == 0 {
		u.reportedWindows[w] = true
		return
	}
	holder, fence, may := u.leader.fencingToken()
	if !may {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudCallTimeout)
	defer cancel()
	err := u.g.cfg.Cloud.Report(ctx, Usage{Window: w, Counts: counts, Holder: holder, Fence: fence})
	if err != nil {
		u.g.cfg.Log.Warn().Str("event", "usage_not_reported").Int64("window", w).Uint64("fence", fence).Err(err).Send()
		return
	}
	u.reportedWindows[w] = true
	u.g.metrics.Count("usage_reports")
	u.g.cfg.Log.Info().Str("event", "usage_reported").Int64("window", w).Uint64("fence", fence).Int("organisations", len(counts)).Send()
}

// agreeCounts writes the counts of a window, unless another holder has done so.
func (u *usageReporter) agreeCounts(ctx context.Context, w accountant.Window) (accountant.Counts, bool) {
	b := u.g.state
	b.mu.Lock()
	counts := b.accountant.Total(w)
	b.mu.Unlock()
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
	result, err := u.g.cfg.Store.Commit(ctx, change)
	switch {
	case err != nil:
		// Whether the row was written is not known, except where the store
		// refused: the next read tells.
		u.g.cfg.Log.Warn().Str("event", "usage_not_agreed").Int64("window", w).Err(err).Send()
		if !errorx.IsOfType(err, provider.Refused) {
			if seen := u.leader.readLease(ctx); seen != nil {
				u.g.cfg.Log.Debug().Str("event", "lease_not_read").Err(seen).Send()
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

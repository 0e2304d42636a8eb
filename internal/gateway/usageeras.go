package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// eraKeyPrefix is the prefix of the keys of eraRows.
	eraKeyPrefix = "era/"
	// maxEraRows is the number of eras before the current one whose rows are kept.
	maxEraRows = 2
	// eraMargin is the largest difference of the agreed times of two entries.
	eraMargin = time.Second
)

// eraRow says when the entries first saw an era of the store, in Unix milliseconds.
type eraRow struct {
	BeganMS int64 `json:"began_ms"`
}

func eraKey(era uint64) string { return eraKeyPrefix + strconv.FormatUint(era, 10) }

// addEraRow adds the time in an eraRow of the table of leases.
func (u *usageReporter) addEraRow(row provider.StoreRow) {
	text, found := strings.CutPrefix(row.Key, eraKeyPrefix)
	if !found {
		return
	}
	era, err := strconv.ParseUint(text, 10, 64)
	var value eraRow
	if err == nil {
		err = json.Unmarshal(row.Value, &value)
	}
	if err != nil {
		u.g.cfg.Log.Error().Str("event", "era_row_invalid").Str("row", row.Key).Err(err).Send()
		return
	}
	u.eras[era] = time.UnixMilli(value.BeganMS)
}

// mayBeReported reports whether the usage of a window may have been reported on the
// basis of a row that the store lost when it returned from an older copy. It returns
// false in ok if that is not known yet.
func (u *usageReporter) mayBeReported(ctx context.Context, w accountant.Window) (reported, ok bool) {
	era := u.leader.era
	if era == 0 {
		return false, true
	}
	began, known := u.eras[era]
	if !known {
		if began, known = u.writeEraRow(ctx, era); !known {
			return false, false
		}
	}
	return !u.g.state.accountant.WindowEnd(w).Add(usageSettleTime).After(began.Add(eraMargin)), true
}

// writeEraRow writes the time at which an era began, unless another leader has, and
// returns the time in the store.
func (u *usageReporter) writeEraRow(ctx context.Context, era uint64) (time.Time, bool) {
	st := u.g.state
	st.mu.Lock()
	now := st.agreedTime(u.g.cfg.Now())
	st.mu.Unlock()
	value, err := json.Marshal(eraRow{BeganMS: now.UnixMilli()})
	if err != nil {
		u.g.cfg.Log.Error().Str("event", "era_row_not_encoded").Err(err).Send()
		return time.Time{}, false
	}
	row := provider.StoreRow{Table: u.g.cfg.Tables.Leases, Key: eraKey(era), Value: value}
	change := provider.Commit{Expect: []provider.StoreRow{{Table: row.Table, Key: row.Key}}, Put: []provider.StoreRow{row}}
	for old := range u.eras {
		if old+maxEraRows < era {
			change.Delete = append(change.Delete, provider.StoreRow{Table: row.Table, Key: eraKey(old)})
			delete(u.eras, old)
		}
	}
	result, err := u.leader.commit(ctx, change)
	if err != nil {
		u.g.cfg.Log.Warn().Str("event", "era_row_not_written").Uint64("era", era).Err(err).Send()
		return time.Time{}, false
	}
	if result.Applied {
		u.addEraRow(row)
	}
	for _, current := range result.Current {
		u.addEraRow(current)
	}
	began, known := u.eras[era]
	return began, known
}

package warmer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// assignedShare is the share of an upstream's rate that its assigned entries use.
	assignedShare = 0.75
	// window is the time over which the requests to an upstream are counted.
	window = time.Second
	// sentRetention is how long the time of a request is kept. Upstreams that bear less than
	// one request in this time get one.
	sentRetention = time.Minute
)

// SettleTime is the time after the first SetEntries in which an entry sends nothing. Entries
// that start together do not all find each other in their first reading of the list; their
// second one follows within this time. Without it 820 entries that started within three
// seconds sent 36 requests in one where 18 are allowed.
const SettleTime = 6 * time.Second

// Warmer decides whether an entry may send requests to cold upstreams. The zero value knows
// no entries and allows none. It is not safe for concurrent use.
type Warmer struct {
	self    string
	entries []string
	// settledAt is when the first SetEntries is SettleTime ago.
	settledAt time.Time
	// assigned caches isAssigned by upstream ID and number of assigned entries.
	assigned map[assignment]bool
	// sent are the times of the requests within the last window, by upstream ID.
	sent map[string][]time.Time
}

type assignment struct {
	id      string
	entries int
}

// SetEntries sets the IDs of all known entries, with or without this one, whose ID is self.
func (w *Warmer) SetEntries(now time.Time, self string, entries []string) {
	if w.settledAt.IsZero() {
		w.settledAt = now.Add(SettleTime)
	}
	w.self, w.entries = self, slices.Clone(entries)
	if !slices.Contains(w.entries, self) {
		w.entries = append(w.entries, self)
	}
	w.assigned = map[assignment]bool{}
}

// Allows reports whether this entry may send another request to a cold upstream that bears
// rate requests per second from all entries together.
func (w *Warmer) Allows(now time.Time, id string, rate float64) bool {
	if rate <= 0 || len(w.entries) == 0 || now.Before(w.settledAt) {
		return false
	}
	assigned := min(len(w.entries), max(1, int(assignedShare*rate)))
	if !w.isAssigned(id, assigned) {
		return false
	}
	each := max(1, int(assignedShare*rate)/assigned)
	span := window
	if rate < 1 {
		span = time.Duration(float64(window) / rate)
	}
	recent := 0
	for _, at := range w.sent[id] {
		if now.Sub(at) < span {
			recent++
		}
	}
	return recent < each
}

// isAssigned reports whether this entry is among the first of all entries in the rendezvous
// order of an upstream.
func (w *Warmer) isAssigned(id string, assigned int) bool {
	key := assignment{id, assigned}
	result, known := w.assigned[key]
	if !known {
		result = w.computeAssigned(id, assigned)
		w.assigned[key] = result
	}
	return result
}

func (w *Warmer) computeAssigned(id string, assigned int) bool {
	own, before := rank(w.self, id), 0
	for _, entry := range w.entries {
		if entry != w.self && rank(entry, id) > own {
			before++
		}
	}
	return before < assigned
}

// RecordRequest records that a request was sent to a cold upstream.
func (w *Warmer) RecordRequest(now time.Time, id string) {
	if w.sent == nil {
		w.sent = map[string][]time.Time{}
	}
	recent := slices.DeleteFunc(w.sent[id], func(at time.Time) bool { return now.Sub(at) > sentRetention })
	w.sent[id] = append(recent, now)
}

// Forget forgets an upstream that is no longer cold.
func (w *Warmer) Forget(id string) {
	delete(w.sent, id)
	maps.DeleteFunc(w.assigned, func(key assignment, _ bool) bool { return key.id == id })
}

func rank(entry, upstream string) uint64 { return xxhash.Sum64String(entry + "/" + upstream) }

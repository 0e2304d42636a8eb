package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storePageRows   = 500
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is the platform's store.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["rows_get"], s.get)
	mux.HandleFunc("GET "+names["rows_feed"], s.feed)
	mux.HandleFunc("POST "+names["rows_tx"], s.transact)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		mux.ServeHTTP(w, r)
	})
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: encoded})
	s.wake()
}

// apply applies a changed row at the current version. The lock must be held.
func (s *store) apply(row storeRow) {
	row.Version = s.version
	if row.Deleted {
		delete(s.rows, row.name())
	} else {
		s.rows[row.name()] = row
	}
	s.history = append(s.history, row)
}

// wake wakes the calls that wait for changes. The lock must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, truncated bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := storePageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], truncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if after > s.version {
			s.answer(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body map[string]json.RawMessage
	var expect, put, remove []storeRow
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for name, rows := range map[string]*[]storeRow{names["expected"]: &expect, "put": &put, "delete": &remove} {
		if text, ok := body[name]; ok && json.Unmarshal(text, rows) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	met := true
	for _, e := range expect {
		stored, ok := s.rows[e.name()]
		if ok {
			current = append(current, stored)
		}
		met = met && stored.Version == e.Version
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, row := range put {
		s.apply(row)
	}
	for _, row := range remove {
		row.Deleted = true
		s.apply(row)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}

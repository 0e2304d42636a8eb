package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as JSON.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// page is the body of the store's answers.
type page struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"ver"`
	NowMS     int64  `json:"now_ms"`
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.RowsGet, s.get)
	mux.HandleFunc("GET "+names.RowsFeed, s.feed)
	mux.HandleFunc("POST "+names.RowsTx, s.commit)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
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
	s.apply(row{Table: table, Key: key, Value: encoded})
}

// apply applies a changed row at the current version and wakes the waiting calls. The lock
// must be held.
func (s *store) apply(r row) {
	version := s.version
	r.Version = &version
	if r.Deleted {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(page{Rows: rows, Version: s.version, NowMS: time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	var rows []row
	for _, stored := range s.rows {
		if stored.Table == query.Get("table") && stored.Key >= query.Get("from") {
			rows = append(rows, stored)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, afterErr := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		changed := s.changed
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, change := range s.history {
			if change.Table == r.URL.Query().Get("table") && *change.Version > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t map[string][]row
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, e := range t[names.Expect] {
		stored, ok := s.rows[e.Table+"/"+e.Key]
		if ok {
			current = append(current, stored)
		}
		failed = failed || ok && *stored.Version != *e.Version || !ok && *e.Version != 0
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, put := range t["put"] {
		s.apply(put)
	}
	for _, deleted := range t["delete"] {
		deleted.Deleted = true
		s.apply(deleted)
	}
	s.answer(w, http.StatusOK, nil)
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table == table {
			n++
		}
	}
	return n
}

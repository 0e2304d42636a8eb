package emulator

import (
	"net/http"
	"strconv"
	"sync"
)

// journal records the requests that an upstream ran.
type journal struct {
	runsMu sync.Mutex
	runs   []Run
	index  map[attemptKey]int
}

type attemptKey struct {
	requestID string
	attempt   int
}

func (j *journal) add(run Run) int {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	if j.index == nil {
		j.index = map[attemptKey]int{}
	}
	j.runs = append(j.runs, run)
	j.index[attemptKey{run.RequestID, run.Attempt}] = len(j.runs) - 1
	return len(j.runs) - 1
}

func (j *journal) setProgress(i, tokens int, done bool) {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	j.runs[i].Tokens = tokens
	j.runs[i].Done = done
}

// Runs returns a copy of the records, oldest first.
func (j *journal) Runs() []Run {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	return append([]Run{}, j.runs...)
}

func (j *journal) find(id string, attempt int) (Run, bool) {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	i, ok := j.index[attemptKey{id, attempt}]
	if !ok {
		return Run{}, false
	}
	return j.runs[i], true
}

func (j *journal) mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/journal", handleJSON(func(*http.Request, struct{}) ([]Run, error) {
		return j.Runs(), nil
	}))
	mux.HandleFunc("GET /attempts/{id}/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		attempt, _ := strconv.Atoi(r.PathValue("attempt"))
		run, ok := j.find(r.PathValue("id"), attempt)
		if !ok {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, http.StatusOK, run)
	})
}

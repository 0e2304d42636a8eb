package emulator

import (
	"net/http"
	"strconv"
	"sync"
)

// journal is an upstream's own record of what it ran.
type journal struct {
	guard sync.Mutex
	runs  []Run
}

func (j *journal) add(run Run) int {
	j.guard.Lock()
	defer j.guard.Unlock()
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

func (j *journal) progress(at, tokens int, done bool) {
	j.guard.Lock()
	defer j.guard.Unlock()
	j.runs[at].Tokens = tokens
	j.runs[at].Done = done
}

// Runs returns a copy of the journal.
func (j *journal) Runs() []Run {
	j.guard.Lock()
	defer j.guard.Unlock()
	return append([]Run{}, j.runs...)
}

func (j *journal) find(id string, attempt int) (Run, bool) {
	j.guard.Lock()
	defer j.guard.Unlock()
	for _, run := range j.runs {
		if run.RequestID == id && run.Attempt == attempt {
			return run, true
		}
	}
	return Run{}, false
}

func (j *journal) mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/journal", handle(func(*http.Request, struct{}) ([]Run, error) {
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

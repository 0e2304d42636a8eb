package server

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// soloParts is the number of parts after which a suspect is no longer kept
// apart from other suspects: requests that crash upstreams do so early.
const soloParts = 2

// pickAlone chooses an upstream that no other suspect of this entry is on.
// Each entry prefers its own share of the upstreams, so that the suspects of
// two entries rarely meet. The lock must be held.
func (s *state) pickAlone(now time.Time, r *request, ask router.Ask) (router.Upstream, bool) {
	open := s.router.Open(now, ask)
	index, entries := s.rank(now)
	for _, own := range []bool{true, false} {
		for at, u := range open {
			if own && at%entries != index%max(1, min(entries, len(open))) {
				continue
			}
			if holder, taken := s.solo[u.ID]; taken && holder != r {
				continue
			}
			s.solo[u.ID] = r
			return u, true
		}
		if own && len(open) >= entries {
			// Its own share is busy: the suspect waits for its turn.
			return router.Upstream{}, false
		}
	}
	return router.Upstream{}, false
}

// rank returns this entry's place among the entries in reach, and their number.
func (s *state) rank(now time.Time) (int, int) {
	ids := []string{s.self.ID}
	for _, member := range s.tracker.Statuses(now) {
		if member.Reach != tracker.Lost {
			ids = append(ids, member.ID)
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, s.self.ID), len(ids)
}

// endSolo lets other suspects onto the upstream of a suspect.
func (s *Server) endSolo(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for id, holder := range s.state.solo {
		if holder == r {
			delete(s.state.solo, id)
		}
	}
}

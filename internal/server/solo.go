package server

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// soloParts is the number of parts after which another suspect may join a
// suspect on its upstream: requests that crash upstreams do so early. One that
// was in all the same deaths may not join even then, since the next death would
// not tell the two apart.
const soloParts = 2

// suspect is a suspected request on the upstream that it runs on.
type suspect struct {
	request *request
	// proved says that it has made its first parts there.
	proved bool
}

// pickAlone chooses an upstream that no other suspect of this entry is on.
// Each entry prefers its own share of the upstreams, so that the suspects of
// two entries rarely meet. The lock must be held.
func (s *state) pickAlone(now time.Time, r *request, ask router.Request) (router.Upstream, bool) {
	open := s.router.Eligible(now, ask)
	index, entries := s.rank(now)
	for _, own := range []bool{true, false} {
		for at, u := range open {
			if own && at%entries != index%max(1, min(entries, len(open))) {
				continue
			}
			if !s.mayJoin(now, r, s.suspects[u.ID]) {
				continue
			}
			s.suspects[u.ID] = append(s.suspects[u.ID], suspect{request: r})
			return u, true
		}
		if own && len(open) >= entries {
			// Its own share is busy: the suspect waits for its turn.
			return router.Upstream{}, false
		}
	}
	return router.Upstream{}, false
}

// mayJoin reports whether a suspect may run where others do.
func (s *state) mayJoin(now time.Time, r *request, others []suspect) bool {
	return !slices.ContainsFunc(others, func(other suspect) bool {
		return !other.proved || s.isolator.SharesAllCrashes(now, r.fingerprint, other.request.fingerprint)
	})
}

// rank returns this entry's place among the entries in reach, and their number.
func (s *state) rank(now time.Time) (int, int) {
	ids := []string{s.self.ID}
	for _, member := range s.tracker.Statuses(now) {
		if member.Reachability != tracker.Unreachable {
			ids = append(ids, member.ID)
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, s.self.ID), len(ids)
}

// prove records that a suspect has made its first parts.
func (s *Server) prove(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, list := range s.state.suspects {
		for i := range list {
			list[i].proved = list[i].proved || list[i].request == r
		}
	}
}

// endSolo records that a suspect has left its upstream.
func (s *Server) endSolo(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for id, list := range s.state.suspects {
		list = slices.DeleteFunc(list, func(other suspect) bool { return other.request == r })
		s.state.suspects[id] = list
		if len(list) == 0 {
			delete(s.state.suspects, id)
		}
	}
}

package server

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// isolationParts is the number of parts after which another suspect may join a
// suspect on its upstream: requests that crash upstreams do so early. One that
// was in all the same deaths may not join even then, since the next death would
// not tell the two apart.
const isolationParts = 2

// suspectRun is a suspected request on the upstream that it runs on.
type suspectRun struct {
	request *request
	// hasProgressed says that it has made its first parts there.
	hasProgressed bool
}

// pickIsolated chooses an upstream that no other suspect of this entry is on.
// Each entry prefers its own share of the upstreams, so that the suspects of
// two entries rarely meet. The lock must be held.
func (s *state) pickIsolated(now time.Time, r *request, ask router.Request) (router.Upstream, bool) {
	open := s.router.Eligible(now, ask)
	index, entries := s.entryIndex(now)
	for _, own := range []bool{true, false} {
		for at, u := range open {
			if own && at%entries != index%max(1, min(entries, len(open))) {
				continue
			}
			if !s.mayShareUpstream(now, r, s.suspects[u.ID]) {
				continue
			}
			s.suspects[u.ID] = append(s.suspects[u.ID], suspectRun{request: r})
			return u, true
		}
		if own && len(open) >= entries {
			// Its own share is busy: the suspect waits for its turn.
			return router.Upstream{}, false
		}
	}
	return router.Upstream{}, false
}

// mayShareUpstream reports whether a suspect may run where others do.
func (s *state) mayShareUpstream(now time.Time, r *request, others []suspectRun) bool {
	return !slices.ContainsFunc(others, func(other suspectRun) bool {
		return !other.hasProgressed || s.isolator.SharesAllCrashes(now, r.fingerprint, other.request.fingerprint)
	})
}

// entryIndex returns this entry's place among the entries in reach, and their number.
func (s *state) entryIndex(now time.Time) (int, int) {
	ids := []string{s.self.ID}
	for _, member := range s.tracker.Statuses(now) {
		if member.Reachability != tracker.Unreachable {
			ids = append(ids, member.ID)
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, s.self.ID), len(ids)
}

// markProgressed records that a suspect has made its first parts.
func (s *Server) markProgressed(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, list := range s.state.suspects {
		for i := range list {
			list[i].hasProgressed = list[i].hasProgressed || list[i].request == r
		}
	}
}

// endIsolation records that a suspect has left its upstream.
func (s *Server) endIsolation(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for id, list := range s.state.suspects {
		list = slices.DeleteFunc(list, func(other suspectRun) bool { return other.request == r })
		s.state.suspects[id] = list
		if len(list) == 0 {
			delete(s.state.suspects, id)
		}
	}
}

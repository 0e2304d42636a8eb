package server

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// isolationParts is the number of parts after which another suspect may join a
// suspect on its upstream: requests that crash upstreams do so early. A suspect
// may not join one that was in flight at all of the joining suspect's crashes,
// since one more crash would not show which of the two causes them.
const isolationParts = 2

// suspectRun is an isolated attempt of a suspect request.
type suspectRun struct {
	request *request
	// hasProgressed means that the attempt has generated more than isolationParts
	// parts.
	hasProgressed bool
}

// pickIsolated chooses an upstream for a suspect where mayShareUpstream allows it,
// and adds the suspect to the upstream's suspects. Each entry tries its own share
// of the upstreams first, so that suspects of two entries rarely run on the same
// one. The lock must be held.
func (s *state) pickIsolated(now time.Time, r *request, req router.Request) (router.Upstream, bool) {
	eligible := s.router.Eligible(now, req)
	index, entries := s.entryIndex(now)
	for _, ownShare := range []bool{true, false} {
		for i, u := range eligible {
			if ownShare && i%entries != index%max(1, min(entries, len(eligible))) {
				continue
			}
			if !s.mayShareUpstream(now, r, s.suspects[u.ID]) {
				continue
			}
			s.suspects[u.ID] = append(s.suspects[u.ID], suspectRun{request: r})
			return u, true
		}
		if ownShare && len(eligible) >= entries {
			// This entry's share is busy, and the other upstreams are other entries'
			// shares: the suspect waits.
			return router.Upstream{}, false
		}
	}
	return router.Upstream{}, false
}

// mayShareUpstream reports whether a suspect may run on an upstream on which the
// given other suspects run.
func (s *state) mayShareUpstream(now time.Time, r *request, others []suspectRun) bool {
	return !slices.ContainsFunc(others, func(other suspectRun) bool {
		return !other.hasProgressed || s.isolator.SharesAllCrashes(now, r.fingerprint, other.request.fingerprint)
	})
}

// entryIndex returns this entry's index among the entries that are not unreachable,
// ordered by ID, and their number.
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

// markProgressed records that a run, if it is a suspect, has generated its first
// parts.
func (s *Server) markProgressed(r *request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, list := range s.state.suspects {
		for i := range list {
			list[i].hasProgressed = list[i].hasProgressed || list[i].request == r
		}
	}
}

// endIsolation removes a run from the suspects of its upstream.
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

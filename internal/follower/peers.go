package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// Copy is a peer's copy of a table: the content as of Version. At a time Age before the copy
// was sent the store had no change that the copy lacks.
type Copy struct {
	provider.Page
	Age time.Duration
	// Peer is the name of the peer.
	Peer string
}

// PeerReader reads copies of tables from peers.
type PeerReader interface {
	// ReadTable returns the copy of a peer that is newer than a version.
	ReadTable(ctx context.Context, table string, newerThan provider.Version) (Copy, error)
}

// following is the time in which the copy comes from peers.
type following struct {
	since time.Time
	peer  string
	// copies is the number of copies that were adopted since.
	copies int
	// notBefore delays the next question to peers, by backoff.
	notBefore time.Time
	backoff   time.Duration
}

// Table returns the name of the table.
func (f *Follower) Table() string { return f.cfg.Table }

// Copy returns this copy for a peer, and false if the table was never read. now is a time of
// the steady clock.
func (f *Follower) Copy(now time.Time) (Copy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshness.confirmedAt.IsZero() {
		return Copy{}, false
	}
	c := Copy{Page: provider.Page{Version: f.known()}, Age: now.Sub(f.freshness.confirmedAt)}
	for _, row := range f.rows {
		c.Rows = append(c.Rows, row)
	}
	return c, true
}

// Following returns the peer whose copy of the table this one follows and since when, and false
// if the store has sent the whole table since. The time is one of the steady clock.
func (f *Follower) Following() (peer string, since time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following.peer, f.following.since, f.isFollowing()
}

// isFollowing reports whether the copy comes from a peer. It may have rows then that the store
// has deleted, as the peer keeps them: no change will say so. The lock must be held.
func (f *Follower) isFollowing() bool { return !f.following.since.IsZero() }

// endFollowing records that the store has sent the whole table. The lock must be held.
func (f *Follower) endFollowing() {
	if f.isFollowing() {
		f.cfg.Log.Info().Str("event", "peer_copies_end").Str("table", f.cfg.Table).Str("peer", f.following.peer).Int("copies", f.following.copies).
			Dur("lasted", f.cfg.SteadyNow().Sub(f.following.since)).Send()
	}
	f.following = following{}
}

// followPeers asks peers for their copies whenever they are needed, until ctx ends.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		delay, needed := f.peerDelay(f.cfg.SteadyNow())
		if needed && delay <= 0 {
			f.askPeer(ctx)
			continue
		}
		if !needed {
			delay = idleCheckInterval
		}
		pause(ctx, delay, f.askAgain)
	}
}

// peerDelay returns the time until a peer is asked for its copy, and whether one is needed.
func (f *Follower) peerDelay(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	turnedAway := s.refused || !f.failedSince.IsZero()
	lacking := !s.behindSince.IsZero() || s.confirmedAt.IsZero()
	return f.following.notBefore.Sub(now), turnedAway && lacking
}

// askPeer asks a peer for its copy and adopts it.
func (f *Follower) askPeer(ctx context.Context) {
	f.mu.Lock()
	known := f.known()
	f.mu.Unlock()
	sent := f.cfg.SteadyNow()
	callCtx, cancel := context.WithTimeout(ctx, f.cfg.CheckTimeout)
	c, err := f.cfg.Peers.ReadTable(callCtx, f.cfg.Table, known)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err == nil && f.adopt(f.cfg.Now(), c, sent.Add(-c.Age)) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following.backoff == 0 {
		f.cfg.Log.Info().Str("event", "peer_copy_failed").Str("table", f.cfg.Table).Uint64("version", known.Number()).Uint64("era", known.Era()).
			Str("peer", c.Peer).Err(err).Send()
	}
	f.following.backoff = min(MaxBackoff, max(minBackoff, 2*f.following.backoff))
	f.following.notBefore = f.cfg.SteadyNow().Add(f.following.backoff/2 + rand.N(f.following.backoff/2))
}

// adopt merges the copy of a peer, which the store had confirmed at a time of the steady clock.
// It returns false for one that is not newer than this copy, or of a newer era, which changes
// nothing.
func (f *Follower) adopt(now time.Time, c Copy, confirmed time.Time) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	// Only the store says what is lost in a new era.
	first := f.freshness.confirmedAt.IsZero()
	if !first && (c.Version <= f.known() || c.Version.Era() > f.known().Era()) {
		f.mu.Unlock()
		return false
	}
	changed, _ := f.mergePage(now, c.Page, query{}, true)
	f.mu.Unlock()
	if len(changed) > 0 {
		f.cfg.Apply(now, changed)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(confirmed, c.Version)
	f.freshness.newest = max(f.freshness.newest, newestOf(c.Rows))
	f.following.backoff, f.following.peer = 0, c.Peer
	f.following.copies++
	if !f.isFollowing() {
		steady := f.cfg.SteadyNow()
		f.following.since = steady
		f.cfg.Log.Warn().Str("event", "peer_copies_begin").Str("table", f.cfg.Table).Str("peer", c.Peer).Uint64("version", c.Version.Number()).Uint64("era", c.Version.Era()).
			Int("rows", len(c.Rows)).Dur("confirmed_age", steady.Sub(confirmed)).Send()
	}
	return true
}

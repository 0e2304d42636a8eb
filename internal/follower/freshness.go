package follower

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// checkTries is the number of calls of a check: after the first one without an answer
	// the second one opens a new connection.
	checkTries = 2
	// idleCheckInterval is the time after which FreshFor is called again if no check is
	// needed.
	idleCheckInterval = 500 * time.Millisecond
)

// The causes with which a check ends a poll: it has returned changes that the poll has not,
// or it got no answer.
var (
	errOvertaken   = errors.New("a check has returned newer changes")
	errUnconfirmed = errors.New("a check got no answer")
)

// Status says how up to date a copy of the table is.
type Status struct {
	// Newest is the version of the newest change that the copy has, Complete that up to
	// which it has all changes.
	Newest   provider.Version
	Complete provider.Version
	// Age is the time since the copy was confirmed.
	Age time.Duration
	// Snapshot is the version at which the table was last read as a whole: changes up to
	// it may be missing in those that were applied.
	Snapshot provider.Version
	// Known is the newest change that a peer is known to have, if the copy lacks it, and
	// Behind the time since such a change was first known. Both are zero otherwise.
	Known  provider.Version
	Behind time.Duration
}

// freshness is what a follower knows of how up to date its copy is. Times are of the
// steady clock.
type freshness struct {
	newest provider.Version
	// The copy has all changes up to complete, as was known at completeAt by the store or a
	// peer. ownComplete leaves peers out.
	complete, ownComplete provider.Version
	completeAt            time.Time
	snapshot              provider.Version
	// confirmedAt is a time at which the store had no change that the copy lacks, as the
	// store has answered here or to a peer. ownConfirmedAt leaves peers out.
	confirmedAt, ownConfirmedAt time.Time
	// peerConfirmedAt is the same by the answers to peers alone.
	peerConfirmedAt time.Time
	// The peer peerName has changes up to peerVersion. The copy has lacked some change of a
	// peer since behindSince.
	behindSince time.Time
	peerVersion provider.Version
	peerName    string
	// changesExceedTable reports that the last page of changes had more content than the
	// table: the next one may be larger still.
	changesExceedTable bool
	// reported and refused say that the log has why the copy lacks a change, and that the
	// store refuses checks.
	reported, refused bool
	// checkNotBefore delays checks after one that failed or brought less than a peer has.
	checkNotBefore time.Time
	backoff        time.Duration
}

// confirm records that the copy has all changes up to a version and that the store had no
// others at a time.
func (s *freshness) confirm(at time.Time, version provider.Version) {
	s.confirmedAt = later(s.confirmedAt, at)
	if version >= s.complete {
		s.complete, s.completeAt = version, later(s.completeAt, at)
	}
	if version >= s.peerVersion {
		s.behindSince = time.Time{}
	}
}

// confirmOwn records that the store has confirmed the copy to this follower with the page of
// a query.
func (f *Follower) confirmOwn(at time.Time, page provider.Page, q query) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	s.refused = false
	if q.isWhole() {
		f.endFollowing()
	}
	f.confirm(at, page.Version)
	s.newest = max(s.newest, newestOf(page.Rows))
	s.ownConfirmedAt = later(s.ownConfirmedAt, at)
	s.ownComplete = page.Version
	if q.isWhole() {
		s.snapshot = page.Version
	}
	s.changesExceedTable = !q.isWhole() && contentBytes(page.Rows) > f.tableBytes()
}

// Confirm records that a peer knows that the copy has all changes up to a version, and that
// the store had no others at a time of the steady clock. It has no effect if the copy was
// never read or the time has not come.
func (f *Follower) Confirm(at time.Time, version provider.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.freshness.confirmedAt.IsZero() && !at.After(f.cfg.SteadyNow()) {
		f.confirm(at, version)
	}
}

// confirm is freshness.confirm. It logs the end of a time in which the copy lacked a change,
// if the log has its beginning. The lock must be held.
func (f *Follower) confirm(at time.Time, version provider.Version) {
	s := &f.freshness
	behindSince := s.behindSince
	s.confirm(at, version)
	if s.reported && s.behindSince.IsZero() {
		s.reported = false
		f.cfg.Log.Info().Str("event", "change_read").Str("table", f.cfg.Table).Uint64("version", version.Number()).Uint64("era", version.Era()).
			Dur("behind", f.cfg.SteadyNow().Sub(behindSince)).Send()
	}
}

// reportBehind logs once that the copy lacks a change that a peer has, and why. The lock
// must be held.
func (f *Follower) reportBehind(now time.Time, reason string, err error) {
	s := &f.freshness
	if s.behindSince.IsZero() || s.reported {
		return
	}
	s.reported = true
	f.cfg.Log.Warn().Str("event", "change_not_read").Str("table", f.cfg.Table).Uint64("version", s.complete.Number()).Uint64("era", s.complete.Era()).
		Uint64("known", s.peerVersion.Number()).Str("peer", s.peerName).Dur("behind", now.Sub(s.behindSince)).Dur("confirmed_age", now.Sub(s.confirmedAt)).
		Str("reason", reason).Err(err).Send()
}

// recordRefusal records a check that the store refused.
func (f *Follower) recordRefusal(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	if !s.refused {
		s.refused = true
		f.cfg.Log.Warn().Str("event", "check_refused").Str("table", f.cfg.Table).Uint64("version", s.complete.Number()).Uint64("era", s.complete.Era()).
			Dur("confirmed_age", now.Sub(s.confirmedAt)).Err(err).Send()
	}
	f.reportBehind(now, "refused", err)
	s.delayChecks(now)
	wake(f.askAgain)
}

// wake makes the receiver of a channel with room for one value go on.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// delayChecks delays the next check, longer each time.
func (s *freshness) delayChecks(now time.Time) {
	s.backoff = min(MaxBackoff, max(minBackoff, 2*s.backoff))
	s.checkNotBefore = now.Add(s.backoff)
}

// query is what a call asks for: the changes after a version, or the whole table if that is
// zero. The copy had all changes up to since when the call began.
type query struct {
	after, since provider.Version
}

func (q query) isWhole() bool { return q.after == 0 }

// nextQuery returns what a call asks for that begins now. preferTable says that the table is
// read if it is small. The lock must be held.
func (f *Follower) nextQuery(preferTable bool) query {
	q := query{after: f.freshness.complete, since: f.freshness.complete}
	if !f.loaded || f.isFollowing() || !f.keepsHistory() || f.cfg.Small && (preferTable || f.freshness.changesExceedTable) {
		q.after = 0
	}
	return q
}

// poll is one call of pollStore.
type poll struct {
	query
	start   time.Time
	timeout time.Duration
	ctx     context.Context
	cancel  context.CancelCauseFunc
	call    func() (provider.Page, error)
}

// confirms returns a time at which the copy with the poll's page is up to date. If there
// were changes, the page may have waited anywhere since the start of the poll.
func (p *poll) confirms(page provider.Page, now time.Time) time.Time {
	if p.isWhole() || len(page.Rows) > 0 {
		return p.start
	}
	if waited := p.start.Add(p.timeout); waited.Before(now) {
		return waited
	}
	return now
}

// waits reports whether the poll waits for changes.
func (p *poll) waits() bool { return p.timeout > 0 }

// lacks returns a condition that holds for polls that wait for changes up to a version.
func lacks(version provider.Version) func(*poll) bool {
	return func(p *poll) bool { return p.after < version }
}

func (f *Follower) beginPoll(ctx context.Context) *poll {
	p := &poll{start: f.cfg.SteadyNow()}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.call = func() (provider.Page, error) { return f.cfg.Store.Read(p.ctx, f.cfg.Table) }
	timeout := f.pollTimeout()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failedSince.IsZero() {
		// A check may have failed since.
		timeout = 0
	}
	if p.query = f.nextQuery(!f.failedSince.IsZero()); !p.isWhole() {
		p.timeout = timeout
		p.call = func() (provider.Page, error) { return f.cfg.Store.Watch(p.ctx, f.cfg.Table, p.after, p.timeout) }
		f.poll = p
	}
	return p
}

// keepsHistory reports whether the store keeps the changes that the copy lacks. The lock
// must be held.
func (f *Follower) keepsHistory() bool {
	return f.cfg.History <= 0 || f.cfg.SteadyNow().Sub(f.freshness.completeAt) < f.cfg.History
}

// endPoll returns the cause with which a check has ended the poll, if any.
func (f *Follower) endPoll(p *poll) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll = nil
	cause := context.Cause(p.ctx)
	p.cancel(nil)
	return cause
}

// interruptPoll ends the poll that is under way, if there is one for which the condition
// holds. It returns how long the poll has waited.
func (f *Follower) interruptPoll(now time.Time, cause error, condition func(*poll) bool) (waited time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poll == nil || !condition(f.poll) {
		return 0, false
	}
	f.poll.cancel(cause)
	return now.Sub(f.poll.start), true
}

func (f *Follower) setLoaded(loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = loaded
}

// Status returns how up to date the copy is, by the answers of the store to this follower
// and, unless own is set, to peers. It returns false if the table was never read. now is a
// time of the steady clock.
func (f *Follower) Status(now time.Time, own bool) (Status, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	status, confirmedAt := Status{Newest: s.newest, Complete: s.complete, Snapshot: s.snapshot}, s.confirmedAt
	if own {
		status.Complete, confirmedAt = s.ownComplete, s.ownConfirmedAt
	}
	status.Age = now.Sub(confirmedAt)
	if !s.behindSince.IsZero() {
		status.Known, status.Behind = s.peerVersion, now.Sub(s.behindSince)
	}
	return status, !confirmedAt.IsZero()
}

// Observe records how up to date the copy of the named peer was at a time of the steady clock.
// If the peer has a change that this copy lacks, the store is asked for it soon.
func (f *Follower) Observe(now time.Time, name string, peer Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	// By a time that has not come the copy would count as up to date until then, and a check
	// would wait for it.
	steady := f.cfg.SteadyNow()
	isFuture := now.After(steady)
	if isFuture {
		now = steady
	}
	switch {
	case s.confirmedAt.IsZero():
	case peer.Newest <= s.complete:
		if isFuture {
			return
		}
		s.confirmedAt = later(s.confirmedAt, now.Add(-peer.Age))
		s.peerConfirmedAt = later(s.peerConfirmedAt, now.Add(-peer.Age))
	case peer.Newest > s.peerVersion:
		s.peerVersion, s.peerName = peer.Newest, name
		if s.behindSince.IsZero() {
			s.behindSince = now
		}
		wake(f.checkAgain)
		wake(f.askAgain)
	}
}

// isConfirmedByPeers reports whether a peer has confirmed the copy within RelyFor: one that
// sends messages need not follow the store. now is a time of the steady clock.
func (f *Follower) isConfirmedByPeers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.freshness.peerConfirmedAt) < f.cfg.RelyFor
}

// keepFresh checks the copy whenever it has not been confirmed for too long, until ctx
// ends.
func (f *Follower) keepFresh(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.checkDelay(f.cfg.SteadyNow())
		if delay <= 0 {
			f.check(ctx)
			continue
		}
		pause(ctx, delay, f.checkAgain)
	}
}

// pause waits for some time, until it is woken or ctx ends.
func pause(ctx context.Context, d time.Duration, woken <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	case <-ctx.Done():
	}
}

// checkDelay returns the time until the next check.
func (f *Follower) checkDelay(now time.Time) time.Duration {
	freshFor, peerLead := f.cfg.FreshFor(), f.cfg.PeerLead()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	if !f.loaded || !f.failedSince.IsZero() {
		// The poll detects the end of an outage.
		return idleCheckInterval
	}
	delay := idleCheckInterval
	if freshFor > 0 {
		delay = s.confirmedAt.Add(freshFor).Sub(now)
	}
	if !s.behindSince.IsZero() {
		delay = min(delay, s.behindSince.Add(f.cfg.PollInterval+peerLead).Sub(now))
	}
	return max(delay, s.checkNotBefore.Sub(now))
}

// check asks the store for changes by a call of its own. A poll that has not returned
// them, or whose store does not answer, is ended: its connection may be silent.
func (f *Follower) check(ctx context.Context) {
	start := f.cfg.SteadyNow()
	q, before := f.beginCheck()
	page, err := f.ask(ctx, &q)
	now := f.cfg.SteadyNow()
	switch {
	case ctx.Err() != nil:
	case err == nil && !f.applyPage(f.cfg.Now(), page, q, start):
		f.delayNextCheck(now)
	case err == nil:
		f.endCheck(now, page, before)
	case errorx.IsOfType(err, provider.Compacted):
		f.setLoaded(false)
		f.interruptPoll(now, errOvertaken, lacks(q.since+1))
	case errorx.IsOfType(err, provider.Refused):
		f.recordRefusal(now, err)
	default:
		f.recordUnanswered(now, err)
		f.recordFailure(f.cfg.Now(), now.Sub(start), err)
		// Until a poll succeeds there is no other check, so none may wait over a silent
		// connection, also one that began during this check.
		f.interruptPoll(now, errUnconfirmed, (*poll).waits)
	}
}

// beginCheck returns what a check asks for, and what is known when it begins.
func (f *Follower) beginCheck() (query, freshness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextQuery(!f.freshness.behindSince.IsZero()), f.freshness
}

// ask returns the page of a query. It calls a second time if there is no answer, for the whole
// table if that is small.
func (f *Follower) ask(ctx context.Context, q *query) (page provider.Page, err error) {
	for range checkTries {
		callCtx, cancel := context.WithTimeout(ctx, f.cfg.CheckTimeout)
		if q.isWhole() {
			page, err = f.cfg.Store.Read(callCtx, f.cfg.Table)
		} else {
			page, err = f.cfg.Store.Watch(callCtx, f.cfg.Table, q.after, 0)
		}
		cancel()
		if err == nil || ctx.Err() != nil || !errorx.IsOfType(err, provider.Unreachable) {
			break
		}
		if f.cfg.Small {
			q.after = 0
		}
	}
	return page, err
}

// contentBytes returns the size of the content of some rows.
func contentBytes(rows []provider.StoreRow) (size int) {
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// tableBytes returns the size of the content of the copy. The lock must be held.
func (f *Follower) tableBytes() (size int) {
	for _, row := range f.rows {
		size += len(row.Value)
	}
	return size
}

// newestOf returns the version of the newest of some rows.
func newestOf(rows []provider.StoreRow) (newest provider.Version) {
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// endCheck ends a check that has returned a page. before is what was known when it began.
func (f *Follower) endCheck(now time.Time, page provider.Page, before freshness) {
	if len(page.Rows) > 0 {
		if waited, ok := f.interruptPoll(now, errOvertaken, lacks(newestOf(page.Rows))); ok {
			f.cfg.Log.Info().Str("event", "poll_overtaken").Str("table", f.cfg.Table).Uint64("version", page.Version.Number()).Uint64("era", page.Version.Era()).
				Int("rows", len(page.Rows)).Dur("waited", waited).
				Dur("confirmed_age", now.Sub(before.confirmedAt)).Bool("peer_has_it", !before.behindSince.IsZero()).Send()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.freshness
	if s.behindSince.IsZero() {
		s.backoff, s.checkNotBefore = 0, time.Time{}
		return
	}
	f.reportBehind(now, "the store's answer lacks it", nil)
	s.delayChecks(now)
}

func (f *Follower) recordUnanswered(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportBehind(now, "no answer", err)
}

func (f *Follower) delayNextCheck(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshness.delayChecks(now)
}

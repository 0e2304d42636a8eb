package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
)

const (
	// brokenAttemptTTL is how long after it broke off an attempt can be attributed to
	// a crash of its upstream. An upstream that starts again may list its new process
	// some seconds later.
	brokenAttemptTTL = 15 * time.Second
	// crashAttributionWindow is the largest time between a crash that is detected by
	// a refused connection and the end of an attempt that it broke off.
	crashAttributionWindow = time.Second
	// maxBrokenAttempts bounds the broken attempts of one upstream; the newest are kept.
	maxBrokenAttempts = 256
	// A probe waits probeDelay, as an upstream that crashes may accept connections for
	// a moment, then connects. It repeats this up to maxProbes times while the
	// upstream accepts.
	probeDelay = 20 * time.Millisecond
	maxProbes  = 2
	// maxProbeWait is how long a suspect request waits for the result of a probe
	// before its next attempt.
	maxProbeWait = 100 * time.Millisecond
)

// How a crash was found: its address refuses connections, or the list has no row or
// another process for it.
const (
	foundRefused = "refused"
	foundRemoved = "removed"
)

// crashDetector attributes attempts that broke off to crashes of their upstreams.
// The state's lock guards it.
type crashDetector struct {
	// broken lists the attempts that ended without a response, by upstream ID.
	broken map[string][]brokenAttempt
	// crashedAt is when the last crash of an upstream was detected.
	crashedAt map[string]time.Time
	// removedAt is when an upstream that had not announced its end was removed from the
	// list.
	removedAt map[string]time.Time
	// probes are closed at the end of the running probes, by upstream ID.
	probes map[string]chan struct{}
}

// brokenAttempt is an attempt that ended without a response.
type brokenAttempt struct {
	isolator.Attempt
	// abandoned reports that the attempt ended because the caller disconnected or another
	// attempt went on, and that its upstream may have been well.
	abandoned bool
	// ended reports that the response ended with its connection, as it does at the end of
	// the response and at that of the upstream.
	ended bool
	// answeredAt is that of the call, if ended is true.
	answeredAt time.Time
	// wantsProbe means that only a probe that begins after its end explains it.
	wantsProbe bool
}

func newCrashDetector() crashDetector {
	return crashDetector{broken: map[string][]brokenAttempt{}, crashedAt: map[string]time.Time{}, removedAt: map[string]time.Time{}, probes: map[string]chan struct{}{}}
}

// sweep removes attempts and crashes that are too old to be attributed.
func (d *crashDetector) sweep(now time.Time) {
	for id, attempts := range d.broken {
		if now.Sub(attempts[len(attempts)-1].End) > brokenAttemptTTL {
			delete(d.broken, id)
		}
	}
	for _, times := range []map[string]time.Time{d.crashedAt, d.removedAt} {
		maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > brokenAttemptTTL })
	}
}

// add adds a broken attempt and reports whether it belongs to a crash that is already
// known.
func (d *crashDetector) add(id string, attempt brokenAttempt) bool {
	if d.isKnown(id, attempt.Start, attempt.End) {
		return true
	}
	broken := append(d.broken[id], attempt)
	d.broken[id] = broken[max(0, len(broken)-maxBrokenAttempts):]
	return false
}

// isKnown reports whether an attempt ended in a crash that is already known.
func (d *crashDetector) isKnown(id string, start, end time.Time) bool {
	crashedAt, ok := d.crashedAt[id]
	return ok && start.Before(crashedAt) && end.Sub(crashedAt) <= crashAttributionWindow
}

// take removes the broken attempts of an upstream and returns those that match.
func (d *crashDetector) take(id string, match func(brokenAttempt) bool) []isolator.Attempt {
	var taken []isolator.Attempt
	for _, b := range d.broken[id] {
		if match(b) {
			taken = append(taken, b.Attempt)
		}
	}
	delete(d.broken, id)
	return taken
}

// recordBroken records an attempt that ended without a response. If its connection
// broke, the upstream is probed. The result is closed when the probe has ended; it is
// nil if there is none.
func (g *Gateway) recordBroken(ctx context.Context, c *call, u Upstream, f *failure) <-chan struct{} {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.notePartIDs(c)
	attempt := brokenAttempt{
		Attempt:    c.crashAttempt(now, st.deploymentSizes[u.Deployment]),
		abandoned:  c.disconnected || isAbandoned(ctx),
		wantsProbe: f.connectionBroke && ctx.Err() == nil,
	}
	_, listed := st.upstreamByID[u.ID]
	_, removed := st.crashes.removedAt[u.ID]
	switch {
	case removed && !attempt.abandoned:
		st.recordCrash(now, u.ID, foundRemoved, []isolator.Attempt{attempt.Attempt})
		return nil
	case !listed || st.router.IsLeaving(u.ID):
		// Its end was announced, or it was removed too long ago to tell.
		return nil
	}
	if st.crashes.add(u.ID, attempt) {
		st.recordCrash(now, u.ID, foundRefused, []isolator.Attempt{attempt.Attempt})
		return nil
	}
	if !attempt.wantsProbe || st.router.Admission(now, u.ID).Forbids() {
		return nil
	}
	return g.startProbe(u)
}

// isAbandoned reports whether an attempt was canceled for a reason that is not its upstream's.
func isAbandoned(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errDisconnected) || errors.Is(cause, errNotNeeded)
}

// startProbe probes an upstream, unless it is being probed. The result is closed when the
// probe has ended. The lock must be held.
func (g *Gateway) startProbe(u Upstream) <-chan struct{} {
	done, running := g.state.crashes.probes[u.ID]
	if !running {
		done = make(chan struct{})
		g.state.crashes.probes[u.ID] = done
		go g.probe(u, done)
	}
	return done
}

// awaitProof records an attempt whose response ended with its connection: it was complete
// if a probe finds the upstream alive. The lock must be held.
func (g *Gateway) awaitProof(now time.Time, c *call) {
	st := g.state
	u := c.upstream
	st.notePartIDs(c)
	attempt := brokenAttempt{Attempt: c.crashAttempt(now, st.deploymentSizes[u.Deployment]), ended: true, answeredAt: c.answeredAt, wantsProbe: true}
	if _, listed := st.upstreamByID[u.ID]; !listed || st.router.IsLeaving(u.ID) {
		// An end that was announced would look the same.
		return
	}
	if st.crashes.add(u.ID, attempt) {
		st.recordCrash(now, u.ID, foundRefused, []isolator.Attempt{attempt.Attempt})
		return
	}
	g.startProbe(u)
}

// crashAttempt describes the current attempt, which has ended.
func (c *call) crashAttempt(end time.Time, deploymentSize int) isolator.Attempt {
	return isolator.Attempt{Fingerprint: c.fingerprint, Parts: c.parts, Start: c.attemptAt, End: end, DeploymentSize: deploymentSize}
}

// probe checks whether an upstream whose connection broke has crashed: its address
// refuses connections.
func (g *Gateway) probe(u Upstream, done chan struct{}) {
	defer close(done)
	start := g.cfg.Now()
	var crashed, accepted bool
	var err error
	for range maxProbes {
		if !waiter.Pause(g.abortContext, probeDelay) {
			break
		}
		accepted, err = g.pool.Probe(g.abortContext, u.Address)
		if crashed = err == nil && !accepted; crashed || err != nil {
			break
		}
	}
	now := g.cfg.Now()
	g.cfg.Log.Info().Str("event", "upstream_probed").Str("upstream", u.ID).Bool("crashed", crashed).Dur("took", now.Sub(start)).Err(err).Send()
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.crashes.probes, u.ID)
	if !crashed {
		if err == nil && accepted {
			st.recordProved(now, u.ID, start)
		}
		if slices.ContainsFunc(st.crashes.broken[u.ID], func(b brokenAttempt) bool { return b.wantsProbe && b.End.After(start) }) && g.abortContext.Err() == nil {
			g.startProbe(u)
		}
		return
	}
	g.metrics.Count("upstream_crashes")
	st.crashes.crashedAt[u.ID] = now
	st.router.Suspect(u.ID, now.Add(unreachableBackoff))
	st.recordCrash(now, u.ID, foundRefused, st.crashes.take(u.ID, func(b brokenAttempt) bool { return now.Sub(b.End) <= crashAttributionWindow }))
}

// recordProved records the responses as complete that ended before an upstream was found
// alive by a probe that began at the given time. The lock must be held.
func (st *state) recordProved(now time.Time, id string, probed time.Time) {
	kept := st.crashes.broken[id][:0]
	for _, b := range st.crashes.broken[id] {
		if b.ended && !b.End.After(probed) {
			st.recordSound(now, b.Fingerprint, b.Parts, b.answeredAt)
			continue
		}
		kept = append(kept, b)
	}
	if st.crashes.broken[id] = kept; len(kept) == 0 {
		delete(st.crashes.broken, id)
	}
}

// awaitProbe waits for the end of a probe if the call's request is a suspect or has parts
// that others share, so that its next attempt takes the crash into account.
func (g *Gateway) awaitProbe(ctx context.Context, c *call, probed <-chan struct{}) {
	if probed == nil {
		return
	}
	g.state.mu.Lock()
	status := g.state.crashStatus(g.cfg.Now(), c.fingerprint)
	g.state.mu.Unlock()
	if status == isolator.Clear && len(c.parts) == 0 {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordRemoval records the crash of an upstream that was removed from the list, or
// replaced by another process, without having announced its end. The lock must be held.
func (st *state) recordRemoval(now time.Time, u Upstream) {
	attempts := st.crashes.take(u.ID, func(b brokenAttempt) bool { return !b.abandoned && !b.ended && now.Sub(b.End) <= brokenAttemptTTL })
	if u.Leaving || st.router.IsLeaving(u.ID) {
		return
	}
	st.crashes.removedAt[u.ID] = now
	if len(attempts) > 0 {
		st.recordCrash(now, u.ID, foundRemoved, attempts)
	}
}

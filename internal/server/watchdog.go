package server

import (
	"context"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// watchdog ends an attempt whose connection has gone silent. Silence alone
// proves nothing: it asks the upstream on a new connection, and ends the
// attempt only if the upstream can't be asked, has forgotten the attempt or
// has made parts that have not arrived a whole look later.
type watchdog struct {
	server      *Server
	request     *request
	target      dispatcher.Target
	number      int
	cancel      context.CancelFunc
	timer       *time.Timer
	mu          sync.Mutex
	startOffset int
	offset      int
	lastPartAt  time.Time
	meanGap     time.Duration
	probeDelay  time.Duration
	stopped     bool
	reason      error
	// missingAt is the offset at which the upstream was found to have made more
	// than had arrived, or noneMissed.
	missingAt int
}

// noneMissing says that no part is known to be missing.
const noneMissing = -1

const (
	// gapWeight is the weight of the newest gap between parts in the mean.
	gapWeight = 0.2
	// probeDelayGaps is the number of mean gaps after which silence is odd.
	probeDelayGaps = 8
	// maxProbeDelay bounds the time until a silent upstream is asked.
	maxProbeDelay = 15 * time.Second
)

func (s *Server) startWatchdog(ctx context.Context, r *request, target dispatcher.Target, number, from int) *watchdog {
	w := &watchdog{server: s, request: r, target: target, number: number, startOffset: from, offset: from, missingAt: noneMissing}
	r.mu.Lock()
	w.cancel = r.cancelAttempt
	r.mu.Unlock()
	w.lastPartAt = s.now()
	w.probeDelay = minProbeDelay
	w.timer = time.AfterFunc(firstProbeDelay, func() { w.onTimeout(ctx) })
	return w
}

// progress records that parts up to offset have arrived. The time that silence
// may last follows the stream's own pace.
func (w *watchdog) progress(now time.Time, offset int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meanGap += time.Duration(gapWeight * float64(now.Sub(w.lastPartAt)-w.meanGap))
	w.lastPartAt = now
	w.offset = offset
	w.probeDelay = min(maxProbeDelay, max(minProbeDelay, probeDelayGaps*w.meanGap))
	if !w.stopped {
		w.timer.Reset(w.probeDelay)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) onTimeout(ctx context.Context) {
	w.mu.Lock()
	offset := w.offset
	w.mu.Unlock()
	progress, err := w.server.cfg.Upstreams.Progress(ctx, w.target, w.request.id, w.number)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.offset != offset {
		return
	}
	switch {
	case err != nil:
		w.reason = judge.Wrap(judge.MayHaveRun, err, "%s is silent and can't be asked", w.target.ID)
		w.server.suspect(w.target.ID)
	case !progress.Found:
		w.reason = judge.Errorf(judge.MayHaveRun, "%s knows nothing of the request", w.target.ID)
	case (w.startOffset+progress.Tokens > w.offset || progress.Done) && w.missingAt != offset:
		// The parts may be on their way, or read late by a busy entry.
		w.missingAt = offset
		w.timer.Reset(w.probeDelay)
		return
	case w.startOffset+progress.Tokens > w.offset || progress.Done:
		w.reason = judge.Errorf(judge.MayHaveRun, "the connection to %s went silent", w.target.ID)
		w.server.metrics.Count("silent_connections")
	default:
		// It is slow, not silent: ask again, but more rarely each time.
		w.probeDelay = min(maxProbeDelay, 2*w.probeDelay)
		w.timer.Reset(w.probeDelay)
		return
	}
	w.cancel()
}

// failureCause returns why the attempt ended: the watchdog's finding before the
// error that its cancelling caused.
func (w *watchdog) failureCause(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reason != nil {
		return w.reason
	}
	return err
}

// suspect keeps new work from an upstream for a while.
func (s *Server) suspect(id string) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.Suspect(id, now.Add(suspectDuration))
}

// probeResult is what a probe finds of an upstream.
type probeResult int

const (
	probeHealthy probeResult = iota
	// probeSilent: it does not answer, but its address is there. It may be frozen
	// or cut off rather than dead.
	probeSilent
	probeCrashed
)

const (
	// maxProbeTries is the number of probes that may fail at once: a process that
	// is dying still takes connections for a moment.
	maxProbeTries   = 4
	probeRetryDelay = 50 * time.Millisecond
	// silentProbeThreshold is the time below which a failed probe was refused or cut
	// rather than left unanswered.
	silentProbeThreshold = 500 * time.Millisecond
)

// probe asks an upstream whether it is alive and whether its process is the
// one that booted as given. An empty boot is not compared.
func (s *Server) probe(ctx context.Context, target dispatcher.Target, boot string) probeResult {
	ctx = context.WithoutCancel(ctx)
	for range maxProbeTries {
		began := s.now()
		load, err := s.cfg.Upstreams.Load(ctx, target)
		switch {
		case err == nil && (boot == "" || load.BootID == boot):
			return probeHealthy
		case err == nil || judge.VerdictOf(err) == judge.NotRun:
			return probeCrashed
		case s.now().Sub(began) >= silentProbeThreshold:
			return probeSilent
		}
		waiter.Pause(ctx, probeRetryDelay)
	}
	return probeSilent
}

// probeAfterFailure probes an upstream whose attempt failed at endedAt. If it died without
// notice, the requests in flight on it are implicated. It reports whether the
// upstream died.
func (s *Server) probeAfterFailure(ctx context.Context, r *request, target dispatcher.Target, endedAt time.Time, cause error) bool {
	if judge.VerdictOf(cause) == judge.NotRun {
		s.suspect(target.ID)
		return false
	}
	found := s.probe(ctx, target, r.bootID)
	if found != probeHealthy {
		s.suspect(target.ID)
	}
	if found == probeCrashed {
		s.recordCrash(r, target.ID, endedAt)
	}
	return found == probeCrashed
}

// crashWindow is the time in which further findings are of the same death.
const crashWindow = 10 * time.Second

// recordCrash records the death of an upstream for the requests that were in
// flight on it when an attempt failed at endedAt. The first request that finds the death names all of them, the
// others only themselves: each naming all would cost the square of their
// number.
func (s *Server) recordCrash(r *request, upstream string, endedAt time.Time) {
	now := s.now()
	fingerprints := []isolator.Fingerprint{r.fingerprint}
	if s.isNewCrash(now, upstream) {
		s.metrics.Count("upstream_deaths")
		for _, other := range s.runs.open() {
			if other != r && other.wasInFlightOn(upstream, endedAt) {
				fingerprints = append(fingerprints, other.fingerprint)
			}
		}
	}
	s.state.mu.Lock()
	news := s.state.isolator.RecordCrash(now, upstream, fingerprints)
	s.state.mu.Unlock()
	if len(news) > 0 {
		s.triggerGossip()
	}
}

func (s *Server) isNewCrash(now time.Time, upstream string) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for id, at := range s.state.crashes {
		if now.Sub(at) >= crashWindow {
			delete(s.state.crashes, id)
		}
	}
	if _, found := s.state.crashes[upstream]; found {
		return false
	}
	s.state.crashes[upstream] = now
	return true
}

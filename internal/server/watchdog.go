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

// watchdog ends an attempt whose connection is broken but still open. If no part
// arrives in time it queries the upstream on a new connection. It ends the attempt
// if the query fails, if the upstream does not have the attempt, or if two queries
// in a row find that the upstream has generated more parts than have arrived, or is
// done, and no part arrives between the queries.
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
	// missingAt is the offset at which a query found that the upstream had
	// generated more parts than had arrived, or noneMissing.
	missingAt int
}

// noneMissing is the value of missingAt before any query found a missing part.
const noneMissing = -1

const (
	// gapWeight is the weight of the newest gap between parts in the mean.
	gapWeight = 0.2
	// probeDelayGaps is the time without a part, in mean gaps, after which the
	// upstream is queried.
	probeDelayGaps = 8
	// maxProbeDelay bounds the time without a part before the upstream is queried.
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

// progress records that the parts before offset have arrived. It adapts the probe
// delay to the mean gap between the stream's parts.
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
	if until, waits := w.server.backoffUntil(w.server.now(), w.target.ID); waits {
		w.postpone(until)
		return
	}
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
		w.server.cfg.Upstreams.CloseIdle()
	case (w.startOffset+progress.Tokens > w.offset || progress.Done) && w.missingAt != offset:
		// The parts may still be in transit, or a busy entry reads them late.
		w.missingAt = offset
		w.timer.Reset(w.probeDelay)
		return
	case w.startOffset+progress.Tokens > w.offset || progress.Done:
		w.reason = judge.Errorf(judge.MayHaveRun, "the connection to %s went silent", w.target.ID)
		w.server.metrics.Count("silent_connections")
		w.server.cfg.Upstreams.CloseIdle()
	default:
		// The upstream is slow but the connection works: double the delay.
		w.probeDelay = min(maxProbeDelay, 2*w.probeDelay)
		w.timer.Reset(w.probeDelay)
		return
	}
	w.cancel()
}

// postpone makes the next query at the given time.
func (w *watchdog) postpone(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(until.Sub(w.server.now()))
	}
}

// failureCause returns the watchdog's reason if the watchdog ended the attempt,
// else err. In the first case err is only the cancellation.
func (w *watchdog) failureCause(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reason != nil {
		return w.reason
	}
	return err
}

// suspect marks an upstream as suspect for suspectDuration, so that it gets no new
// requests if there are others.
func (s *Server) suspect(id string) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.Suspect(id, now.Add(suspectDuration))
}

// probeResult is the result of a probe of an upstream.
type probeResult int

const (
	probeHealthy probeResult = iota
	// probeSilent means that the upstream does not respond but no connection was
	// refused, or that it wants no queries. The upstream may be frozen or partitioned rather than crashed.
	probeSilent
	// probeCrashed means that the upstream refuses connections or has restarted.
	probeCrashed
)

const (
	// maxProbeTries bounds the tries of a probe. One may not be enough: a crashing
	// process still accepts connections for a moment.
	maxProbeTries   = 4
	probeRetryDelay = 50 * time.Millisecond
	// silentProbeThreshold is the duration from which a failed probe counts as
	// unanswered. A probe that failed sooner was refused or reset.
	silentProbeThreshold = 500 * time.Millisecond
)

// probe checks whether an upstream responds and whether its process still has the
// given boot ID. An empty bootID is not compared.
func (s *Server) probe(ctx context.Context, target dispatcher.Target, bootID string) probeResult {
	ctx = context.WithoutCancel(ctx)
	for range maxProbeTries {
		if _, waits := s.backoffUntil(s.now(), target.ID); waits {
			return probeSilent
		}
		start := s.now()
		load, err := s.cfg.Upstreams.Load(ctx, target)
		switch {
		case err == nil && (bootID == "" || load.BootID == bootID):
			return probeHealthy
		case err == nil || judge.VerdictOf(err) == judge.NotRun:
			return probeCrashed
		case s.now().Sub(start) >= silentProbeThreshold:
			return probeSilent
		}
		waiter.Pause(ctx, probeRetryDelay)
	}
	return probeSilent
}

// probeAfterFailure probes an upstream whose attempt failed at endedAt and reports
// whether it crashed. A crash is recorded for the requests in flight on it. The
// upstream becomes a suspect if it is not healthy or did not run the attempt.
func (s *Server) probeAfterFailure(ctx context.Context, r *request, target dispatcher.Target, endedAt time.Time, cause error) bool {
	if judge.VerdictOf(cause) == judge.NotRun {
		s.suspect(target.ID)
		return false
	}
	result := s.probe(ctx, target, r.bootID)
	if result != probeHealthy {
		s.suspect(target.ID)
	}
	if result == probeCrashed {
		s.recordCrash(r, r.lastAttempt(endedAt), target.ID)
	}
	return result == probeCrashed
}

// crashWindow is the time during which later detections count as the same crash.
const crashWindow = 10 * time.Second

// recordCrash records the crash of an upstream for an attempt that was in flight on
// it, and for the others that were. The first attempt that detects the crash names
// all of them, later ones only themselves: if each named all, the cost would be
// quadratic in their number. The request r, nil for a call, made the attempt.
func (s *Server) recordCrash(r *request, attempt isolator.Attempt, upstream string) {
	now := s.now()
	inFlight := []isolator.Attempt{attempt}
	if s.isNewCrash(now, upstream) {
		s.metrics.Count("upstream_deaths")
		for _, other := range s.runs.open() {
			if other != r && other.wasInFlightOn(upstream, attempt.End) {
				inFlight = append(inFlight, other.lastAttempt(attempt.End))
			}
		}
	}
	s.state.mu.Lock()
	size := s.state.deploymentSize(upstream)
	for i := range inFlight {
		inFlight[i].DeploymentSize = size
	}
	updated := s.state.isolator.RecordCrash(now, upstream, inFlight)
	s.state.mu.Unlock()
	if len(updated) > 0 {
		s.triggerGossip()
	}
}

// isNewCrash reports whether the crash of an upstream is the first one detected in
// crashWindow, and records its time if so.
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

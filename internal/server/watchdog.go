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
	s       *Server
	r       *request
	target  dispatcher.Target
	number  int
	cancel  context.CancelFunc
	timer   *time.Timer
	mu      sync.Mutex
	from    int
	offset  int
	last    time.Time
	gap     time.Duration
	stall   time.Duration
	stopped bool
	reason  error
	// missed is the offset at which the upstream was found to have made more
	// than had arrived, or noneMissed.
	missed int
}

// noneMissed says that no part is known to be missing.
const noneMissed = -1

const (
	// gapGain is the weight of the newest gap between parts in the mean.
	gapGain = 0.2
	// stallGaps is the number of mean gaps after which silence is odd.
	stallGaps = 8
	// mostStall bounds the time until a silent upstream is asked.
	mostStall = 15 * time.Second
)

func (s *Server) watchdog(ctx context.Context, r *request, target dispatcher.Target, number, from int) *watchdog {
	w := &watchdog{s: s, r: r, target: target, number: number, from: from, offset: from, missed: noneMissed}
	r.mu.Lock()
	w.cancel = r.cancelAttempt
	r.mu.Unlock()
	w.last = s.now()
	w.stall = laterStall
	w.timer = time.AfterFunc(firstStall, func() { w.bark(ctx) })
	return w
}

// progress records that parts up to offset have arrived. The time that silence
// may last follows the stream's own pace.
func (w *watchdog) progress(now time.Time, offset int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gap += time.Duration(gapGain * float64(now.Sub(w.last)-w.gap))
	w.last = now
	w.offset = offset
	w.stall = min(mostStall, max(laterStall, stallGaps*w.gap))
	if !w.stopped {
		w.timer.Reset(w.stall)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) bark(ctx context.Context) {
	w.mu.Lock()
	offset := w.offset
	w.mu.Unlock()
	progress, err := w.s.cfg.Upstreams.Progress(ctx, w.target, w.r.id, w.number)
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
		w.s.suspect(w.target.ID)
	case !progress.Found:
		w.reason = judge.Errorf(judge.MayHaveRun, "%s knows nothing of the request", w.target.ID)
	case (w.from+progress.Tokens > w.offset || progress.Done) && w.missed != offset:
		// The parts may be on their way, or read late by a busy entry.
		w.missed = offset
		w.timer.Reset(w.stall)
		return
	case w.from+progress.Tokens > w.offset || progress.Done:
		w.reason = judge.Errorf(judge.MayHaveRun, "the connection to %s went silent", w.target.ID)
		w.s.metrics.Count("silent_connections")
	default:
		// It is slow, not silent: ask again, but more rarely each time.
		w.stall = min(mostStall, 2*w.stall)
		w.timer.Reset(w.stall)
		return
	}
	w.cancel()
}

// explain returns why the attempt ended: the watchdog's finding before the
// error that its cancelling caused.
func (w *watchdog) explain(err error) error {
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
	s.state.router.Suspect(id, now.Add(suspectTime))
}

// condition is what a probe finds of an upstream.
type condition int

const (
	healthy condition = iota
	// silent: it does not answer, but its address is there. It may be frozen
	// or cut off rather than dead.
	silent
	dead
)

const (
	// probeTries is the number of probes that may fail at once: a process that
	// is dying still takes connections for a moment.
	probeTries = 4
	probePause = 50 * time.Millisecond
	// quickFailure is the time below which a failed probe was refused or cut
	// rather than left unanswered.
	quickFailure = 500 * time.Millisecond
)

// probe asks an upstream whether it is alive and whether its process is the
// one that booted as given. An empty boot is not compared.
func (s *Server) probe(ctx context.Context, target dispatcher.Target, boot string) condition {
	ctx = context.WithoutCancel(ctx)
	for range probeTries {
		began := s.now()
		load, err := s.cfg.Upstreams.Load(ctx, target)
		switch {
		case err == nil && (boot == "" || load.BootID == boot):
			return healthy
		case err == nil || judge.VerdictOf(err) == judge.NotRun:
			return dead
		case s.now().Sub(began) >= quickFailure:
			return silent
		}
		waiter.Pause(ctx, probePause)
	}
	return silent
}

// investigate probes an upstream whose attempt failed at endedAt. If it died without
// notice, the requests in flight on it are implicated. It reports whether the
// upstream died.
func (s *Server) investigate(ctx context.Context, r *request, target dispatcher.Target, endedAt time.Time, cause error) bool {
	if judge.VerdictOf(cause) == judge.NotRun {
		s.suspect(target.ID)
		return false
	}
	found := s.probe(ctx, target, r.bootID)
	if found != healthy {
		s.suspect(target.ID)
	}
	if found == dead {
		s.implicate(r, target.ID, endedAt)
	}
	return found == dead
}

// deathMemory is the time in which further findings are of the same death.
const deathMemory = 10 * time.Second

// implicate records the death of an upstream for the requests that were in
// flight on it when an attempt failed at endedAt. The first request that finds the death names all of them, the
// others only themselves: each naming all would cost the square of their
// number.
func (s *Server) implicate(r *request, upstream string, endedAt time.Time) {
	now := s.now()
	fingerprints := []isolator.Fingerprint{r.fingerprint}
	if s.firstToFind(now, upstream) {
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

func (s *Server) firstToFind(now time.Time, upstream string) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for id, at := range s.state.crashes {
		if now.Sub(at) >= deathMemory {
			delete(s.state.crashes, id)
		}
	}
	if _, found := s.state.crashes[upstream]; found {
		return false
	}
	s.state.crashes[upstream] = now
	return true
}

package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/claimer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// maxPendingOutcomes bounds the outcomes that wait for the platform.
	maxPendingOutcomes = 5000
	// maxOutcomeBatch is the number of outcomes in one write.
	maxOutcomeBatch = 100
	// outcomeRetryDelay is the wait after a write that failed.
	outcomeRetryDelay = 500 * time.Millisecond
)

// outcomeQueue keeps the outcomeQueue of claims until they are written. Losing one
// does no harm to at-most-once: its claim stands and names the upstream that
// duplicates ask.
type outcomeQueue struct {
	mu      sync.Mutex
	pending []ownClaim
	dropped int
	signal  chan struct{}
}

func newOutcomeQueue() *outcomeQueue { return &outcomeQueue{signal: make(chan struct{}, 1)} }

func (o *outcomeQueue) add(h ownClaim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingOutcomes {
		o.dropped++
		return
	}
	o.pending = append(o.pending, h)
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

func (o *outcomeQueue) takeBatch() []ownClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(maxOutcomeBatch, len(o.pending))
	batch := append([]ownClaim{}, o.pending[:n]...)
	o.pending = o.pending[n:]
	return batch
}

func (o *outcomeQueue) requeue(batch []ownClaim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(batch, o.pending...)
}

func (o *outcomeQueue) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// writeOutcomes writes outcomes as they come, in batches, until ctx ends and
// nothing waits that the platform would take.
func (s *Server) writeOutcomes(ctx context.Context) error {
	for {
		batch := s.outcomes.takeBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.outcomes.signal:
			}
			continue
		}
		if err := s.writeOutcomeBatch(context.WithoutCancel(ctx), batch); err == nil {
			continue
		}
		s.outcomes.requeue(batch)
		if !waiter.Pause(ctx, outcomeRetryDelay) {
			return nil
		}
	}
}

func (s *Server) writeOutcomeBatch(ctx context.Context, batch []ownClaim) error {
	puts := make([]provider.Put, 0, len(batch))
	for _, h := range batch {
		if h.rowVersion == 0 {
			if err := s.releaseKey(ctx, h); err != nil {
				return err
			}
			continue
		}
		value, _ := json.Marshal(h.claim)
		puts = append(puts, provider.Put{Key: h.key, Value: value, Expect: h.rowVersion})
	}
	if len(puts) == 0 {
		return nil
	}
	_, err := s.cfg.Table.Batch(ctx, puts)
	return err
}

// releaseKey frees the key of an abandoned claim if its write took effect. A
// write that is still on its way is blocked by leaving a record in its place.
func (s *Server) releaseKey(ctx context.Context, h ownClaim) error {
	row, err := s.cfg.Table.Get(ctx, h.key)
	if err != nil {
		return err
	}
	var standing claimer.Claim
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &standing); err != nil || standing.Token != h.claim.Token || standing.Verdict == judge.NotRun {
			return nil
		}
	}
	value, err := json.Marshal(h.claim)
	if err != nil {
		return nil
	}
	_, err = s.cfg.Table.Put(ctx, provider.Put{Key: h.key, Value: value, Expect: row.Version})
	return err
}

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
	// maxPendingOutcomes bounds the outcomes that wait to be written.
	maxPendingOutcomes = 5000
	// maxOutcomeBatch bounds the outcomes in one write.
	maxOutcomeBatch = 100
	// outcomeRetryDelay is the delay after a failed write.
	outcomeRetryDelay = 500 * time.Millisecond
)

// outcomeQueue holds outcomes of claims until they are written. A lost outcome does
// not break at-most-once: the claim stays in the table, and duplicates query the
// upstream that it names.
type outcomeQueue struct {
	mu      sync.Mutex
	pending []ownClaim
	// dropped counts outcomes that exceeded maxPendingOutcomes.
	dropped int
	signal  chan struct{}
}

func newOutcomeQueue() *outcomeQueue { return &outcomeQueue{signal: make(chan struct{}, 1)} }

// add appends an outcome, or drops it if the queue is full.
func (o *outcomeQueue) add(own ownClaim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingOutcomes {
		o.dropped++
		return
	}
	o.pending = append(o.pending, own)
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// takeBatch removes up to maxOutcomeBatch outcomes from the head of the queue.
func (o *outcomeQueue) takeBatch() []ownClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(maxOutcomeBatch, len(o.pending))
	batch := append([]ownClaim{}, o.pending[:n]...)
	o.pending = o.pending[n:]
	return batch
}

// requeue puts a batch that could not be written at the head of the queue.
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

// writeOutcomes writes queued outcomes in batches. After ctx has ended it returns
// when the queue is empty or a write fails.
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

// writeOutcomeBatch writes the outcomes of a batch and releases the keys of its
// abandoned claims. After an error the whole batch can be written again.
func (s *Server) writeOutcomeBatch(ctx context.Context, batch []ownClaim) error {
	puts := make([]provider.Put, 0, len(batch))
	for _, own := range batch {
		if own.rowVersion == 0 {
			if err := s.releaseKey(ctx, own); err != nil {
				return err
			}
			continue
		}
		value, _ := json.Marshal(own.claim)
		puts = append(puts, provider.Put{Key: own.key, Value: value, Expect: own.rowVersion})
	}
	if len(puts) == 0 {
		return nil
	}
	_, err := s.cfg.Table.Batch(ctx, puts)
	return err
}

// releaseKey marks an abandoned claim as not run, which releases its idempotency
// key. If the claim's row does not exist it writes the row all the same, so that a
// write of the claim that is still in transit fails on the row's version.
func (s *Server) releaseKey(ctx context.Context, own ownClaim) error {
	row, err := s.cfg.Table.Get(ctx, own.key)
	if err != nil {
		return err
	}
	var stored claimer.Claim
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &stored); err != nil || stored.Token != own.claim.Token || stored.Verdict == judge.NotRun {
			return nil
		}
	}
	value, err := json.Marshal(own.claim)
	if err != nil {
		return nil
	}
	_, err = s.cfg.Table.Put(ctx, provider.Put{Key: own.key, Value: value, Expect: row.Version})
	return err
}

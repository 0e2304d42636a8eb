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
	// maxOutcomes bounds the outcomes that wait for the platform.
	maxOutcomes = 5000
	// outcomeBatch is the number of outcomes in one write.
	outcomeBatch = 100
	// outcomePause is the wait after a write that failed.
	outcomePause = 500 * time.Millisecond
)

// outcomes keeps the outcomes of claims until they are written. Losing one
// does no harm to at-most-once: its claim stands and names the upstream that
// duplicates ask.
type outcomes struct {
	mu      sync.Mutex
	waiting []held
	lost    int
	signal  chan struct{}
}

func newOutcomes() *outcomes { return &outcomes{signal: make(chan struct{}, 1)} }

func (o *outcomes) add(h held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxOutcomes {
		o.lost++
		return
	}
	o.waiting = append(o.waiting, h)
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

func (o *outcomes) take() []held {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(outcomeBatch, len(o.waiting))
	batch := append([]held{}, o.waiting[:n]...)
	o.waiting = o.waiting[n:]
	return batch
}

func (o *outcomes) giveBack(batch []held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = append(batch, o.waiting...)
}

func (o *outcomes) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting)
}

// writeOutcomes writes outcomes as they come, in batches, until ctx ends and
// nothing waits that the platform would take.
func (s *Server) writeOutcomes(ctx context.Context) error {
	for {
		batch := s.outcomes.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-s.outcomes.signal:
			}
			continue
		}
		if err := s.writeBatch(context.WithoutCancel(ctx), batch); err == nil {
			continue
		}
		s.outcomes.giveBack(batch)
		if !waiter.Pause(ctx, outcomePause) {
			return nil
		}
	}
}

func (s *Server) writeBatch(ctx context.Context, batch []held) error {
	puts := make([]provider.Put, 0, len(batch))
	for _, h := range batch {
		if h.version == 0 {
			if err := s.release(ctx, h); err != nil {
				return err
			}
			continue
		}
		value, _ := json.Marshal(h.claim)
		puts = append(puts, provider.Put{Key: h.key, Value: value, Expect: h.version})
	}
	if len(puts) == 0 {
		return nil
	}
	_, err := s.cfg.Table.Batch(ctx, puts)
	return err
}

// release frees the key of an abandoned claim if its write took effect. A
// write that is still on its way is blocked by leaving a record in its place.
func (s *Server) release(ctx context.Context, h held) error {
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

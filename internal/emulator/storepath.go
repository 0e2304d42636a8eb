package emulator

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// PathFault is what is wrong with a client's path to a Store.
type PathFault string

// The faults of a path.
const (
	PathSound   PathFault = ""
	PathRefused PathFault = "refused"
	PathSilent  PathFault = "silent"
)

// StorePathConfig configures a StorePath.
type StorePathConfig struct {
	Store *Store
	// AnswerTimeout is how long the client waits for an answer, in addition to the wait that
	// a call requests.
	AnswerTimeout time.Duration
	// Loss is the share of calls that stay without an answer, from 0 to 1: never two of a
	// table in a row.
	Loss float64
	Seed uint64
	// BytesPerSecond, if set, is the rate at which the rows of an answer arrive, which are
	// base64 on the way.
	BytesPerSecond float64
}

// StorePath is one client's path to a Store. It implements provider.Store and is safe for
// concurrent use.
type StorePath struct {
	cfg StorePathConfig

	mu     sync.Mutex
	random *rand.Rand
	fault  PathFault
	// changed is closed when the fault changes.
	changed chan struct{}
	// lost are the tables whose last call had no answer.
	lost map[string]bool
}

// NewStorePath returns a path without a fault.
func NewStorePath(cfg StorePathConfig) *StorePath {
	return &StorePath{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2)), changed: make(chan struct{}), lost: map[string]bool{}}
}

// SetFault changes what is wrong with the path. Calls under way fail or stay without an
// answer as well.
func (p *StorePath) SetFault(fault PathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

// Era returns the era of the store.
func (p *StorePath) Era() uint64 { return p.cfg.Store.Era() }

// Read returns all rows of a table.
func (p *StorePath) Read(ctx context.Context, table string) (provider.Page, error) {
	return callOver(ctx, p, table, 0, func(ctx context.Context) (provider.Page, error) {
		return p.receive(ctx)(p.cfg.Store.Read(ctx, table))
	})
}

// Watch returns the changes of a table after a version. It waits for the first one.
func (p *StorePath) Watch(ctx context.Context, table string, after provider.Version, wait time.Duration) (provider.Page, error) {
	return callOver(ctx, p, table, wait, func(ctx context.Context) (provider.Page, error) {
		return p.receive(ctx)(p.cfg.Store.Watch(ctx, table, after, wait))
	})
}

// receive returns a function that waits while the rows of a page arrive.
func (p *StorePath) receive(ctx context.Context) func(provider.Page, error) (provider.Page, error) {
	return func(page provider.Page, err error) (provider.Page, error) {
		if err != nil || p.cfg.BytesPerSecond <= 0 {
			return page, err
		}
		size := 0
		for _, row := range page.Rows {
			size += base64.StdEncoding.EncodedLen(len(row.Value))
		}
		select {
		case <-time.After(time.Duration(float64(size) / p.cfg.BytesPerSecond * float64(time.Second))):
			return page, nil
		case <-ctx.Done():
			return provider.Page{}, provider.Unreachable.Wrap(ctx.Err(), "the answer of the store")
		}
	}
}

// Commit applies all parts of a change or none. A change whose answer is lost has no effect.
func (p *StorePath) Commit(ctx context.Context, change provider.Commit) (provider.CommitResult, error) {
	return callOver(ctx, p, "", 0, func(ctx context.Context) (provider.CommitResult, error) { return p.cfg.Store.Commit(ctx, change) })
}

// begin returns the state of the path for a call of a table, and whether the call is lost.
func (p *StorePath) begin(table string) (fault PathFault, lost bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = !p.lost[table] && p.random.Float64() < p.cfg.Loss
	p.lost[table] = lost
	return p.fault, lost, p.changed
}

// callOver makes a call of a table over a path.
func callOver[R any](ctx context.Context, p *StorePath, table string, wait time.Duration, call func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+p.cfg.AnswerTimeout)
	defer cancel()
	var none R
	fault, lost, changed := p.begin(table)
	switch {
	case fault == PathRefused:
		select {
		case <-time.After(p.cfg.Store.latency()):
		case <-ctx.Done():
		}
		return none, provider.Refused.New("the store refuses the call")
	case fault == PathSilent, lost:
		<-ctx.Done()
		return none, provider.Unreachable.Wrap(ctx.Err(), "no answer")
	}
	callCtx, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ctx, end)
	defer stop()
	go func() {
		select {
		case <-changed:
			end()
		case <-callCtx.Done():
		}
	}()
	result, err := call(callCtx)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		// The fault began during the call.
		return callOver(ctx, p, table, wait, call)
	}
	return result, err
}

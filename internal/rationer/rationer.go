// Package rationer divides a bounded amount of memory between requests.
package rationer

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
)

// Budget is a number of bytes that its users hold together. It is safe for concurrent use.
type Budget struct {
	total int64

	mu   sync.Mutex
	left int64
	// waiting are users that wait for bytes, in the order of their arrival.
	waiting list.List
}

// waiter is a user that waits for bytes.
type waiter struct {
	bytes int64
	// granted is closed when the bytes have been taken for it.
	granted chan struct{}
}

// New returns a budget of some bytes.
func New(bytes int64) *Budget { return &Budget{total: bytes, left: bytes} }

// Left returns the number of bytes that nobody holds.
func (b *Budget) Left() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Ration returns a part of the budget, which is empty at first. It belongs to one goroutine
// at a time. That of a nil budget has no limit.
func (b *Budget) Ration() *Ration { return &Ration{budget: b} }

// take takes bytes if they are left and nobody waits for some.
func (b *Budget) take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeLocked(bytes)
}

func (b *Budget) takeLocked(bytes int64) bool {
	if b.waiting.Len() > 0 || bytes > b.left {
		return false
	}
	b.left -= bytes
	return true
}

// takeWithin is take for a user that waits until ctx ends.
func (b *Budget) takeWithin(ctx context.Context, bytes int64) bool {
	b.mu.Lock()
	if b.takeLocked(bytes) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	element := b.waiting.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	b.waiting.Remove(element)
	b.grant()
	return false
}

func (b *Budget) give(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += bytes
	b.grant()
}

// grant takes bytes for those that wait, first come, first served. The lock must be held.
func (b *Budget) grant() {
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		w := e.Value.(*waiter)
		if w.bytes > b.left {
			return
		}
		b.left -= w.bytes
		b.waiting.Remove(e)
		close(w.granted)
	}
}

// Ration is the part of a budget that one user holds.
type Ration struct {
	budget *Budget
	held   int64
}

// Grow takes more bytes from the budget. It returns false if there are too few.
func (r *Ration) Grow(bytes int) bool {
	if r.budget == nil {
		return true
	}
	if !r.budget.take(int64(bytes)) {
		return false
	}
	r.held += int64(bytes)
	return true
}

// GrowWithin is Grow for a user that waits for the bytes until ctx ends. It returns false at
// once if the ration would be larger than the budget.
func (r *Ration) GrowWithin(ctx context.Context, bytes int) bool {
	if r.budget == nil {
		return true
	}
	if r.held+int64(bytes) > r.budget.total {
		return false
	}
	if !r.budget.takeWithin(ctx, int64(bytes)) {
		return false
	}
	r.held += int64(bytes)
	return true
}

// Trim returns what exceeds some bytes to the budget.
func (r *Ration) Trim(bytes int) {
	if excess := r.held - int64(bytes); excess > 0 {
		r.budget.give(excess)
		r.held -= excess
	}
}

// Release returns all bytes to the budget.
func (r *Ration) Release() { r.Trim(0) }

// Shared returns the ration for several users. It is returned to the budget when all of them
// have released it.
func (r *Ration) Shared() *SharedRation {
	s := &SharedRation{ration: r}
	s.users.Store(1)
	return s
}

// SharedRation is a ration with several users. It is safe for concurrent use.
type SharedRation struct {
	ration *Ration
	users  atomic.Int32
}

// Retain adds a user, who calls Release once. It is called by a user.
func (s *SharedRation) Retain() { s.users.Add(1) }

// Release removes a user.
func (s *SharedRation) Release() {
	if s.users.Add(-1) == 0 {
		s.ration.Release()
	}
}

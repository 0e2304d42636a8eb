// Package rationer divides a bounded amount of memory between requests.
package rationer

import "sync/atomic"

// Budget is a number of bytes that its users hold together. It is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// New returns a budget of some bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Left returns the number of bytes that nobody holds.
func (b *Budget) Left() int64 { return b.left.Load() }

// Ration returns a share of the budget, which is empty at first. It belongs to one goroutine
// at a time. That of a nil budget has no limit.
func (b *Budget) Ration() *Ration { return &Ration{budget: b} }

// Ration is the share of one user.
type Ration struct {
	budget *Budget
	held   int64
}

// Grow takes more bytes from the budget. It returns false if there are too few.
func (r *Ration) Grow(bytes int) bool {
	n := int64(bytes)
	if r.budget == nil {
		return true
	}
	if r.budget.left.Add(-n) < 0 {
		r.budget.left.Add(n)
		return false
	}
	r.held += n
	return true
}

// Trim returns what exceeds some bytes to the budget.
func (r *Ration) Trim(bytes int) {
	if excess := r.held - int64(bytes); excess > 0 && r.budget != nil {
		r.budget.left.Add(excess)
		r.held -= excess
	}
}

// Share returns a share that is returned when all its users have released it. The ration
// must not grow after that.
func (r *Ration) Share() *Share {
	s := &Share{ration: r}
	s.users.Store(1)
	return s
}

// Share is a ration with several users. It is safe for concurrent use.
type Share struct {
	ration *Ration
	users  atomic.Int32
}

// Retain adds a user, who calls Release once. It is called by a user.
func (s *Share) Retain() { s.users.Add(1) }

// Release removes a user.
func (s *Share) Release() {
	if s.users.Add(-1) == 0 {
		s.ration.Release()
	}
}

// Release returns all bytes to the budget.
func (r *Ration) Release() {
	if r.budget != nil {
		r.budget.left.Add(r.held)
		r.held = 0
	}
}

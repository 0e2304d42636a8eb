package leaser

import "time"

// Lease is the row of one duty.
type Lease struct {
	Holder string `json:"holder"`
	// Fence rises with each change of holder.
	Fence uint64 `json:"fence"`
	// Nonce makes each write recognisable.
	Nonce string `json:"nonce"`
}

// Config sets a Leaser up.
type Config struct {
	Holder string
	// Lifetime is how long a lease lasts after its last renewal.
	Lifetime time.Duration
	// Margin is how much earlier than Lifetime a holder stops.
	Margin time.Duration
}

// Leaser is one node's view of one lease.
type Leaser struct {
	cfg        Config
	version    uint64
	lease      Lease
	observedAt time.Time
	observed   bool
	heldUntil  time.Time
}

// New returns a Leaser that holds nothing.
func New(cfg Config) *Leaser { return &Leaser{cfg: cfg} }

// Observe takes the row as read at now. Version 0 means that there is none.
func (l *Leaser) Observe(now time.Time, version uint64, lease Lease) {
	if l.observed && version == l.version {
		return
	}
	if lease.Holder != l.cfg.Holder {
		l.heldUntil = time.Time{}
	}
	l.observed = true
	l.version = version
	l.lease = lease
	l.observedAt = now
}

// ProposeWrite returns the row that this node should try to write now, if any: a
// renewal of its own lease or a take-over of one that has run out. Nonce is
// left to the caller.
func (l *Leaser) ProposeWrite(now time.Time) (Lease, bool) {
	if !l.observed {
		return Lease{}, false
	}
	if l.Holds(now) {
		if now.Before(l.heldUntil.Add(-l.cfg.Lifetime / 2)) {
			return Lease{}, false
		}
		return Lease{Holder: l.cfg.Holder, Fence: l.lease.Fence}, true
	}
	if l.version != 0 && now.Sub(l.observedAt) < l.cfg.Lifetime {
		return Lease{}, false
	}
	return Lease{Holder: l.cfg.Holder, Fence: l.lease.Fence + 1}, true
}

// IsReleased reports whether the last holder has given the lease back.
func (l *Leaser) IsReleased() bool { return l.observed && l.version != 0 && l.lease.Holder == "" }

// ProposeTakeOver returns the row that takes over a lease that is free. The caller knows
// that this node has not held it within a lifetime. Nonce is left to it.
func (l *Leaser) ProposeTakeOver() Lease {
	return Lease{Holder: l.cfg.Holder, Fence: l.lease.Fence + 1}
}

// RecordWrite records a write that took effect. SentAt is the time before the write
// was sent; the lease counts from it.
func (l *Leaser) RecordWrite(sentAt time.Time, version uint64, lease Lease) {
	l.version = version
	l.lease = lease
	l.observedAt = sentAt
	l.heldUntil = sentAt.Add(l.cfg.Lifetime - l.cfg.Margin)
}

// Holds reports whether this node may act at now.
func (l *Leaser) Holds(now time.Time) bool {
	return l.lease.Holder == l.cfg.Holder && now.Before(l.heldUntil)
}

// Fence returns the number that goes with each order.
func (l *Leaser) Fence() uint64 { return l.lease.Fence }

// Version returns the row's version that the next write expects.
func (l *Leaser) Version() uint64 { return l.version }

// Holder returns the holder last seen.
func (l *Leaser) Holder() string { return l.lease.Holder }

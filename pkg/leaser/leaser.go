package leaser

import "time"

// Lease is the row of one lease. Holder is empty if the lease was released.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing token; it rises with each take-over.
	Fence uint64 `json:"fence"`
	// Nonce identifies the write, so that its writer can recognise it.
	Nonce string `json:"nonce"`
}

// Vacancy is the reason why a lease may be taken over.
type Vacancy string

const (
	// NotVacant is the vacancy of a lease that is held.
	NotVacant Vacancy = ""
	// Unused is the vacancy of a lease that has no row.
	Unused Vacancy = "unused"
	// Released is the vacancy of a lease that its holder has released.
	Released Vacancy = "released"
	// Expired is the vacancy of a lease whose row was unchanged for a lifetime.
	Expired Vacancy = "expired"
)

// Status is what a node knows of a lease.
type Status struct {
	// Holder is the holder in the row, empty if there is none.
	Holder  string
	Vacancy Vacancy
	// Age is the time since the row was first observed.
	Age time.Duration
}

// Config configures a Leaser.
type Config struct {
	Holder string
	// Lifetime is how long a lease lasts after its last renewal.
	Lifetime time.Duration
	// Margin is how long before the end of Lifetime a holder stops acting.
	Margin time.Duration
}

// Leaser is the state of one lease on one node.
type Leaser struct {
	cfg        Config
	version    uint64
	lease      Lease
	observedAt time.Time
	observed   bool
	heldUntil  time.Time
	// actedUntil is when this node, or an earlier process on its VM, stopped acting.
	actedUntil time.Time
	minFence   uint64
	renewal    Renewal
}

// Renewal is a write of a lease's row by its holder, as the holder has told others.
type Renewal struct {
	// Version is the version of the row that was written, 0 if there is none.
	Version uint64
	// At is a time at or after the one at which the write was sent.
	At time.Time
}

// New returns a Leaser that does not hold the lease. StartedAt is the time at which the
// process started: an earlier one on the same VM may have acted until then.
func New(cfg Config, startedAt time.Time) *Leaser { return &Leaser{cfg: cfg, actedUntil: startedAt} }

// Observe records the row read at now. Version 0 means that there is no row.
func (l *Leaser) Observe(now time.Time, version uint64, lease Lease) {
	if l.observed && version == l.version {
		return
	}
	if lease.Holder != l.cfg.Holder || lease.Fence != l.lease.Fence {
		// Another node has it, or the row is one of an earlier term of this node: the
		// table has returned from an older copy.
		l.heldUntil = time.Time{}
		if now.Before(l.actedUntil) {
			l.actedUntil = now
		}
	}
	l.observed = true
	l.version = version
	l.lease = lease
	l.observedAt = now
	l.applyRenewal()
}

// RecordRenewal records what the holder has told of its last write. A row of that version
// is as old as the write, also if it is first read long after it.
func (l *Leaser) RecordRenewal(r Renewal) {
	if r.Version > l.renewal.Version || r.Version == l.renewal.Version && r.At.Before(l.renewal.At) {
		l.renewal = r
		l.applyRenewal()
	}
}

// Renewal returns the newest write that is known to be the holder's.
func (l *Leaser) Renewal() Renewal { return l.renewal }

func (l *Leaser) applyRenewal() {
	if l.observed && l.version != 0 && l.version == l.renewal.Version && l.renewal.At.Before(l.observedAt) {
		l.observedAt = l.renewal.At
	}
}

// ProposeWrite returns the row that this node should try to write now, if any: a
// renewal of its own lease or a take-over of a vacant one. A node that has acted within
// the last Lifetime leaves a released lease to others: their calls may lie between its
// own. The caller sets Nonce.
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
	switch l.Status(now).Vacancy {
	case NotVacant:
		return Lease{}, false
	case Released:
		if now.Sub(l.actedUntil) < l.cfg.Lifetime {
			return Lease{}, false
		}
	}
	return Lease{Holder: l.cfg.Holder, Fence: max(l.lease.Fence+1, l.minFence)}, true
}

// Status returns what this node knows of the lease at now.
func (l *Leaser) Status(now time.Time) Status {
	status := Status{Holder: l.lease.Holder, Age: now.Sub(l.observedAt)}
	switch {
	case !l.observed || l.Holds(now):
	case l.version == 0:
		status.Vacancy = Unused
	case l.lease.Holder == "":
		status.Vacancy = Released
	case status.Age >= l.cfg.Lifetime:
		status.Vacancy = Expired
	}
	return status
}

// Left returns the time until this node stops acting, 0 if it does not hold the lease.
func (l *Leaser) Left(now time.Time) time.Duration {
	if !l.Holds(now) {
		return 0
	}
	return l.heldUntil.Sub(now)
}

// SetMinFence sets the lowest fence of the next take-over. It is needed if the table
// may return from an older copy, whose fence is too low.
func (l *Leaser) SetMinFence(fence uint64) { l.minFence = fence }

// RecordWrite records a write that took effect. SentAt is the time before the
// write was sent; the lifetime of the lease starts there.
func (l *Leaser) RecordWrite(sentAt time.Time, version uint64, lease Lease) {
	l.version = version
	l.lease = lease
	l.observedAt = sentAt
	l.renewal = Renewal{Version: version, At: sentAt}
	l.heldUntil = sentAt.Add(l.cfg.Lifetime - l.cfg.Margin)
	l.actedUntil = l.heldUntil
}

// Drop ends this node's term at now, before it releases the lease or lets it expire.
func (l *Leaser) Drop(now time.Time) {
	if l.Holds(now) {
		l.heldUntil, l.actedUntil = now, now
	}
}

// Holds reports whether this node holds the lease at now.
func (l *Leaser) Holds(now time.Time) bool {
	return l.lease.Holder == l.cfg.Holder && now.Before(l.heldUntil)
}

// Fence returns the fencing token to be sent with each order.
func (l *Leaser) Fence() uint64 { return l.lease.Fence }

// Version returns the row version that the next write is conditional on.
func (l *Leaser) Version() uint64 { return l.version }

// Holder returns the last observed holder, empty if there is none.
func (l *Leaser) Holder() string { return l.lease.Holder }

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/leaser"
)

const (
	// cloudCallTimeout bounds a call to the cloud. A call ends arrivalMargin before the
	// lease of its term expires: it may arrive after its sender has given it up.
	cloudCallTimeout = time.Second
	arrivalMargin    = 250 * time.Millisecond
	// unknownHolder stands for the holder of a lease whose row is invalid, which expires as
	// any other.
	unknownHolder = "unknown"
)

// term is a term of this entry as the leader, at one moment.
type term struct {
	entry string
	fence uint64
	// version is that of the lease's row, left the time until the leader stops acting.
	version provider.Version
	left    time.Duration
}

// termAt returns an error of type provider.GuardFailed if the entry may not act as the
// leader at now.
func (l *leader) termAt(now time.Time) (term, error) {
	l.g.state.mu.Lock()
	defer l.g.state.mu.Unlock()
	t := term{entry: l.g.cfg.ID, fence: l.lease.Fence(), version: provider.Version(l.lease.Version()), left: l.lease.Left(now)}
	if t.left <= 0 {
		return t, provider.GuardFailed.New("the term with fence %d has ended", t.fence)
	}
	return t, nil
}

func (l *leader) holdsLease() bool {
	_, err := l.termAt(l.g.cfg.LeaseNow())
	return err == nil
}

// callCloud makes a call to the cloud in the current term and returns the term. The call
// is not written after the term has ended, also if the process was paused, and is given up
// before the lease expires. An error of type provider.GuardFailed means that it was not
// sent, or not to its end.
func (l *leader) callCloud(ctx context.Context, call func(ctx context.Context, t term) error) (term, error) {
	sentAt := l.g.cfg.LeaseNow()
	t, err := l.termAt(sentAt)
	if err != nil {
		return t, err
	}
	timeout := min(cloudCallTimeout, t.left+leaseMargin-arrivalMargin)
	ctx, cancel := waiter.WithDeadline(ctx, l.g.cfg.LeaseNow, sentAt.Add(timeout))
	defer cancel()
	err = call(provider.WithGuard(ctx, func() error {
		now, err := l.termAt(l.g.cfg.LeaseNow())
		if err == nil && now.fence != t.fence {
			err = provider.GuardFailed.New("the term with fence %d has ended", t.fence)
		}
		return err
	}), t)
	if err != nil && !errorx.IsOfType(err, provider.Refused) && !errorx.IsOfType(err, provider.GuardFailed) {
		l.unknownUntil = l.g.cfg.LeaseNow().Add(leaseMargin)
	}
	return t, err
}

// commit makes a change of the leader. It takes effect only while the lease's row is that
// of the current term, however late the store does it. An error of type
// provider.GuardFailed means that it was not sent.
func (l *leader) commit(ctx context.Context, change provider.Commit) (provider.CommitResult, error) {
	t, err := l.termAt(l.g.cfg.LeaseNow())
	if err != nil {
		return provider.CommitResult{}, err
	}
	lease := provider.StoreRow{Table: l.g.cfg.Tables.Leases, Key: leaseKey, Version: t.version}
	change.Expect = append(change.Expect, lease)
	result, err := l.g.cfg.Store.Commit(ctx, change)
	if err != nil || result.Applied {
		return result, err
	}
	for _, row := range result.Current {
		if row.Table == lease.Table && row.Key == lease.Key {
			l.observeRow(l.g.cfg.LeaseNow(), row)
		}
	}
	return result, nil
}

// observeRow records the lease's row, as read at now.
func (l *leader) observeRow(now time.Time, row provider.StoreRow) {
	var lease leaser.Lease
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &lease); err != nil || lease.Fence == 0 {
			l.g.cfg.Log.Error().Str("event", "lease_invalid").Uint64("row_version", row.Version.Number()).Err(err).Send()
			lease = leaser.Lease{Holder: unknownHolder}
		}
	}
	l.g.state.mu.Lock()
	defer l.g.state.mu.Unlock()
	l.lease.Observe(now, uint64(row.Version), lease)
}

// renewalMessage returns the last known renewal of the lease for a message, nil if there
// is none. The state's lock must be held.
func (l *leader) renewalMessage(now time.Time) *leaseRenewal {
	r := l.lease.Renewal()
	if r.Version == 0 {
		return nil
	}
	return &leaseRenewal{Version: r.Version, AgeMS: now.Sub(r.At).Milliseconds()}
}

// recordRenewal records a renewal of which another entry has told. The state's lock must be
// held.
func (l *leader) recordRenewal(now time.Time, r *leaseRenewal) {
	if r != nil {
		l.lease.RecordRenewal(leaser.Renewal{Version: r.Version, At: now.Add(-time.Duration(r.AgeMS) * time.Millisecond)})
	}
}

package leaser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/pkg/leaser"
)

type node struct {
	l *leaser.Leaser
	// offset is the difference of this node's clock from the model's clock.
	offset time.Duration
	// pending is a write that was sent and has no response yet.
	pending *write
	paused  bool
}

type write struct {
	expect uint64
	lease  leaser.Lease
	sentAt time.Time
}

// message tells of a renewal, and how long ago it was when the message was sent.
type message struct {
	version uint64
	age     time.Duration
}

const (
	modelLifetime = 3 * time.Second
	modelMargin   = time.Second
)

// turns checks that no two nodes act in turn within a lifetime.
type turns struct {
	t    *rapid.T
	last map[string]time.Time
	turn string
}

func (o *turns) act(now time.Time, name string) {
	if last, known := o.last[name]; known && o.turn != name {
		require.GreaterOrEqual(o.t, now.Sub(last), modelLifetime, "%s acted, then %s, then %s again", name, o.turn, name)
	}
	o.turn, o.last[name] = name, now
}

// At most one node holds the lease at any time, the fencing token rises with each
// change of holder, and no two nodes act in turn within a lifetime, while nodes with
// different clocks read, write, release, restart, pause, lose responses and tell each other
// of renewals, in messages that take any time, in any order.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row leaser.Lease
		var version uint64
		now := time.UnixMilli(1_700_000_000_000)
		nodes := make([]*node, 3)
		start := func(i int) {
			name := string(rune('a' + i))
			offset := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
			cfg := leaser.Config{Holder: name, Lifetime: modelLifetime, Margin: modelMargin}
			nodes[i] = &node{l: leaser.New(cfg, now.Add(offset)), offset: offset}
		}
		for i := range nodes {
			start(i)
		}
		order := &turns{t: t, last: map[string]time.Time{}}
		var messages []message
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			n := nodes[i]
			clock := now.Add(n.offset)
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				n.paused = !n.paused
			case 1, 2:
				if !n.paused {
					n.l.Observe(clock, version, row)
				}
			case 3, 4:
				if lease, due := n.l.ProposeWrite(clock); due && !n.paused && n.pending == nil {
					n.pending = &write{expect: n.l.Version(), lease: lease, sentAt: clock}
				}
			case 5:
				if n.pending == nil {
					break
				}
				w := n.pending
				n.pending = nil
				if w.expect != version {
					break
				}
				require.GreaterOrEqual(t, w.lease.Fence, row.Fence)
				if w.lease.Holder != row.Holder && w.lease.Holder != "" {
					require.Greater(t, w.lease.Fence, row.Fence)
				}
				version++
				row = w.lease
				if rapid.Bool().Draw(t, "answered") && !n.paused {
					n.l.RecordWrite(w.sentAt, version, w.lease)
				}
			case 6:
				if n.l.Holds(clock) && n.l.Version() == version {
					version++
					row = leaser.Lease{Fence: n.l.Fence()}
					start(i)
				}
			case 7:
				start(i)
			case 8:
				if r := n.l.Renewal(); r.Version != 0 && !n.paused {
					messages = append(messages, message{version: r.Version, age: clock.Sub(r.At)})
				}
			case 9:
				if len(messages) > 0 && !n.paused {
					m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")]
					n.l.RecordRenewal(leaser.Renewal{Version: m.version, At: clock.Add(-m.age)})
				}
			}
			holders := 0
			for _, other := range nodes {
				if other.l.Holds(now.Add(other.offset)) {
					holders++
					order.act(now, other.l.Holder())
				}
			}
			require.LessOrEqual(t, holders, 1)
		}
	})
}

// A released lease can be taken over before it has expired, with a higher fencing
// token, by a node that has not acted for a lifetime. A lease that is held is not
// released.
func TestTakeOverOfAReleasedLease(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	l := leaser.New(leaser.Config{Holder: "b", Lifetime: 4 * time.Second, Margin: time.Second}, now.Add(-4*time.Second))
	require.Equal(t, leaser.NotVacant, l.Status(now).Vacancy)
	l.Observe(now, 7, leaser.Lease{Holder: "a", Fence: 3})
	require.Equal(t, leaser.NotVacant, l.Status(now).Vacancy)
	_, proposed := l.ProposeWrite(now)
	require.False(t, proposed)
	l.Observe(now, 8, leaser.Lease{Fence: 3})
	require.Equal(t, leaser.Released, l.Status(now).Vacancy)
	lease, proposed := l.ProposeWrite(now)
	require.True(t, proposed)
	require.Equal(t, leaser.Lease{Holder: "b", Fence: 4}, lease)
	l.RecordWrite(now, 9, lease)
	require.True(t, l.Holds(now))
	require.Equal(t, leaser.NotVacant, l.Status(now).Vacancy)
}

// A node took over a released lease although it, or the process before it on the same
// VM, had acted a moment before: calls of two holders alternated.
func TestReleasedLeaseAfterAnOwnTerm(t *testing.T) {
	const lifetime = 4 * time.Second
	now := time.UnixMilli(1_700_000_000_000)
	l := leaser.New(leaser.Config{Holder: "a", Lifetime: lifetime, Margin: time.Second}, now)
	proposedAt := func(at time.Time) bool {
		_, proposed := l.ProposeWrite(at)
		return proposed
	}
	l.Observe(now, 8, leaser.Lease{Fence: 3})
	require.False(t, proposedAt(now.Add(lifetime-1)), "an earlier process may have acted")
	now = now.Add(lifetime)
	require.True(t, proposedAt(now))
	l.RecordWrite(now, 9, leaser.Lease{Holder: "a", Fence: 4})
	l.Observe(now.Add(time.Second), 11, leaser.Lease{Fence: 5})
	require.False(t, proposedAt(now.Add(lifetime+time.Second-1)), "it acted until it saw the row")
	require.True(t, proposedAt(now.Add(lifetime+time.Second)))
}

// The table returned from a copy in which this node had the lease in an earlier term.
// It went on acting with the fence of that term.
func TestEarlierTermEndsTheLease(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	l := leaser.New(leaser.Config{Holder: "a", Lifetime: 4 * time.Second, Margin: time.Second}, now)
	l.Observe(now, 10, leaser.Lease{Holder: "b", Fence: 4})
	l.RecordWrite(now, 11, leaser.Lease{Holder: "a", Fence: 5})
	require.True(t, l.Holds(now))
	l.Observe(now, 5, leaser.Lease{Holder: "a", Fence: 3})
	require.False(t, l.Holds(now))
}

// A row that is first read when its holder has fallen silent counted as new: the successor
// waited a lifetime from there instead of from the holder's last renewal.
func TestRenewalDatesTheRow(t *testing.T) {
	const lifetime = 4 * time.Second
	now := time.UnixMilli(1_700_000_000_000)
	newLeaser := func() *leaser.Leaser {
		return leaser.New(leaser.Config{Holder: "b", Lifetime: lifetime, Margin: time.Second}, now.Add(-time.Hour))
	}
	row := leaser.Lease{Holder: "a", Fence: 3}
	renewal := leaser.Renewal{Version: 7, At: now.Add(-3 * time.Second)}
	for name, hear := range map[string]func(*leaser.Leaser){
		"before the row": func(l *leaser.Leaser) { l.RecordRenewal(renewal); l.Observe(now, 7, row) },
		"after the row":  func(l *leaser.Leaser) { l.Observe(now, 7, row); l.RecordRenewal(renewal) },
	} {
		l := newLeaser()
		hear(l)
		require.Equal(t, leaser.NotVacant, l.Status(now.Add(time.Second-1)).Vacancy, name)
		require.Equal(t, leaser.Expired, l.Status(now.Add(time.Second)).Vacancy, name)
	}
	l := newLeaser()
	l.RecordRenewal(renewal)
	l.Observe(now, 8, row)
	require.Equal(t, leaser.NotVacant, l.Status(now.Add(lifetime-1)).Vacancy, "the holder has renewed it since")
}

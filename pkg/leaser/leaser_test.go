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

// At most one node holds the lease at any time, and the fencing token rises with
// each change of holder, while nodes with different clocks read, write, pause and
// lose responses in any order.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row leaser.Lease
		var version uint64
		now := time.UnixMilli(1_700_000_000_000)
		nodes := make([]*node, 3)
		for i := range nodes {
			name := string(rune('a' + i))
			nodes[i] = &node{
				l:      leaser.New(leaser.Config{Holder: name, Lifetime: 3 * time.Second, Margin: time.Second}),
				offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second,
			}
		}
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			clock := now.Add(n.offset)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
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
				if w.lease.Holder != row.Holder {
					require.Greater(t, w.lease.Fence, row.Fence)
				}
				version++
				row = w.lease
				if rapid.Bool().Draw(t, "answered") && !n.paused {
					n.l.RecordWrite(w.sentAt, version, w.lease)
				}
			}
			holders := 0
			for _, other := range nodes {
				if other.l.Holds(now.Add(other.offset)) {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1)
		}
	})
}

// A released lease can be taken over before it has expired, with a higher fencing
// token. A lease that is held is not released.
func TestTakeOverOfAReleasedLease(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	l := leaser.New(leaser.Config{Holder: "b", Lifetime: 4 * time.Second, Margin: time.Second})
	require.False(t, l.IsReleased())
	l.Observe(now, 7, leaser.Lease{Holder: "a", Fence: 3})
	require.False(t, l.IsReleased())
	l.Observe(now, 8, leaser.Lease{Fence: 3})
	require.True(t, l.IsReleased())
	_, proposed := l.ProposeWrite(now)
	require.False(t, proposed)
	require.Equal(t, leaser.Lease{Holder: "b", Fence: 4}, l.ProposeTakeOver())
	l.RecordWrite(now, 9, l.ProposeTakeOver())
	require.True(t, l.Holds(now))
	require.False(t, l.IsReleased())
}

// The table returned from a copy in which this node had the lease in an earlier term.
// It went on acting with the fence of that term.
func TestEarlierTermEndsTheLease(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	l := leaser.New(leaser.Config{Holder: "a", Lifetime: 4 * time.Second, Margin: time.Second})
	l.Observe(now, 10, leaser.Lease{Holder: "b", Fence: 4})
	l.RecordWrite(now, 11, leaser.Lease{Holder: "a", Fence: 5})
	require.True(t, l.Holds(now))
	l.Observe(now, 5, leaser.Lease{Holder: "a", Fence: 3})
	require.False(t, l.Holds(now))
}

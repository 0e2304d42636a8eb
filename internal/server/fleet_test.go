package server

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/leaser"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// testClock is a clock that tests advance.
type testClock struct{ now time.Time }

func newTestClock() *testClock { return &testClock{now: time.UnixMilli(1_700_000_000_000)} }

func (c *testClock) Now() time.Time { return c.now }

// newFleetLeader returns a server that has just become the leader of the fleet.
func newFleetLeader(t require.TestingT, clock *testClock, cloud provider.Cloud) *Server {
	s := New(Config{
		Self: tracker.Member{ID: "e1", FailureDomain: "z"}, Table: emulator.NewPlatform(clock.Now), Cloud: cloud, Log: zerolog.Nop(), Now: clock.Now,
	})
	s.state.applyConfig(clock.now, testConfig(t, 1))
	s.fleet.leader.leaser.RecordWrite(clock.now, 1, leaser.Lease{Holder: "e1", Fence: 1})
	return s
}

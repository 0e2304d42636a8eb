package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// receiveFrom delivers a message of another entry with the load of upstreams.
func receiveFrom(g *Gateway, now time.Time, id, domain string, load map[string]float64) {
	loads := map[uint32]uint32{}
	for upstream, requests := range load {
		loads[upstreamKey(upstream)] = toLoadUnits(requests)
	}
	g.receive(now, netip.AddrPort{}, peerMessage{ID: id, Boot: 1, Group: id, Address: "127.0.0.1:1", Domain: domain, Load: loads})
}

// A failure domain is unreachable if no messages of its entries arrive and a
// connection to it failed. One of the two alone must not make it unreachable;
// silence alone adds silentDomainPenalty. One message makes it reachable again.
func TestUnreachableDomainsAreAvoided(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	for _, id := range []string{"b1", "b2"} {
		receiveFrom(g, c.now, id, "b", nil)
	}
	receiveFrom(g, c.now, "c1", "c", nil)
	require.Empty(t, st.domainPenalties(c.now))
	st.connectFailedAt["b"] = c.now
	require.Empty(t, st.domainPenalties(c.now), "messages of its entries arrive")
	c.advance(time.Second)
	receiveFrom(g, c.now, "c1", "c", nil)
	require.Equal(t, map[string]float64{"b": unreachableDomainPenalty}, st.domainPenalties(c.now))
	require.True(t, st.unreachableDomains["b"])
	c.advance(connectFailureTTL)
	require.Equal(t, map[string]float64{"b": silentDomainPenalty, "c": silentDomainPenalty}, st.domainPenalties(c.now), "b may be tried again")
	receiveFrom(g, c.now, "b2", "b", nil)
	require.Equal(t, map[string]float64{"c": silentDomainPenalty}, st.domainPenalties(c.now))
	require.Empty(t, st.unreachableDomains)
}

// If only an unreachable domain has upstreams, a call must be refused at once
// instead of waiting for a connection timeout.
func TestCallsToUnreachableDomainsAreRefused(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	u := Upstream{Name: "u", Upstream: router.Upstream{ID: "u.1", Deployment: "model", FailureDomain: "b", Slots: 8}}
	st.upstreams["u"] = u
	st.updateRouter(c.now)
	pending := &call{deployment: "model"}
	got, ok := g.chooseUpstream(pending)
	require.True(t, ok)
	require.Equal(t, u, got)
	receiveFrom(g, c.now, "b1", "b", nil)
	st.connectFailedAt["b"] = c.now
	c.advance(time.Second)
	st.applyReachability(c.now)
	_, ok = g.chooseUpstream(pending)
	require.False(t, ok)
}

// The load that another entry reports must replace its previous report, and
// must not count once the entry is silent.
func TestRemoteLoadIsReplaced(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	st.upstreams["u"] = Upstream{Name: "u", Upstream: router.Upstream{ID: "u.1", Deployment: "model", Slots: 8}}
	st.updateRouter(c.now)
	receiveFrom(g, c.now, "b1", "b", map[string]float64{"u.1": 3})
	receiveFrom(g, c.now, "c1", "c", map[string]float64{"u.1": 2})
	receiveFrom(g, c.now, "b1", "b", map[string]float64{"u.1": 1})
	require.InDelta(t, 3, st.router.EstimatedLoad(c.now, "u.1"), 0)
	require.Equal(t, 3, st.memberCount())
	c.advance(2 * time.Second)
	receiveFrom(g, c.now, "c1", "c", map[string]float64{"u.1": 2})
	g.sweepPeers(c.now)
	require.InDelta(t, 2, st.router.EstimatedLoad(c.now, "u.1"), 0)
	require.Equal(t, 3, st.memberCount(), "a silent entry may still be serving")
}

// A late message of an earlier process of an entry must not overwrite the state
// of the current one.
func TestMessagesOfOldProcessesAreIgnored(t *testing.T) {
	g, c := newGateway(t, nil)
	g.receive(c.now, netip.AddrPort{}, peerMessage{ID: "b1", Boot: 5, Address: "127.0.0.1:1", Load: map[uint32]uint32{1: 4}})
	g.receive(c.now, netip.AddrPort{}, peerMessage{ID: "b1", Boot: 4, Address: "127.0.0.1:2", Load: map[uint32]uint32{1: 36}})
	require.Equal(t, "127.0.0.1:1", g.state.peers["b1"].address)
	g.receive(c.now, netip.AddrPort{}, peerMessage{ID: "e1", Boot: 9})
	require.Len(t, g.state.peers, 1, "its own messages are ignored")
}

// Short prompts and busy engines must not enter the measured prefill speed:
// their time to the first event is mostly overhead or queueing.
func TestSpeedIsMeasuredWithoutQueues(t *testing.T) {
	var d demand
	d.addFirstEvent(100, 0, time.Millisecond)
	d.addFirstEvent(10_000, maxSpeedLoad+1, 10*time.Second)
	require.Zero(t, d.PrefillSpeed)
	for range 200 {
		d.addFirstEvent(10_000, 1, 250*time.Millisecond)
		d.addFirstEvent(10_000, 20, 10*time.Second)
	}
	require.InDelta(t, 40_000, d.PrefillSpeed, 1)
}

func TestDemandDecays(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var d demand
	for range 600 {
		now = now.Add(20 * time.Millisecond)
		d.addRequest(now, 1000)
	}
	require.InDelta(t, 50, d.RequestRate, 1)
	require.InDelta(t, 50_000, d.PromptTokenRate, 1000)
	d.decay(now.Add(demandTimeConstant))
	require.InDelta(t, 50/2.718, d.RequestRate, 1)
}

// Two of five clocks are wrong, with and without this entry's own among them.
// The agreed time must be that of the other three.
func TestAgreedTimeIsTheMedian(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	for i, offset := range []int64{3000, 2999, 3001, 7000} {
		g.receive(c.now, netip.AddrPort{}, peerMessage{ID: string(rune('a' + i)), Group: string(rune('a' + i)), Boot: 1, Address: "127.0.0.1:1", ClockMS: c.now.UnixMilli() + offset})
	}
	require.Equal(t, c.now.Add(3*time.Second), st.agreedTime(c.now), "this entry's clock and the last one are wrong")
	for i, offset := range []int64{2, -2000, 3, -1} {
		g.receive(c.now, netip.AddrPort{}, peerMessage{ID: string(rune('a' + i)), Group: string(rune('a' + i)), Boot: 1, Address: "127.0.0.1:1", ClockMS: c.now.UnixMilli() + offset})
	}
	require.Equal(t, c.now, st.agreedTime(c.now))
	c.advance(time.Minute)
	require.Equal(t, c.now, st.agreedTime(c.now), "without messages only its own clock counts")
}

// A clock that was set back before a restart gives the new process a lower boot
// number. Its messages must be accepted once the old process is silent.
func TestRestartWithAClockSetBack(t *testing.T) {
	g, c := newGateway(t, nil)
	g.receive(c.now, netip.AddrPort{}, peerMessage{ID: "b1", Boot: 9, Address: "127.0.0.1:1"})
	c.advance(2 * time.Second)
	g.receive(c.now, netip.AddrPort{}, peerMessage{ID: "b1", Boot: 5, Address: "127.0.0.1:2"})
	require.Equal(t, "127.0.0.1:2", g.state.peers["b1"].address)
}

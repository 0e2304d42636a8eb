package provisioner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/seeder"
	"github.com/galenahitch/galenahitch/pkg/provisioner"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var start = time.UnixMilli(1_700_000_000_000)

func offers(domains int) []provisioner.Offer {
	var list []provisioner.Offer
	for d := range domains {
		list = append(list,
			provisioner.Offer{FailureDomain: fmt.Sprint(d), Reclaimable: true, PricePerHour: 0.3},
			provisioner.Offer{FailureDomain: fmt.Sprint(d), PricePerHour: 1})
	}
	return list
}

// After the orders are carried out, the VMs left after the loss of one domain's
// reclaimable VMs cover the demand, and the share of reclaimable VMs is within
// its bound.
func TestSurvivesTheLossOfADomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p provisioner.Provisioner
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		demand := rapid.IntRange(0, 60).Draw(t, "demand")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		for d := range domains {
			if rapid.Bool().Draw(t, "refused") {
				p.RecordRefusal(start, fmt.Sprint(d), true)
			}
		}
		total, reclaimable := 0, 0
		byDomain := map[string]int{}
		for _, o := range p.Decide(start, demand, nil, offers(domains), provisioner.Policy{MaxReclaimableShare: share}) {
			require.Positive(t, o.Change)
			total += o.Change
			if o.Reclaimable {
				reclaimable += o.Change
				byDomain[o.FailureDomain] += o.Change
			}
		}
		for _, lost := range byDomain {
			require.GreaterOrEqual(t, total-lost, demand)
		}
		require.GreaterOrEqual(t, total, demand)
		require.LessOrEqual(t, float64(reclaimable), share*float64(total)+1e-9)
	})
}

func TestPrefersTheCheapMix(t *testing.T) {
	cost := func(orders []provisioner.Order) float64 {
		sum := 0.0
		for _, o := range orders {
			if o.Reclaimable {
				sum += 0.3 * float64(o.Change)
			} else {
				sum += float64(o.Change)
			}
		}
		return sum
	}
	var p provisioner.Provisioner
	orders := p.Decide(start, 30, nil, offers(4), provisioner.Policy{MaxReclaimableShare: 1})
	require.InDelta(t, 12, cost(orders), 0.01, "40 reclaimable VMs in four domains, of which 30 are left after the loss of one domain")
}

func TestRefusalsBackOffAndSurplusIsKeptForAWhile(t *testing.T) {
	var p provisioner.Provisioner
	policy := provisioner.Policy{MaxReclaimableShare: 1}
	p.RecordRefusal(start, "0", true)
	for _, o := range p.Decide(start, 12, nil, offers(4), policy) {
		require.False(t, o.Reclaimable && o.FailureDomain == "0")
	}
	held := []provisioner.Pool{{FailureDomain: "1", VMs: 50}}
	for _, o := range p.Decide(start.Add(2*time.Minute), 12, held, offers(4), policy) {
		require.Positive(t, o.Change)
	}
	released := 0
	for _, o := range p.Decide(start.Add(13*time.Minute), 12, held, offers(4), policy) {
		if o.Change < 0 {
			released -= o.Change
		}
	}
	require.Equal(t, 50, released)
}

// When starts are refused in all domains, the fleet must cover the demand after
// the loss of two domains' reclaimable VMs, including those it already holds.
func TestOutlastsTwoDomainsWhereStartsAreRefused(t *testing.T) {
	var p provisioner.Provisioner
	held := []provisioner.Pool{}
	for d := range 4 {
		held = append(held, provisioner.Pool{FailureDomain: fmt.Sprint(d), Reclaimable: true, VMs: 4})
		p.RecordRefusal(start, fmt.Sprint(d), true)
	}
	started := func(losses int) int {
		total := 0
		for _, o := range p.Decide(start, 10, held, offers(4), provisioner.Policy{MaxReclaimableShare: 1, DomainLosses: losses}) {
			require.False(t, o.Reclaimable)
			total += o.Change
		}
		return total
	}
	require.Zero(t, started(1), "12 of 16 remain")
	require.Equal(t, 2, started(2), "8 of 16 remain")
}

// A domain holds at most MaxPerDomain VMs of both classes together.
func TestStaysWithinTheMaximumOfADomain(t *testing.T) {
	var p provisioner.Provisioner
	byDomain := map[string]int{}
	for _, o := range p.Decide(start, 20, nil, offers(4), provisioner.Policy{MaxReclaimableShare: 1, MaxPerDomain: 7}) {
		byDomain[o.FailureDomain] += o.Change
	}
	for domain, n := range byDomain {
		require.LessOrEqual(t, n, 7, domain)
	}
	require.NotEmpty(t, byDomain)
}

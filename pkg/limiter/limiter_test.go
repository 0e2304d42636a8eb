package limiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/pkg/limiter"
)

var start = time.UnixMilli(1_700_000_000_000)

// In any sequence of calls the number of requests in flight stays within the
// capacity, and each queued request is admitted, expired or cancelled exactly once.
func TestEveryTicketIsSettledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l limiter.Limiter
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		l.SetCapacity(capacity)
		now := start
		waiting := map[limiter.Ticket]bool{}
		owner := map[limiter.Ticket]string{}
		var running []string
		settle := func(admitted, expired []limiter.Ticket) {
			for _, ticket := range admitted {
				require.True(t, waiting[ticket])
				delete(waiting, ticket)
				running = append(running, owner[ticket])
			}
			for _, ticket := range expired {
				require.True(t, waiting[ticket])
				delete(waiting, ticket)
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0, 1:
				d := l.Submit(now, limiter.Request{Organisation: org, Weight: 2, Deadline: now.Add(2 * time.Second)})
				owner[d.Ticket] = org
				switch d.Outcome {
				case limiter.Admitted:
					running = append(running, org)
				case limiter.Queued:
					waiting[d.Ticket] = true
				default:
					require.Positive(t, d.RetryAfter)
				}
			case 2:
				if len(running) > 0 {
					org := running[0]
					running = running[1:]
					settle(l.Release(now, org, 400*time.Millisecond))
				}
			case 3:
				for ticket := range waiting {
					require.True(t, l.Cancel(ticket))
					delete(waiting, ticket)
					break
				}
			case 4:
				settle(l.AdmitQueued(now))
			}
			require.Equal(t, len(running), l.InFlight())
			require.Equal(t, len(waiting), l.QueueLength())
			require.LessOrEqual(t, len(running), capacity)
		}
	})
}

// Two organisations that both exceed the capacity are served in proportion to
// their weights.
func TestSharesFollowWeights(t *testing.T) {
	var l limiter.Limiter
	l.SetCapacity(10)
	owner := map[limiter.Ticket]string{}
	var running []string
	served := map[string]int{}
	now := start
	random := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		now = now.Add(time.Millisecond)
		for _, org := range []string{"large", "small"} {
			weight := 1
			if org == "large" {
				weight = 4
			}
			d := l.Submit(now, limiter.Request{Organisation: org, Weight: weight, Deadline: now.Add(time.Second)})
			owner[d.Ticket] = org
			if d.Outcome == limiter.Admitted {
				running = append(running, org)
			}
		}
		if len(running) == 10 {
			at := random.IntN(len(running))
			org := running[at]
			running = append(running[:at], running[at+1:]...)
			served[org]++
			admitted, _ := l.Release(now, org, 10*time.Millisecond)
			for _, ticket := range admitted {
				running = append(running, owner[ticket])
			}
		}
	}
	require.InDelta(t, 4, float64(served["large"])/float64(served["small"]), 0.2)
}

func TestUrgentFirstWithinAnOrganisation(t *testing.T) {
	var l limiter.Limiter
	l.SetCapacity(1)
	deadline := start.Add(time.Minute)
	require.Equal(t, limiter.Admitted, l.Submit(start, limiter.Request{Organisation: "a", Deadline: deadline}).Outcome)
	review := l.Submit(start, limiter.Request{Organisation: "a", Urgency: limiter.CanWait, Deadline: deadline})
	chat := l.Submit(start, limiter.Request{Organisation: "a", Urgency: limiter.High, Deadline: deadline})
	admitted, _ := l.Release(start, "a", time.Second)
	require.Equal(t, []limiter.Ticket{chat.Ticket}, admitted)
	admitted, _ = l.Release(start, "a", time.Second)
	require.Equal(t, []limiter.Ticket{review.Ticket}, admitted)
}

func TestRefusesRequestsThatWouldMissTheirDeadline(t *testing.T) {
	var l limiter.Limiter
	l.SetCapacity(1)
	l.Submit(start, limiter.Request{Organisation: "a", Deadline: start.Add(time.Minute)})
	d := l.Submit(start, limiter.Request{Organisation: "a", Deadline: start.Add(100 * time.Millisecond)})
	require.Equal(t, limiter.Refused, d.Outcome)
	require.Positive(t, d.RetryAfter)
	var empty limiter.Limiter
	require.Equal(t, limiter.Refused, empty.Submit(start, limiter.Request{Deadline: start.Add(time.Hour)}).Outcome)
}

package limiter

import "time"

// maxOvertakes bounds how many later requests that are worth more for the capacity that they
// take may overtake one request in a queue, so that long requests are not starved.
const maxOvertakes = 8

// precedes reports whether a request is queued before one of the same organisation that came
// earlier. Requests of one urgency are queued in the order of arrival unless they have a value.
func (q queuedRequest) precedes(earlier queuedRequest) bool {
	if q.urgency != earlier.urgency {
		return q.urgency > earlier.urgency
	}
	if q.value == 0 || earlier.value == 0 || earlier.overtakes >= maxOvertakes {
		return false
	}
	if q.value != earlier.value {
		return q.value > earlier.value
	}
	return q.deadline.Before(earlier.deadline)
}

// Wait queues a request until Dispatch admits it, whatever the capacity is. It refuses the
// request if limit requests are queued, unless its organisation has less than its share of
// the queue.
func (l *Limiter) Wait(req Request, limit int) Decision {
	f := l.flowOf(req)
	if l.queueLength >= limit && (l.queueLength >= 2*limit || float64(len(f.queue)) >= float64(limit)*l.capacityShare(f)) {
		return Decision{Outcome: Refused}
	}
	l.lastTicket++
	l.queueLength++
	f.enqueue(queuedRequest{ticket: l.lastTicket, urgency: req.Urgency, deadline: req.Deadline, cost: req.Cost, value: req.value()})
	return Decision{Outcome: Queued, Ticket: l.lastTicket}
}

// Ahead returns the number of queued requests of at least an urgency.
func (l *Limiter) Ahead(urgency Urgency) int {
	ahead := 0
	for _, f := range l.flows {
		for _, q := range f.queue {
			if q.urgency >= urgency {
				ahead++
			}
		}
	}
	return ahead
}

// Dispatch offers the queued requests to send, the most urgent first and those of one urgency
// in the fair order of their organisations, and returns those whose deadline has passed. A
// request that send does not take stays in the queue; it does not block the others, as it may
// need more than they do.
func (l *Limiter) Dispatch(now time.Time, send func(Ticket) bool) (expired []Ticket) {
	expired = l.expireQueued(now)
	offered := map[Ticket]bool{}
	for {
		f, at := l.nextOffer(offered)
		if f == nil {
			break
		}
		q := f.queue[at]
		offered[q.ticket] = true
		if !send(q.ticket) {
			continue
		}
		l.Cancel(q.ticket)
		l.virtualTime = max(l.virtualTime, f.virtualTime)
		f.charge(l.virtualTime, q.cost)
	}
	l.dropIdleFlows()
	return expired
}

// nextOffer returns the next queued request that was not offered yet.
func (l *Limiter) nextOffer(offered map[Ticket]bool) (best *flow, at int) {
	bestName := ""
	for name, f := range l.flows {
		for i, q := range f.queue {
			if offered[q.ticket] {
				continue
			}
			if best == nil || q.urgency > best.queue[at].urgency || q.urgency == best.queue[at].urgency &&
				(f.virtualTime < best.virtualTime || f.virtualTime == best.virtualTime && name < bestName) {
				best, at, bestName = f, i, name
			}
			break
		}
	}
	return best, at
}

// Charge counts a request that was sent without waiting, so that a burst of an organisation
// delays that organisation's requests.
func (l *Limiter) Charge(req Request) { l.flowOf(req).charge(l.virtualTime, req.Cost) }

func (f *flow) charge(virtualTime, cost float64) {
	if cost <= 0 {
		cost = 1
	}
	f.virtualTime = max(f.virtualTime, virtualTime) + cost/f.weight
}

// value returns the worth of the request for the capacity that it takes.
func (r Request) value() float64 {
	if r.Cost <= 0 {
		return r.Worth
	}
	return r.Worth / r.Cost
}

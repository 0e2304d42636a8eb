package limiter

import (
	"slices"
	"time"
)

const (
	// initialServiceTime is the mean service time assumed at first.
	initialServiceTime = 500 * time.Millisecond
	// serviceTimeGain is the weight of the newest service time in the mean, an
	// exponentially weighted moving average.
	serviceTimeGain = 0.05
	// maxQueuePerSlot bounds the length of the queues as a multiple of the
	// capacity; each organisation gets its weighted share of that.
	maxQueuePerSlot = 8
	// minRetryAfter is the minimum retry delay of a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// Outcome is the result of Submit.
type Outcome int

// The outcomes of Submit.
const (
	Refused Outcome = iota
	Admitted
	Queued
)

// Urgency orders the queued requests of an organisation; the highest is first.
type Urgency int

// The urgencies of routes.
const (
	CanWait Urgency = iota
	Normal
	High
)

// Request describes a request to be admitted.
type Request struct {
	Organisation string
	// Weight is the weight of the organisation relative to others; values below 1
	// count as 1.
	Weight  int
	Urgency Urgency
	// Deadline is the time until which the request may wait for admission.
	Deadline time.Time
	// Cost is the capacity that the request takes, relative to others; 0 means 1. Only Wait
	// and Charge use it.
	Cost float64
	// Worth is what serving the request in time is worth. Of an organisation's requests of
	// one urgency, Wait puts those worth most for their cost first; 0 means no preference.
	Worth float64
}

// Ticket identifies a queued or admitted request.
type Ticket uint64

// Decision is the decision on a Request. RetryAfter is set if it is refused.
type Decision struct {
	Outcome    Outcome
	Ticket     Ticket
	RetryAfter time.Duration
}

type queuedRequest struct {
	ticket   Ticket
	urgency  Urgency
	deadline time.Time
	// cost and value are those of Wait. overtakes counts the later requests that were queued
	// before this one for their value.
	cost      float64
	value     float64
	overtakes int
}

type flow struct {
	weight      float64
	virtualTime float64
	queue       []queuedRequest
	inFlight    int
}

// Limiter is the admission state of one pool of upstreams.
type Limiter struct {
	capacity        int
	inFlight        int
	queueLength     int
	lastTicket      Ticket
	virtualTime     float64
	meanServiceTime time.Duration
	flows           map[string]*flow
}

// SetCapacity sets the maximum number of admitted requests in flight.
func (l *Limiter) SetCapacity(slots int) { l.capacity = slots }

// InFlight returns the number of admitted requests that have not been released.
func (l *Limiter) InFlight() int { return l.inFlight }

// QueueLength returns the number of queued requests of all organisations.
func (l *Limiter) QueueLength() int { return l.queueLength }

// Capacity returns the maximum number of admitted requests in flight.
func (l *Limiter) Capacity() int { return l.capacity }

// Submit admits, queues or refuses one request.
func (l *Limiter) Submit(now time.Time, req Request) Decision {
	f := l.flowOf(req)
	if l.inFlight < l.capacity && l.queueLength == 0 {
		return Decision{Outcome: Admitted, Ticket: l.admit(f)}
	}
	wait := l.estimateWait(f, req.Urgency)
	remaining := req.Deadline.Sub(now)
	if l.capacity <= 0 || wait > remaining || len(f.queue) >= l.maxQueueLength(f) {
		return Decision{Outcome: Refused, RetryAfter: max(minRetryAfter, wait-remaining/2)}
	}
	l.lastTicket++
	l.queueLength++
	f.enqueue(queuedRequest{ticket: l.lastTicket, urgency: req.Urgency, deadline: req.Deadline})
	return Decision{Outcome: Queued, Ticket: l.lastTicket}
}

func (l *Limiter) flowOf(req Request) *flow {
	if l.flows == nil {
		l.flows = map[string]*flow{}
		l.meanServiceTime = initialServiceTime
	}
	f, ok := l.flows[req.Organisation]
	if !ok {
		f = &flow{virtualTime: l.virtualTime}
		l.flows[req.Organisation] = f
	}
	f.weight = float64(max(1, req.Weight))
	return f
}

func (f *flow) enqueue(q queuedRequest) {
	at := len(f.queue)
	for at > 0 && q.precedes(f.queue[at-1]) {
		at--
		if f.queue[at].urgency == q.urgency {
			f.queue[at].overtakes++
		}
	}
	f.queue = slices.Insert(f.queue, at, q)
}

func (l *Limiter) admit(f *flow) Ticket {
	l.lastTicket++
	l.start(f)
	return l.lastTicket
}

func (l *Limiter) start(f *flow) {
	l.inFlight++
	f.inFlight++
	f.virtualTime = max(f.virtualTime, l.virtualTime) + 1/f.weight
}

// estimateWait estimates the time until a new request of f is admitted.
func (l *Limiter) estimateWait(f *flow, urgency Urgency) time.Duration {
	position := 1
	for _, q := range f.queue {
		if q.urgency >= urgency {
			position++
		}
	}
	slots := float64(max(1, l.capacity)) * l.capacityShare(f)
	return time.Duration(float64(position) * float64(l.meanServiceTime) / slots)
}

// capacityShare returns the share of the capacity that f gets, from its weight and
// those of the other flows with queued requests.
func (l *Limiter) capacityShare(f *flow) float64 {
	totalWeight := f.weight
	for _, other := range l.flows {
		if other != f && len(other.queue) > 0 {
			totalWeight += other.weight
		}
	}
	return f.weight / totalWeight
}

// maxQueueLength returns the maximum number of queued requests of f. It does not
// depend on the queue lengths of other flows, so that one organisation can't fill
// the queue before another sends requests.
func (l *Limiter) maxQueueLength(f *flow) int {
	return max(1, int(float64(l.capacity*maxQueuePerSlot)*l.capacityShare(f)))
}

// Release ends an admitted request of an organisation. The parameter service is
// its service time; zero leaves the mean service time unchanged. Release returns
// the tickets of queued requests that are now admitted and of those whose deadline
// has passed.
func (l *Limiter) Release(now time.Time, organisation string, service time.Duration) (admitted, expired []Ticket) {
	l.inFlight--
	if f, ok := l.flows[organisation]; ok {
		f.inFlight--
	}
	if service > 0 {
		l.meanServiceTime += time.Duration(serviceTimeGain * float64(service-l.meanServiceTime))
	}
	return l.AdmitQueued(now)
}

// AdmitQueued admits queued requests up to the capacity and drops those whose
// deadline has passed. It is called after a change of the capacity or as time passes.
func (l *Limiter) AdmitQueued(now time.Time) (admitted, expired []Ticket) {
	expired = l.expireQueued(now)
	for l.inFlight < l.capacity && l.queueLength > 0 {
		f := l.nextFlow()
		head := f.queue[0]
		f.queue = f.queue[1:]
		l.queueLength--
		l.virtualTime = max(l.virtualTime, f.virtualTime)
		l.start(f)
		admitted = append(admitted, head.ticket)
	}
	l.dropIdleFlows()
	return admitted, expired
}

// nextFlow returns the flow with the lowest virtual time among those with queued
// requests.
func (l *Limiter) nextFlow() *flow {
	var best *flow
	bestName := ""
	for name, f := range l.flows {
		if len(f.queue) == 0 {
			continue
		}
		if best == nil || f.virtualTime < best.virtualTime || f.virtualTime == best.virtualTime && name < bestName {
			best, bestName = f, name
		}
	}
	return best
}

func (l *Limiter) expireQueued(now time.Time) []Ticket {
	var expired []Ticket
	for _, f := range l.flows {
		f.queue = slices.DeleteFunc(f.queue, func(q queuedRequest) bool {
			isExpired := q.deadline.Before(now)
			if isExpired {
				expired = append(expired, q.ticket)
			}
			return isExpired
		})
	}
	l.queueLength -= len(expired)
	slices.Sort(expired)
	return expired
}

// dropIdleFlows deletes flows without requests whose virtual time is not ahead of
// the limiter's: a new flow would start with the same or a higher one.
func (l *Limiter) dropIdleFlows() {
	for name, f := range l.flows {
		if f.inFlight == 0 && len(f.queue) == 0 && f.virtualTime <= l.virtualTime {
			delete(l.flows, name)
		}
	}
}

// Cancel removes a request from the queue. It returns false if the request is
// not queued.
func (l *Limiter) Cancel(ticket Ticket) bool {
	for _, f := range l.flows {
		before := len(f.queue)
		f.queue = slices.DeleteFunc(f.queue, func(q queuedRequest) bool { return q.ticket == ticket })
		if len(f.queue) < before {
			l.queueLength--
			return true
		}
	}
	return false
}

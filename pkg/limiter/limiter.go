package limiter

import (
	"slices"
	"time"
)

const (
	// initialServiceTime is the service time assumed before any was seen.
	initialServiceTime = 500 * time.Millisecond
	// serviceTimeGain is the weight of the newest service time in the mean.
	serviceTimeGain = 0.05
	// maxQueuePerSlot bounds the queues in multiples of the capacity; each
	// organisation has its weight's share of that.
	maxQueuePerSlot = 8
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
)

// Outcome says what becomes of a request.
type Outcome int

// The outcomes of Offer.
const (
	Refused Outcome = iota
	Admitted
	Queued
)

// Urgency orders requests within an organisation; the higher goes first.
type Urgency int

// The urgencies of the answers' classes.
const (
	CanWait Urgency = iota
	Normal
	High
)

// Request describes a request.
type Request struct {
	Organisation string
	// Weight is the organisation's share; values below 1 count as 1.
	Weight  int
	Urgency Urgency
	// Deadline is the time by which the request must have been admitted.
	Deadline time.Time
}

// Ticket names a queued or admitted request.
type Ticket uint64

// Decision is the answer to an Ask.
type Decision struct {
	Outcome    Outcome
	Ticket     Ticket
	RetryAfter time.Duration
}

type queuedRequest struct {
	ticket   Ticket
	urgency  Urgency
	deadline time.Time
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

// SetCapacity sets how many requests may run at once.
func (l *Limiter) SetCapacity(slots int) { l.capacity = slots }

// InFlight returns the number of admitted requests that have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// QueueLength returns the number of waiting requests.
func (l *Limiter) QueueLength() int { return l.queueLength }

// Capacity returns how many requests may run at once.
func (l *Limiter) Capacity() int { return l.capacity }

// Submit decides on one request.
func (l *Limiter) Submit(now time.Time, ask Request) Decision {
	f := l.flowOf(ask)
	if l.inFlight < l.capacity && l.queueLength == 0 {
		return Decision{Outcome: Admitted, Ticket: l.admit(f)}
	}
	wait := l.estimateWait(f, ask.Urgency)
	slack := ask.Deadline.Sub(now)
	if l.capacity <= 0 || wait > slack || len(f.queue) >= l.maxQueueLength(f) {
		return Decision{Outcome: Refused, RetryAfter: max(minRetryAfter, wait-slack/2)}
	}
	l.lastTicket++
	l.queueLength++
	f.enqueue(queuedRequest{ticket: l.lastTicket, urgency: ask.Urgency, deadline: ask.Deadline})
	return Decision{Outcome: Queued, Ticket: l.lastTicket}
}

func (l *Limiter) flowOf(ask Request) *flow {
	if l.flows == nil {
		l.flows = map[string]*flow{}
		l.meanServiceTime = initialServiceTime
	}
	f, ok := l.flows[ask.Organisation]
	if !ok {
		f = &flow{virtualTime: l.virtualTime}
		l.flows[ask.Organisation] = f
	}
	f.weight = float64(max(1, ask.Weight))
	return f
}

func (f *flow) enqueue(w queuedRequest) {
	at := len(f.queue)
	for at > 0 && f.queue[at-1].urgency < w.urgency {
		at--
	}
	f.queue = slices.Insert(f.queue, at, w)
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

// estimateWait estimates the time until a new request of f would be admitted.
func (l *Limiter) estimateWait(f *flow, urgency Urgency) time.Duration {
	ahead := 1
	for _, w := range f.queue {
		if w.urgency >= urgency {
			ahead++
		}
	}
	slots := float64(max(1, l.capacity)) * l.capacityShare(f)
	return time.Duration(float64(ahead) * float64(l.meanServiceTime) / slots)
}

// capacityShare is what f gets of the capacity beside the others that wait now.
func (l *Limiter) capacityShare(f *flow) float64 {
	active := f.weight
	for _, other := range l.flows {
		if other != f && len(other.queue) > 0 {
			active += other.weight
		}
	}
	return f.weight / active
}

// maxQueueLength is how many requests of f may wait. It does not depend on how many of
// others wait, so that nobody can fill the queue before another comes.
func (l *Limiter) maxQueueLength(f *flow) int {
	return max(1, int(float64(l.capacity*maxQueuePerSlot)*l.capacityShare(f)))
}

// Release ends an admitted request of an organisation that took service, and
// returns the requests that are admitted in its place and those whose
// deadline passed in the queue.
func (l *Limiter) Release(now time.Time, organisation string, service time.Duration) (granted, expired []Ticket) {
	l.inFlight--
	if f, ok := l.flows[organisation]; ok {
		f.inFlight--
	}
	if service > 0 {
		l.meanServiceTime += time.Duration(serviceTimeGain * float64(service-l.meanServiceTime))
	}
	return l.AdmitQueued(now)
}

// AdmitQueued admits what fits, after a change of the capacity or of the time.
func (l *Limiter) AdmitQueued(now time.Time) (granted, expired []Ticket) {
	expired = l.expireQueued(now)
	for l.inFlight < l.capacity && l.queueLength > 0 {
		f := l.nextFlow()
		head := f.queue[0]
		f.queue = f.queue[1:]
		l.queueLength--
		l.virtualTime = max(l.virtualTime, f.virtualTime)
		l.start(f)
		granted = append(granted, head.ticket)
	}
	l.dropIdleFlows()
	return granted, expired
}

// nextFlow returns the flow with the least virtual time of those that wait.
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
		f.queue = slices.DeleteFunc(f.queue, func(w queuedRequest) bool {
			late := w.deadline.Before(now)
			if late {
				expired = append(expired, w.ticket)
			}
			return late
		})
	}
	l.queueLength -= len(expired)
	slices.Sort(expired)
	return expired
}

// dropIdleFlows drops idle organisations whose virtual time has been overtaken.
func (l *Limiter) dropIdleFlows() {
	for name, f := range l.flows {
		if f.inFlight == 0 && len(f.queue) == 0 && f.virtualTime <= l.virtualTime {
			delete(l.flows, name)
		}
	}
}

// Cancel takes a waiting request out of the queue. It returns false if the
// ticket is not waiting any more.
func (l *Limiter) Cancel(ticket Ticket) bool {
	for _, f := range l.flows {
		before := len(f.queue)
		f.queue = slices.DeleteFunc(f.queue, func(w queuedRequest) bool { return w.ticket == ticket })
		if len(f.queue) < before {
			l.queueLength--
			return true
		}
	}
	return false
}

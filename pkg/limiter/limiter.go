package limiter

import (
	"slices"
	"time"
)

const (
	// initialService is the service time assumed before any was seen.
	initialService = 500 * time.Millisecond
	// serviceGain is the weight of the newest service time in the mean.
	serviceGain = 0.05
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

// Ask describes a request.
type Ask struct {
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

type waiting struct {
	ticket   Ticket
	urgency  Urgency
	deadline time.Time
}

type flow struct {
	weight  float64
	virtual float64
	queue   []waiting
	running int
}

// Limiter is the admission state of one pool of upstreams.
type Limiter struct {
	capacity int
	running  int
	queued   int
	last     Ticket
	virtual  float64
	service  time.Duration
	flows    map[string]*flow
}

// SetCapacity sets how many requests may run at once.
func (l *Limiter) SetCapacity(slots int) { l.capacity = slots }

// Running returns the number of admitted requests that have not ended.
func (l *Limiter) Running() int { return l.running }

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int { return l.queued }

// Capacity returns how many requests may run at once.
func (l *Limiter) Capacity() int { return l.capacity }

// Offer decides on one request.
func (l *Limiter) Offer(now time.Time, ask Ask) Decision {
	f := l.flow(ask)
	if l.running < l.capacity && l.queued == 0 {
		return Decision{Outcome: Admitted, Ticket: l.admit(f)}
	}
	wait := l.wait(f, ask.Urgency)
	slack := ask.Deadline.Sub(now)
	if l.capacity <= 0 || wait > slack || len(f.queue) >= l.room(f) {
		return Decision{Outcome: Refused, RetryAfter: max(minRetryAfter, wait-slack/2)}
	}
	l.last++
	l.queued++
	f.enqueue(waiting{ticket: l.last, urgency: ask.Urgency, deadline: ask.Deadline})
	return Decision{Outcome: Queued, Ticket: l.last}
}

func (l *Limiter) flow(ask Ask) *flow {
	if l.flows == nil {
		l.flows = map[string]*flow{}
		l.service = initialService
	}
	f, ok := l.flows[ask.Organisation]
	if !ok {
		f = &flow{virtual: l.virtual}
		l.flows[ask.Organisation] = f
	}
	f.weight = float64(max(1, ask.Weight))
	return f
}

func (f *flow) enqueue(w waiting) {
	at := len(f.queue)
	for at > 0 && f.queue[at-1].urgency < w.urgency {
		at--
	}
	f.queue = slices.Insert(f.queue, at, w)
}

func (l *Limiter) admit(f *flow) Ticket {
	l.last++
	l.start(f)
	return l.last
}

func (l *Limiter) start(f *flow) {
	l.running++
	f.running++
	f.virtual = max(f.virtual, l.virtual) + 1/f.weight
}

// wait estimates the time until a new request of f would be admitted.
func (l *Limiter) wait(f *flow, urgency Urgency) time.Duration {
	ahead := 1
	for _, w := range f.queue {
		if w.urgency >= urgency {
			ahead++
		}
	}
	slots := float64(max(1, l.capacity)) * l.share(f)
	return time.Duration(float64(ahead) * float64(l.service) / slots)
}

// share is what f gets of the capacity beside the others that wait now.
func (l *Limiter) share(f *flow) float64 {
	active := f.weight
	for _, other := range l.flows {
		if other != f && len(other.queue) > 0 {
			active += other.weight
		}
	}
	return f.weight / active
}

// room is how many requests of f may wait. It does not depend on how many of
// others wait, so that nobody can fill the queue before another comes.
func (l *Limiter) room(f *flow) int {
	return max(1, int(float64(l.capacity*maxQueuePerSlot)*l.share(f)))
}

// Release ends an admitted request of an organisation that took service, and
// returns the requests that are admitted in its place and those whose
// deadline passed in the queue.
func (l *Limiter) Release(now time.Time, organisation string, service time.Duration) (granted, expired []Ticket) {
	l.running--
	if f, ok := l.flows[organisation]; ok {
		f.running--
	}
	if service > 0 {
		l.service += time.Duration(serviceGain * float64(service-l.service))
	}
	return l.Grant(now)
}

// Grant admits what fits, after a change of the capacity or of the time.
func (l *Limiter) Grant(now time.Time) (granted, expired []Ticket) {
	expired = l.expire(now)
	for l.running < l.capacity && l.queued > 0 {
		f := l.next()
		head := f.queue[0]
		f.queue = f.queue[1:]
		l.queued--
		l.virtual = max(l.virtual, f.virtual)
		l.start(f)
		granted = append(granted, head.ticket)
	}
	l.forget()
	return granted, expired
}

// next returns the flow with the least virtual time of those that wait.
func (l *Limiter) next() *flow {
	var best *flow
	bestName := ""
	for name, f := range l.flows {
		if len(f.queue) == 0 {
			continue
		}
		if best == nil || f.virtual < best.virtual || f.virtual == best.virtual && name < bestName {
			best, bestName = f, name
		}
	}
	return best
}

func (l *Limiter) expire(now time.Time) []Ticket {
	var expired []Ticket
	for _, f := range l.flows {
		f.queue = slices.DeleteFunc(f.queue, func(w waiting) bool {
			late := w.deadline.Before(now)
			if late {
				expired = append(expired, w.ticket)
			}
			return late
		})
	}
	l.queued -= len(expired)
	slices.Sort(expired)
	return expired
}

// forget drops idle organisations whose virtual time has been overtaken.
func (l *Limiter) forget() {
	for name, f := range l.flows {
		if f.running == 0 && len(f.queue) == 0 && f.virtual <= l.virtual {
			delete(l.flows, name)
		}
	}
}

// Cancel takes a waiting request out of the queue. It returns false if the
// ticket is not waiting any more.
func (l *Limiter) Cancel(ticket Ticket) bool {
	for _, f := range l.flows {
		before := len(f.queue)
		f.queue = slices.DeleteFunc(f.queue, func(w waiting) bool { return w.ticket == ticket })
		if len(f.queue) < before {
			l.queued--
			return true
		}
	}
	return false
}

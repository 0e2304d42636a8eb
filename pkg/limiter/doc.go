// Package limiter admits, queues or refuses requests.
//
// The idea: what can't be finished in time is refused at once, with the time
// after which a retry may help; what can wait waits in a queue that is shared
// by organisations in proportion to their weights (start-time fair queueing)
// and, within an organisation, ordered by urgency. The estimate of the wait
// comes from the queue ahead, the organisation's share of the capacity and the
// service times seen so far.
//
//	var l limiter.Limiter
//	l.SetCapacity(64)
//	d := l.Offer(now, limiter.Ask{Organisation: "boutique-luna", Weight: 3, Deadline: now.Add(time.Second)})
//	switch d.Outcome { case limiter.Admitted: ...; case limiter.Refused: wait d.RetryAfter }
//	granted, expired := l.Release(now, "boutique-luna", 400*time.Millisecond)
//
// Limiter has no goroutine and no clock; its owner locks it and wakes the
// requests that Release and Grant name.
package limiter

// Package limiter admits, queues or refuses requests.
//
// A request that can't be admitted before its deadline is refused at once, with
// a retry delay. Other requests are queued while the capacity is in use. The
// queue serves organisations in proportion to their weights (start-time fair
// queueing) and the requests of one organisation by urgency. The waiting time
// is estimated from the requests ahead in the queue, the organisation's share of
// the capacity and the mean service time.
//
//	var l limiter.Limiter
//	l.SetCapacity(64)
//	d := l.Submit(now, limiter.Request{Organisation: "boutique-luna", Weight: 3, Deadline: now.Add(time.Second)})
//	switch d.Outcome { case limiter.Admitted: ...; case limiter.Refused: wait d.RetryAfter }
//	admitted, expired := l.Release(now, "boutique-luna", 400*time.Millisecond)
//
// Limiter has no goroutine and no clock, and is not safe for concurrent use. The
// caller locks it and wakes the requests whose tickets Release and AdmitQueued
// return.
package limiter

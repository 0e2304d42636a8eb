package server

import (
	"context"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

// pool is the admission state of one deployment: its limiter and the queued requests
// that wait for a decision. The state's lock guards it.
type pool struct {
	limiter limiter.Limiter
	waiters map[limiter.Ticket]chan bool
}

// notify sends queued requests the limiter's decisions.
func (p *pool) notify(granted, expired []limiter.Ticket) {
	for _, ticket := range granted {
		p.sendAdmission(ticket, true)
	}
	for _, ticket := range expired {
		p.sendAdmission(ticket, false)
	}
}

func (p *pool) sendAdmission(ticket limiter.Ticket, admitted bool) {
	if result, ok := p.waiters[ticket]; ok {
		result <- admitted
		delete(p.waiters, ticket)
	}
}

// admit submits a request to its deployment's limiter and waits while the request
// is queued, at most until deadline. It returns nil if the request was admitted;
// release must follow then.
func (s *state) admit(ctx context.Context, now time.Time, org planner.Organisation, route planner.Route, deadline time.Time) *judge.Refusal {
	decision, result, refusal := s.submit(now, org, route, deadline)
	if refusal != nil || result == nil {
		return refusal
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case admitted := <-result:
		if admitted {
			return nil
		}
		return judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the queue was too long for the time to the first answer").WithRetryAfter(route.AnswerWithin())
	case <-timer.C:
	case <-ctx.Done():
	}
	if s.cancelQueued(route, decision.Ticket, result) {
		return judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the wait in the queue was too long").WithRetryAfter(route.AnswerWithin())
	}
	return nil
}

// submit submits a request to the limiter. The channel receives the decision on a
// queued request; it is nil if the request was admitted or refused at once.
func (s *state) submit(now time.Time, org planner.Organisation, route planner.Route, deadline time.Time) (limiter.Decision, chan bool, *judge.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	decision := p.limiter.Submit(now, limiter.Request{Organisation: org.Name, Weight: org.Weight, Urgency: route.Urgency, Deadline: deadline})
	switch decision.Outcome {
	case limiter.Admitted:
		return decision, nil, nil
	case limiter.Queued:
		result := make(chan bool, 1)
		p.waiters[decision.Ticket] = result
		return decision, result, nil
	default:
		code, message := judge.CodeOverloaded, "it can't be answered in time now"
		if p.limiter.Capacity() == 0 {
			code, message = judge.CodeNoUpstream, "no upstream of "+route.Deployment+" takes work now"
		}
		return decision, nil, judge.Refuse(code, judge.NotRun, message).WithRetryAfter(decision.RetryAfter)
	}
}

// cancelQueued removes a request from the queue. It returns false if the request
// was admitted in the meantime.
func (s *state) cancelQueued(route planner.Route, ticket limiter.Ticket, result chan bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	if p.limiter.Cancel(ticket) {
		delete(p.waiters, ticket)
		return true
	}
	return !<-result
}

// release returns the capacity of an admitted request that was served in the given
// time, and admits queued requests.
func (s *state) release(now time.Time, org planner.Organisation, route planner.Route, service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	p.notify(p.limiter.Release(now, org.Name, service))
}

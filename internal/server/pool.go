package server

import (
	"context"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

// pool is the admission state of one deployment: the limiter's decisions and
// the requests that wait for one. It is guarded by the state's lock.
type pool struct {
	limiter limiter.Limiter
	waiters map[limiter.Ticket]chan bool
}

// notify tells waiting requests whether they were admitted.
func (p *pool) notify(granted, expired []limiter.Ticket) {
	for _, ticket := range granted {
		p.sendAdmission(ticket, true)
	}
	for _, ticket := range expired {
		p.sendAdmission(ticket, false)
	}
}

func (p *pool) sendAdmission(ticket limiter.Ticket, admitted bool) {
	if told, ok := p.waiters[ticket]; ok {
		told <- admitted
		delete(p.waiters, ticket)
	}
}

// admit waits until a request may go to its deployment, or refuses it at once
// if it can't be served in time.
func (s *state) admit(ctx context.Context, now time.Time, org planner.Organisation, route planner.Route, deadline time.Time) *judge.Refusal {
	decision, told, refusal := s.submit(now, org, route, deadline)
	if refusal != nil || told == nil {
		return refusal
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case admitted := <-told:
		if admitted {
			return nil
		}
		return judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the queue was too long for the time to the first answer").WithRetryAfter(route.AnswerWithin())
	case <-timer.C:
	case <-ctx.Done():
	}
	if s.cancelQueued(route, decision.Ticket, told) {
		return judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the wait in the queue was too long").WithRetryAfter(route.AnswerWithin())
	}
	return nil
}

func (s *state) submit(now time.Time, org planner.Organisation, route planner.Route, deadline time.Time) (limiter.Decision, chan bool, *judge.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	decision := p.limiter.Submit(now, limiter.Request{Organisation: org.Name, Weight: org.Weight, Urgency: route.Urgency, Deadline: deadline})
	switch decision.Outcome {
	case limiter.Admitted:
		return decision, nil, nil
	case limiter.Queued:
		told := make(chan bool, 1)
		p.waiters[decision.Ticket] = told
		return decision, told, nil
	default:
		code, why := judge.CodeOverloaded, "it can't be answered in time now"
		if p.limiter.Capacity() == 0 {
			code, why = judge.CodeNoUpstream, "no upstream of "+route.Deployment+" takes work now"
		}
		return decision, nil, judge.Refuse(code, judge.NotRun, why).WithRetryAfter(decision.RetryAfter)
	}
}

// cancelQueued takes a request out of the queue. It returns false if the request
// was admitted in the meantime.
func (s *state) cancelQueued(route planner.Route, ticket limiter.Ticket, told chan bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	if p.limiter.Cancel(ticket) {
		delete(p.waiters, ticket)
		return true
	}
	return !<-told
}

// release ends an admitted request.
func (s *state) release(now time.Time, org planner.Organisation, route planner.Route, service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(route.Deployment)
	p.notify(p.limiter.Release(now, org.Name, service))
}

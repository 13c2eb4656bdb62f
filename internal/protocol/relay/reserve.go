package relay

import (
	"context"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// chainSearch is the search of a stream for a chain with capacity.
type chainSearch struct {
	*stream
	requirements chains.Requirements
	// maxWait bounds the wait. For a new request of a prioritized service it is the patience
	// of its urgency.
	maxWait time.Duration
	// line is the wait line of a prioritized service, nil for other services.
	line         *admission.Line
	waiter       admission.Waiter
	forecast     waitForecast
	forecastMade bool

	stages      []chains.Stage
	reservation *chains.Reservation
	result      chains.Result
	// The wait as it is reported: its limit, the time waited, and whether the queue let the
	// request try.
	waitLimit, waitTime time.Duration
	admittedOnce        bool
}

// newSearch returns a search for the stream in its present state.
func (s *stream) newSearch() *chainSearch {
	q := s.request
	c := &chainSearch{stream: s, requirements: chains.Requirements{
		Domain: q.FailureDomain, Tokens: s.tokens, MaxEventGap: q.admitted.Route.TargetGap,
		Priority: q.admitted.Urgency, Prioritized: q.admitted.Prioritized,
		Avoid: q.avoid, FirstStageIn: s.allowedFirstEngines(), Resumed: s.events > 0,
	}}
	if q.excluded.suspect {
		c.requirements.ExcludeFirstStage = q.excluded.excludes
		c.requirements.FirstStageCost = q.firstStageCost
	}
	c.maxWait = time.Duration(capacityWaitShare * float64(q.admitted.Route.TargetLatency))
	if s.events > 0 {
		c.maxWait = max(callerGapTimeout-q.Now().Sub(s.lastEventTime), 0)
	}
	if q.admitted.Prioritized {
		if c.isNew() {
			c.maxWait = max(time.Duration(capacityWaitShare*float64(q.admitted.WaitTarget))-q.waited, 0)
		}
		c.line = q.WaitQueue.Line(q.admitted.Service.Name)
		c.waiter = admission.Waiter{Customer: q.admitted.Customer, Urgency: q.admitted.Urgency, Begun: !c.isNew(), Deadline: q.admitted.Deadline, Size: s.tokens}
	}
	return c
}

// isNew reports whether no engine has begun to run the request.
func (c *chainSearch) isNew() bool { return c.events == 0 && c.runs == 0 }

// reserveChain chooses a chain and reserves its token memory. It waits for capacity for
// a limited time.
func (s *stream) reserveChain(ctx context.Context) ([]chains.Stage, *chains.Reservation, *fault.Error) {
	c := s.newSearch()
	until := c.Now().Add(c.maxWait)
	c.waitingForCapacity = true
	if c.line != nil {
		c.waitInLine(ctx)
	} else {
		c.waitInQueue(ctx)
	}
	// Poll outside of the wait queue, where a stream without a chain would block
	// others.
	for s.events > 0 && c.reservation == nil && c.Now().Before(until) && wait.For(ctx, chainPollInterval) {
		clear(c.avoid)
		c.reserve(ctx)
	}
	if c.reservation == nil && ctx.Err() == nil && c.endsAsNoChain() && len(c.avoid) > 0 {
		// No other chain exists, so engines that failed before are allowed again.
		clear(c.avoid)
		c.reserve(ctx)
	}
	switch {
	case c.reservation != nil:
		c.waitingForCapacity = false
		return c.stages, c.reservation, nil
	case ctx.Err() != nil:
		return nil, nil, c.contextError(ctx)
	}
	c.makeForecast()
	return nil, nil, c.refusal()
}

// waitInQueue waits in the queue of the services that are not prioritized.
func (c *chainSearch) waitInQueue(ctx context.Context) {
	waiter := admission.Request{Customer: c.admitted.Customer, Priority: -c.admitted.Urgency}
	c.waitLimit, c.waitTime = c.maxWait, c.maxWait
	c.admittedOnce = c.WaitQueue.Wait(ctx, waiter, c.maxWait, func() bool { return c.reserve(ctx) })
}

// reserve chooses a chain and reserves it. done is false if the request may wait for capacity.
func (c *chainSearch) reserve(ctx context.Context) (done bool) {
	if caller.Check(ctx, caller.Waiting) != nil {
		return false
	}
	c.choose()
	if c.result == chains.Found && !c.takePermission(c.stages[0].Server.Incarnation()) {
		c.result = chains.Withheld // another request took the last one
	}
	switch c.result {
	case chains.Found:
		c.reserveChosen()
	case chains.Withheld:
		return c.withheldTooLong(c.requirements, c.maxWait)
	case chains.CapacityExhausted:
		return false
	case chains.InterconnectExhausted:
		return c.line == nil // other services are refused at once
	}
	return true
}

// choose sets the stages and the result of a choice, and records unmet demand for the
// interconnect.
func (c *chainSearch) choose() {
	c.stages, c.result = c.Chooser.Choose(c.admitted.Service, c.requirements)
	if c.result == chains.InterconnectExhausted && c.line != nil && len(c.avoid) > 0 {
		// Engines that failed before may form a chain that needs no interconnect.
		clear(c.avoid)
		c.stages, c.result = c.Chooser.Choose(c.admitted.Service, c.requirements)
	}
	if c.result == chains.InterconnectExhausted {
		c.recordUnmet()
	}
}

// reserveChosen reserves the chosen chain and records the load that it causes.
func (c *chainSearch) reserveChosen() {
	engine := c.admitted.Service.Engine
	c.reservation = c.Usage.Reserve(c.stages, c.tokens)
	c.chosenAt = c.Now()
	c.Chooser.RecordStart(engine, c.stages, c.promptTokens(), c.requirements)
	if c.requirements.Resumed {
		c.Chooser.RecordResume(engine, c.stages, c.tokens)
	}
	if c.line != nil {
		c.line.Granted(c.waiter)
	}
}

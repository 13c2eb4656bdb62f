package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// capacityWaitShare is the share of the target latency that a new stream may wait for
	// token memory. The rest is left for the first event.
	capacityWaitShare = 0.8
	// callerGapTimeout is slightly longer than the pause after which callers abandon a
	// stream. An interrupted stream looks for another chain for that long, as engines
	// that leave are replaced within that time.
	callerGapTimeout = 2100 * time.Millisecond
	// chainPollInterval is the interval at which an interrupted stream looks for a chain
	// after leaving the wait queue.
	chainPollInterval = 50 * time.Millisecond
	// responseTokenMargin multiplies the estimated number of response tokens.
	responseTokenMargin = 1.25
)

// expectedTokens returns the number of tokens to reserve memory for: those of the prompt
// and of the response, as estimated by the caller or as usual for the service.
func (q *request) expectedTokens() int {
	spec := q.admitted.Service.Engine
	responseTokens := float64(q.call.AnswerTokensHint)
	if responseTokens == 0 {
		responseTokens = float64(spec.MeanAnswerTokens)
	}
	responseTokens *= responseTokenMargin
	if q.call.MaxAnswerTokens > 0 {
		responseTokens = min(responseTokens, float64(q.call.MaxAnswerTokens))
	}
	return q.promptTokens() + int(responseTokens)
}

func (q *request) promptTokens() int {
	if q.call.PromptTokens > 0 {
		return q.call.PromptTokens
	}
	return q.admitted.Service.Engine.MeanPromptTokens
}

// allowResume reports whether the stream may be resumed at another chain, and takes a
// retry token for that.
func (q *request) allowResume(ctx context.Context, err error) bool {
	if q.runs == 0 {
		return q.allowRetry(ctx, "refused")
	}
	// An engine that was lost does not count as an attempt, so the route's
	// MaxAttempts does not apply here.
	if !q.admitted.Idempotent() || q.sends >= maxSends {
		return false
	}
	if !q.takeRetryToken(ctx) {
		if ctx.Err() == nil {
			klog.InfoS("stream not resumed: retry budget exhausted", "request", q.call.Attempt, "err", err)
		}
		return false
	}
	q.Observer.Retry(q.admitted.Service.Name, "resumed")
	return true
}

// reserveChain chooses a chain and reserves its token memory. It waits for capacity for
// a limited time.
func (s *stream) reserveChain(ctx context.Context) ([]chains.Stage, *chains.Reservation, *fault.Error) {
	q := s.request
	requirements := chains.Requirements{Domain: q.FailureDomain, Tokens: s.tokens, MaxEventGap: q.admitted.Route.TargetGap, Priority: q.admitted.Urgency, Prioritized: q.admitted.Prioritized, Avoid: q.avoid, FirstStageIn: s.allowedFirstEngines(), Resumed: s.events > 0}
	if q.excluded.suspect {
		requirements.ExcludeFirstStage = q.excluded.excludes
		requirements.FirstStageCost = q.firstStageCost
	}
	var stages []chains.Stage
	var reservation *chains.Reservation
	result := chains.Found
	maxWait := time.Duration(capacityWaitShare * float64(q.admitted.Route.TargetLatency))
	if s.events > 0 {
		maxWait = max(callerGapTimeout-q.Now().Sub(s.lastEventTime), 0)
	}
	reserve := func() bool {
		if ctx.Err() != nil {
			return false
		}
		stages, result = q.Chooser.Choose(q.admitted.Service, requirements)
		if result == chains.Found && !q.takePermission(stages[0].Server.Incarnation()) {
			result = chains.Withheld // another request took the last one
		}
		if result == chains.Found {
			reservation = q.Usage.Reserve(stages, s.tokens)
			q.chosenAt = q.Now()
			q.Chooser.RecordStart(q.admitted.Service.Engine, stages, q.promptTokens(), requirements)
			if requirements.Resumed {
				q.Chooser.RecordResume(q.admitted.Service.Engine, stages, s.tokens)
			}
		}
		if result == chains.InterconnectExhausted {
			q.recordUnmet(requirements)
		}
		if result == chains.Withheld {
			return s.withheldTooLong(requirements, maxWait)
		}
		return result != chains.CapacityExhausted
	}
	until := q.Now().Add(maxWait)
	waiter := admission.Request{Customer: q.admitted.Customer, Priority: -q.admitted.Urgency}
	q.waitingForCapacity = true
	gotCapacity := q.WaitQueue.Wait(ctx, waiter, maxWait, reserve)
	// Poll outside of the wait queue, where a stream without a chain would block
	// others.
	for s.events > 0 && reservation == nil && q.Now().Before(until) && wait.For(ctx, chainPollInterval) {
		clear(q.avoid)
		reserve()
	}
	switch {
	case reservation != nil:
		q.waitingForCapacity = false
		return stages, reservation, nil
	case ctx.Err() != nil:
		return nil, nil, q.contextError(ctx)
	case noChain(result) && len(q.avoid) > 0:
		// No other chain exists, so engines that failed before are allowed again.
		clear(q.avoid)
		if reserve(); reservation != nil {
			q.waitingForCapacity = false
			return stages, reservation, nil
		}
	}
	if noChain(result) {
		f := fault.New(fault.NoCapacity, "no chain of available engines holds all layers: %s", q.Chooser.ExplainNoChain(q.admitted.Service, requirements))
		if _, paused := q.Chooser.WithheldWait(q.admitted.Service, requirements); paused > f.RetryDelay() {
			f.RetryAfter = limits.Jitter(paused)
		}
		return nil, nil, f
	}
	if result == chains.Withheld {
		return nil, nil, q.withheldError(q.Chooser.WithheldWait(q.admitted.Service, requirements))
	}
	f := fault.New(fault.Overloaded, "no chain has capacity: %d requests waiting, waited %v, admitted %t, exhausted resource: %s", q.WaitQueue.Len(), maxWait, gotCapacity,
		q.Chooser.ExhaustedResource(q.admitted.Service, requirements))
	return nil, nil, f
}

// noChain reports whether the usable engines and interconnects form no chain.
func noChain(r chains.Result) bool {
	return r == chains.NoChain || r == chains.InterconnectExhausted
}

// allowedFirstEngines returns the engines that may run the first stage, or nil if any
// may. Once the route's attempts are used up, only first engines that ran the stream
// before are allowed. A lost engine does not count as an attempt. One whose entry was
// removed still counts, as it may keep serving while it drains.
func (s *stream) allowedFirstEngines() map[model.Incarnation]bool {
	alive := map[model.Incarnation]bool{}
	for inc := range s.firstEngines {
		if !s.Suspects.Lost(inc) {
			alive[inc] = true
		}
	}
	if len(alive) < s.admitted.Route.MaxAttempts {
		return nil
	}
	return alive
}

package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// roomWait is how long a new stream waits for token memory, as a share of
	// its target latency: what is left must do for the first event.
	capacityWaitShare = 0.8
	// callersPatience is the silence after which a stream's caller leaves, and a
	// little more: an interrupted stream looks for another chain as long. Broken
	// off sooner, its caller would lose it though a chain may be whole again, as
	// engines that leave are replaced within that time.
	callerGapTimeout = 2100 * time.Millisecond
	// chainPoll is between two looks of an interrupted stream that no chain took.
	chainPollInterval = 50 * time.Millisecond
	// answerMargin multiplies the caller's estimate of the answer's length.
	responseTokenMargin = 1.25
)

// size is how many tokens the request will hold: its prompt, and its answer as
// the caller guesses it or as is usual.
func (q *request) expectedTokens() int {
	spec := q.admitted.Service.Engine
	responseTokens := float64(q.call.AnswerHint)
	if responseTokens == 0 {
		responseTokens = float64(spec.UsualAnswer)
	}
	responseTokens *= responseTokenMargin
	if q.call.MaxAnswer > 0 {
		responseTokens = min(responseTokens, float64(q.call.MaxAnswer))
	}
	return q.promptTokens() + int(responseTokens)
}

func (q *request) promptTokens() int {
	if q.call.PromptTokens > 0 {
		return q.call.PromptTokens
	}
	return q.admitted.Service.Engine.UsualPrompt
}

// mayResume decides whether the stream goes on elsewhere.
func (q *request) allowResume(ctx context.Context, err error) bool {
	if q.runs == 0 {
		return q.allowRetry(ctx, "refused")
	}
	// An engine that was lost does not count as an attempt, and a stream that
	// may be resumed is worth more sends than a fresh one.
	if !q.admitted.Idempotent() || q.sends >= maxSends {
		return false
	}
	if !q.takeRetryToken(ctx) {
		if ctx.Err() == nil {
			klog.InfoS("not resumed: the retry budget is used up", "request", q.call.Attempt, "err", err)
		}
		return false
	}
	q.Observer.Retry(q.admitted.Service.Name, "resumed")
	return true
}

// acquire chooses a chain and reserves its memory, waiting a moment for room.
func (s *stream) reserveChain(ctx context.Context) ([]chains.Stage, *chains.Reservation, *fault.Error) {
	q := s.request
	requirements := chains.Requirements{Domain: q.FailureDomain, Tokens: s.tokens, MaxEventGap: q.admitted.Route.TargetGap, Avoid: q.avoid, FirstStageIn: s.allowedFirstEngines(), Resumed: s.events > 0}
	if q.excluded.suspect {
		requirements.ExcludeFirstStage = q.excluded.excludes
		requirements.FirstStageCost = q.firstStageCost
	}
	var stages []chains.Stage
	var reservation *chains.Reservation
	result := chains.Found
	reserve := func() bool {
		if ctx.Err() != nil {
			return false
		}
		stages, result = q.Chooser.Choose(q.admitted.Service, requirements)
		if result == chains.Found {
			reservation = q.Memory.Reserve(stages, s.tokens)
			q.Chooser.RecordStart(q.admitted.Service.Engine, stages, q.promptTokens())
			if requirements.Resumed {
				q.Chooser.RecordResume(q.admitted.Service.Engine, stages, s.tokens)
			}
		}
		return result != chains.CapacityExhausted
	}
	maxWait := time.Duration(capacityWaitShare * float64(q.admitted.Route.TargetLatency))
	if s.events > 0 {
		maxWait = max(callerGapTimeout-q.Now().Sub(s.lastEventTime), 0)
	}
	until := q.Now().Add(maxWait)
	waiter := admission.Request{Customer: q.admitted.Customer, Priority: -q.admitted.Priority}
	q.waitingForCapacity = true
	gotCapacity := q.WaitQueue.Wait(ctx, waiter, maxWait, reserve)
	// Not in the line: there a stream that no chain serves would hold up others.
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
	case result == chains.NoChain && len(q.avoid) > 0:
		// Better an engine that failed once than none.
		clear(q.avoid)
		if reserve(); reservation != nil {
			q.waitingForCapacity = false
			return stages, reservation, nil
		}
	}
	if result == chains.NoChain {
		return nil, nil, fault.New(fault.NoCapacity, "the engines in reach do not hold all layers: %s", q.Chooser.ExplainNoChain(q.admitted.Service, requirements))
	}
	f := fault.New(fault.Overloaded, "no chain has room: %d wait, waited %v, admitted %t, short of %s", q.WaitQueue.Len(), maxWait, gotCapacity,
		q.Chooser.ExhaustedResource(q.admitted.Service, requirements))
	return nil, nil, f
}

// firstAmong bounds the engines that run a request as the first of a chain to
// the route's attempts: once they are used up, the stream goes on only where it
// ran before. An engine that was lost is no attempt; one that is only gone from the
// list leaves, and may serve on for many seconds.
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

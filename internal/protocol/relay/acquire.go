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
	roomWait = 0.8
	// callersPatience is the silence after which a stream's caller leaves, and a
	// little more: an interrupted stream looks for another chain as long. Broken
	// off sooner, its caller would lose it though a chain may be whole again, as
	// engines that leave are replaced within that time.
	callersPatience = 2100 * time.Millisecond
	// chainPoll is between two looks of an interrupted stream that no chain took.
	chainPoll = 50 * time.Millisecond
	// answerMargin multiplies the caller's estimate of the answer's length.
	answerMargin = 1.25
)

// size is how many tokens the request will hold: its prompt, and its answer as
// the caller guesses it or as is usual.
func (q *request) size() int {
	spec := q.ticket.Service.Engine
	answer := float64(q.call.AnswerTokensHint)
	if answer == 0 {
		answer = float64(spec.MeanAnswerTokens)
	}
	answer *= answerMargin
	if q.call.MaxAnswerTokens > 0 {
		answer = min(answer, float64(q.call.MaxAnswerTokens))
	}
	return q.promptTokens() + int(answer)
}

func (q *request) promptTokens() int {
	if q.call.PromptTokens > 0 {
		return q.call.PromptTokens
	}
	return q.ticket.Service.Engine.MeanPromptTokens
}

// mayResume decides whether the stream goes on elsewhere.
func (q *request) mayResume(ctx context.Context, err error) bool {
	if q.runs == 0 {
		return q.mayRepeat(ctx, "refused")
	}
	// An engine that was lost does not count as an attempt, and a stream that
	// may be resumed is worth more sends than a fresh one.
	if !q.ticket.Idempotent() || q.sends >= maxSends {
		return false
	}
	if !q.takeRepeat(ctx) {
		if ctx.Err() == nil {
			klog.InfoS("not resumed: the retry budget is used up", "request", q.call.Attempt, "err", err)
		}
		return false
	}
	q.Observer.Retry(q.ticket.Service.Name, "resumed")
	return true
}

// acquire chooses a chain and reserves its memory, waiting a moment for room.
func (s *stream) acquire(ctx context.Context) ([]chains.Stage, *chains.Reservation, *fault.Error) {
	q := s.request
	demand := chains.Requirements{Domain: q.FailureDomain, Tokens: s.tokens, MaxEventGap: q.ticket.Route.TargetGap, Avoid: q.avoid, FirstStageIn: s.firstAmong(), Resumed: s.events > 0}
	if q.barred.suspect {
		demand.ExcludeFirstStage = q.barred.bars
		demand.FirstStageCost = q.beginCost
	}
	var parts []chains.Stage
	var hold *chains.Reservation
	verdict := chains.Found
	try := func() bool {
		if ctx.Err() != nil {
			return false
		}
		parts, verdict = q.Chooser.Choose(q.ticket.Service, demand)
		if verdict == chains.Found {
			hold = q.Memory.Reserve(parts, s.tokens)
			q.Chooser.RecordStart(q.ticket.Service.Engine, parts, q.promptTokens())
			if demand.Resumed {
				q.Chooser.RecordResume(q.ticket.Service.Engine, parts, s.tokens)
			}
		}
		return verdict != chains.CapacityExhausted
	}
	most := time.Duration(roomWait * float64(q.ticket.Route.TargetLatency))
	if s.events > 0 {
		most = max(callersPatience-q.Now().Sub(s.lastEvent), 0)
	}
	until := q.Now().Add(most)
	waiting := admission.Request{Customer: q.ticket.Customer, Priority: -q.ticket.Priority}
	q.waiting = true
	got := q.WaitQueue.Wait(ctx, waiting, most, try)
	// Not in the line: there a stream that no chain serves would hold up others.
	for s.events > 0 && hold == nil && q.Now().Before(until) && wait.For(ctx, chainPoll) {
		clear(q.avoid)
		try()
	}
	switch {
	case hold != nil:
		q.waiting = false
		return parts, hold, nil
	case ctx.Err() != nil:
		return nil, nil, q.ended(ctx)
	case verdict == chains.NoChain && len(q.avoid) > 0:
		// Better an engine that failed once than none.
		clear(q.avoid)
		if try(); hold != nil {
			q.waiting = false
			return parts, hold, nil
		}
	}
	if verdict == chains.NoChain {
		return nil, nil, fault.New(fault.NoCapacity, "the engines in reach do not hold all layers: %s", q.Chooser.ExplainNoChain(q.ticket.Service, demand))
	}
	f := fault.New(fault.Overloaded, "no chain has room: %d wait, waited %v, admitted %t, short of %s", q.WaitQueue.Len(), most, got,
		q.Chooser.ExhaustedResource(q.ticket.Service, demand))
	return nil, nil, f
}

// firstAmong bounds the engines that run a request as the first of a chain to
// the route's attempts: once they are used up, the stream goes on only where it
// ran before. An engine that was lost is no attempt; one that is only gone from the
// list leaves, and may serve on for many seconds.
func (s *stream) firstAmong() map[model.Incarnation]bool {
	alive := map[model.Incarnation]bool{}
	for inc := range s.ranOn {
		if !s.Suspects.Lost(inc) {
			alive[inc] = true
		}
	}
	if len(alive) < s.ticket.Route.MaxAttempts {
		return nil
	}
	return alive
}

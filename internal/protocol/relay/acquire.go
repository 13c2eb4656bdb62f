package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
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
	if !q.admitted.Idempotent() || q.sends >= maxSends || q.lacksDescriptor {
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

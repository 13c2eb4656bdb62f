package owner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// tokenInterval tracks the interval between tokens, to distinguish a lost chain from a
// slow one.
type tokenInterval struct {
	lastToken time.Time
	smoothed  time.Duration
}

func (p *tokenInterval) record(now time.Time) {
	d := now.Sub(p.lastToken)
	p.lastToken = now
	if p.smoothed == 0 {
		p.smoothed = d
	}
	p.smoothed += (d - p.smoothed) / 8
}

const (
	// tokenTimeoutFactor is the number of usual token intervals without a token after
	// which the stages are checked.
	tokenTimeoutFactor = 8
	// minTokenTimeout limits the rate of checks for chains with short intervals.
	minTokenTimeout = 300 * time.Millisecond
)

// timeout returns how long to wait for a token before the stages are checked. A check
// costs one message per stage and does not change the chain. After a repair the timeout
// is short because the repair may have failed. It doubles with each repair, because a
// slow link needs time and every repair sends more data over it.
func (p *tokenInterval) timeout(limit time.Duration, tokens int64, repairs int) time.Duration {
	if repairs > 0 {
		return min(minTokenTimeout<<(repairs-1), 2*limit)
	}
	if tokens < 2 {
		return limit // prefill may take long
	}
	return min(max(tokenTimeoutFactor*p.smoothed, minTokenTimeout), limit)
}

// handleStageFailure handles a stage's report and returns a description of the lost
// stage, or an empty string. A stage reported twice is avoided even if this entry can
// reach it, because the link between the stages may be down.
func (r *run) handleStageFailure(f wire.StageFailed) string {
	if f.Epoch != r.epoch {
		return ""
	}
	r.reported[f.Address]++
	if r.reported[f.Address] > 1 {
		r.avoid[f.Address] = true
	}
	return f.Address + ": " + f.Cause
}

// findLostStage returns a description of a stage that the membership shows as down or
// replaced, or an empty string.
func (r *run) findLostStage() string {
	for _, h := range r.chain {
		m, ok := r.o.Table.Get(h.Address)
		if ok && m.Down() {
			return h.Address + ": does not respond"
		}
		if ok && m.Incarnation != h.Incarnation {
			r.avoid[h.Address] = false
			return h.Address + ": incarnation was replaced"
		}
	}
	return ""
}

// ownerHeartbeatInterval is the interval of heartbeats to the stages of a long request.
// In a large fleet the usual heartbeats are too rare to keep the stages open.
const ownerHeartbeatInterval = 5 * time.Second

// sendHeartbeats sends a heartbeat to each stage of a chain.
func (r *run) sendHeartbeats(ctx context.Context, chain []wire.Stage) {
	for _, h := range chain {
		var rep wire.HelloReply
		if r.o.call(ctx, h.Address, wire.MethodHello, wire.Hello{Known: h.Incarnation}, &rep) == nil {
			r.o.Table.ObserveLoad(h.Address, membership.Load(rep.Load))
		}
	}
}

// stageProgress is the number of positions that a stage has accepted and run.
type stageProgress struct{ accepted, ran int64 }

// maxIdleChecks is the number of consecutive checks without progress after which an
// engine with pending inputs is considered hung.
const maxIdleChecks = 10

// checkStages queries the progress of the stages when no token has arrived for some
// time. It returns a description of what failed, or an empty string. A slow chain needs
// no repair, which would replay positions and add load. A repair is needed only if a
// stage does not respond, an engine hangs, or positions were lost on a link.
func (r *run) checkStages(ctx context.Context) string {
	now := make([]stageProgress, len(r.chain))
	unresponsive := make([]bool, len(r.chain))
	var g errgroup.Group
	for i, h := range r.chain {
		g.Go(func() error {
			var rep wire.OpenReply
			if err := r.o.callWithRetry(ctx, h.Address, wire.MethodOpen, r.openMessage(i), &rep); err != nil {
				unresponsive[i] = true
				return errors.Wrap(err, h.Address)
			}
			now[i] = stageProgress{rep.Next, rep.Ran}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		r.excludeUnresponsive(unresponsive)
		return err.Error()
	}
	moved := !slices.Equal(now, r.probed)
	r.probed = now
	if moved {
		r.idle = 0
		return ""
	}
	if i := slices.IndexFunc(now, func(s stageProgress) bool { return s.ran < s.accepted }); i >= 0 {
		r.idle++
		return r.checkHang(i)
	}
	return r.findLossOnLink(now)
}

// excludeUnresponsive avoids the stages that did not respond.
func (r *run) excludeUnresponsive(unresponsive []bool) {
	for i, h := range r.chain {
		if unresponsive[i] {
			r.avoid[h.Address] = true
			r.o.Table.RecordFailure(h.Address)
		}
	}
}

// findLossOnLink returns a description of the link on which positions were lost, and
// avoids an end of it after repeated losses. Positions are lost if a stage ran them,
// the next did not accept them, and no stage has inputs left. The next epoch sends lost
// positions again. After repeated losses first the receiver and then the sender is
// replaced, even if both respond to this entry.
func (r *run) findLossOnLink(now []stageProgress) string {
	for i := range now {
		next := (i + 1) % len(now)
		if now[next].accepted >= r.expectedAccepted(i, now[i].ran) {
			continue
		}
		from, to := r.chain[i].Address, r.chain[next].Address
		r.losses[from]++
		r.losses[to]++
		switch {
		case r.losses[from] > maxSenderLosses:
			r.avoid[from] = true
		case r.losses[to] > 1:
			r.avoid[to] = true
		}
		return from + " to " + to + ": positions lost on the link"
	}
	return "tokens lost on the link to the owner"
}

// maxSenderLosses is the number of losses above which the sender is replaced.
const maxSenderLosses = 2

// expectedAccepted returns the number of positions that the stage after i should have
// accepted when i has run ran positions. The last stage's output at a position is the
// first stage's input at the next one, from the end of the prompt to the second to last
// token.
func (r *run) expectedAccepted(i int, ran int64) int64 {
	if i < len(r.chain)-1 {
		return ran
	}
	prompt := int64(len(r.prompt))
	if ran < prompt {
		return 0
	}
	return min(ran+1, prompt+int64(r.submission.MaxTokens)-1)
}

// checkHang avoids stage i if it has pending inputs but made no progress for
// maxIdleChecks checks. It returns a description of the failure, or an empty string.
func (r *run) checkHang(i int) string {
	if r.idle < maxIdleChecks {
		return ""
	}
	r.idle = 0
	r.avoid[r.chain[i].Address] = true
	return r.chain[i].Address + ": engine hangs"
}

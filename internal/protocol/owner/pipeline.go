package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// feedBatch is the maximum number of positions in one message to the first stage.
	feedBatch = 256
	// maxRepairs is the maximum number of chain repairs without a new token.
	maxRepairs = 8
	// maxOpenTries is the maximum number of attempts to open the first chain. Nothing
	// runs before it is open.
	maxOpenTries = 6
	// overloadAfter is the number of refusals after which the engines are considered
	// overloaded.
	overloadAfter = 3
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// membershipCheckInterval is the interval at which the chain is compared with the
	// membership.
	membershipCheckInterval = 50 * time.Millisecond
)

// run is the owner's state of one pipeline request.
type run struct {
	*job
	o      *Owner
	prompt [][]byte
	epoch  int64
	chain  []wire.Stage
	// used are the addresses of all stages that were opened and must be closed at the
	// end.
	used map[string]bool
	// avoid are the addresses of stages that failed this request.
	avoid          map[string]bool
	reported       map[string]int  // failure reports by stage address
	losses         map[string]int  // losses on links by the address of either end
	started        bool            // the first stage got inputs, so the request may have run
	firstTokenSeen bool            // the first token has been received
	probed         []stageProgress // progress of the stages at the last check
	idle           int             // consecutive checks without progress

	newTokens chan struct{}         // signals new tokens; buffered by one
	failed    chan wire.StageFailed // reports from stages
}

// servePipeline runs a request on a chain. For a non-repeatable request, plan is the
// only chain that may be used.
func (o *Owner) servePipeline(ctx context.Context, j *job, plan []wire.Stage) model.Outcome {
	r := &run{
		job:       j,
		o:         o,
		prompt:    splitPrompt(j.submission.Body),
		chain:     plan,
		used:      map[string]bool{},
		avoid:     map[string]bool{},
		reported:  map[string]int{},
		losses:    map[string]int{},
		newTokens: make(chan struct{}, 1),
		failed:    make(chan wire.StageFailed, 16),
	}
	o.runs.Put(j.runKey().String(), r)
	defer o.runs.Delete(j.runKey().String())
	// The outcome does not wait for the stages to close.
	defer func() { go r.closeAll() }()
	if err := r.openFirst(ctx); err != nil {
		return r.failedOutcome(err)
	}
	return r.follow(ctx)
}

// splitPrompt returns one input for each word. Tokenization is left to the engines.
func splitPrompt(body []byte) [][]byte {
	var out [][]byte
	start := 0
	for i, b := range body {
		if b == ' ' && i > start {
			out = append(out, body[start:i+1])
			start = i + 1
		}
	}
	if start < len(body) {
		out = append(out, body[start:])
	}
	return out
}

// openFirst opens a chain and sends it the prompt. If stages refuse, it tries another
// chain. Nothing runs on a refusal.
func (r *run) openFirst(ctx context.Context) error {
	delay := minRetryDelay
	for try := 1; ; try++ {
		err := r.openChain(ctx)
		if err == nil {
			return nil
		}
		e := fault.From(err)
		// Load reports lag, so a single refusal may be outdated. Several consecutive ones
		// indicate overload.
		if e.Kind == fault.Overloaded && try >= overloadAfter {
			r.o.AdmissionLimiter.Overloaded()
		}
		if r.notRepeatable || try == maxOpenTries || !e.Kind.Response().Retryable {
			return err
		}
		if !wait.For(ctx, limits.Jitter(delay)) {
			return fault.New(fault.Deadline, "no chain could be opened before the deadline: %s", e.Msg)
		}
		delay = min(2*delay, maxRetryDelay)
		if !r.started {
			clear(r.avoid) // a gate that was full may have free slots
		}
	}
}

// follow waits for tokens and repairs the chain until the request has its outcome.
func (r *run) follow(ctx context.Context) model.Outcome {
	watch := time.NewTicker(membershipCheckInterval)
	defer watch.Stop()
	repairs, have := 0, r.req.Len()
	interval := tokenInterval{lastToken: r.o.Now()}
	lastHeartbeat := r.o.Now()
	for {
		if n := r.req.Len(); n > have {
			r.recordFirstToken(n)
			repairs, have = 0, n
			interval.record(r.o.Now())
		}
		if have == int64(r.submission.MaxTokens) {
			return model.Outcome{State: model.Ran, Evidence: fmt.Sprintf("all %d tokens, epoch %d", have, r.epoch)}
		}
		var lost string
		select {
		case <-r.newTokens:
			continue
		case <-ctx.Done():
			return r.failedOutcome(fault.New(fault.Deadline, "deadline passed after %d of %d tokens", have, r.submission.MaxTokens))
		case f := <-r.failed:
			lost = r.handleStageFailure(f)
		case <-watch.C:
			if r.o.Now().Sub(lastHeartbeat) > ownerHeartbeatInterval {
				lastHeartbeat = r.o.Now()
				go r.sendHeartbeats(ctx, r.chain)
			}
			timeout := interval.timeout(r.o.Timing.StallTimeout, have, repairs)
			if lost = r.findLostStage(); lost == "" && r.o.Now().Sub(interval.lastToken) > timeout {
				lost = r.checkStages(ctx)
				interval.lastToken = r.o.Now().Add(minTokenTimeout - timeout) // check again soon
			}
		}
		if lost == "" {
			continue
		}
		if repairs++; repairs > maxRepairs {
			return r.failedOutcome(fault.New(fault.BackendLost, "chain could not be repaired: %s", lost))
		}
		if err := r.repair(ctx, lost); err != nil {
			return r.failedOutcome(err)
		}
		interval.lastToken = r.o.Now()
	}
}

func (r *run) recordFirstToken(n int64) {
	if r.firstTokenSeen {
		return
	}
	r.firstTokenSeen = true
	r.o.Events.Add(r.key(), events.FirstToken, fmt.Sprintf("%d tokens", n))
}

// failedOutcome returns the outcome of a request without a complete answer. Nothing has
// run before the first stage got inputs.
func (r *run) failedOutcome(err error) model.Outcome {
	e := fault.From(err)
	if e.RetryDelay() > 0 {
		e = &fault.Error{Kind: e.Kind, Msg: e.Msg, RetryAfter: limits.Jitter(e.RetryDelay())}
	}
	if !r.started {
		return fault.NotRun(e, "never handed over: the first stage was not fed")
	}
	return fault.CutOff(e, fmt.Sprintf("%d of %d tokens received, epoch %d", r.req.Len(), r.submission.MaxTokens, r.epoch))
}

// Tokens adds generated tokens. Tokens of another epoch are valid, because a position
// determines its token.
func (o *Owner) Tokens(t wire.Tokens) {
	r, ok := o.runs.Get(t.Key.String())
	if !ok {
		return
	}
	if added, _ := r.req.Append(t.Position, t.Data); added == 0 {
		return
	}
	select {
	case r.newTokens <- struct{}{}:
	default:
	}
}

// NoStage handles the report that the first stage has no record of a request.
func (o *Owner) NoStage(from string, n wire.NoStage) {
	o.StageFailed(wire.StageFailed{Key: n.Key, Epoch: n.Epoch, Address: from, Cause: "no stage is open there"})
}

// StageFailed handles a stage's report. Reports are dropped if too many are pending,
// because one suffices to start a check.
func (o *Owner) StageFailed(f wire.StageFailed) {
	r, ok := o.runs.Get(f.Key.String())
	if !ok {
		return
	}
	select {
	case r.failed <- f:
	default:
	}
}

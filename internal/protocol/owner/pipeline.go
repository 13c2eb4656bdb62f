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
	// feedBatch is how many positions one message to the first stage carries.
	feedBatch = 256
	// maxRepairs bounds chain repairs without a new token between them.
	maxRepairs = 8
	// maxOpenTries bounds attempts to open a first chain. All of them end
	// before anything ran.
	maxOpenTries = 6
	// fullAfter is after how many refusals the engines are taken to be full.
	fullAfter  = 3
	firstPause = 10 * time.Millisecond
	maxPause   = 200 * time.Millisecond
	// watchEvery is how often the membership is compared with the chain.
	watchEvery = 50 * time.Millisecond
)

// run is one pipeline request as its owner sees it.
type run struct {
	*job
	o      *Owner
	prompt [][]byte
	epoch  int64
	chain  []wire.Hop
	// used are the stages that were ever opened, to be closed at the end.
	used map[string]bool
	// avoid are stages that failed this request.
	avoid    map[string]bool
	reported map[string]int // failure reports by stage address
	cuts     map[string]int // losses on links by the address at either end
	started  bool           // the first stage was fed: it may have run
	sentOnce bool           // first token was seen
	probed   []stageAt      // where the stages stood at the last look
	idle     int            // looks in a row at which no stage had moved

	arrived chan struct{}         // signals new tokens; buffered by one
	failed  chan wire.StageFailed // reports from stages
}

// servePipeline runs a request over a chain. A request that is not repeatable
// comes with its plan, which it must keep to.
func (o *Owner) servePipeline(ctx context.Context, j *job, plan []wire.Hop) model.Outcome {
	r := &run{
		job:      j,
		o:        o,
		prompt:   splitPrompt(j.ask.Body),
		chain:    plan,
		used:     map[string]bool{},
		avoid:    map[string]bool{},
		reported: map[string]int{},
		cuts:     map[string]int{},
		arrived:  make(chan struct{}, 1),
		failed:   make(chan wire.StageFailed, 16),
	}
	o.runs.Put(j.runKey().String(), r)
	defer o.runs.Delete(j.runKey().String())
	// The outcome does not wait for the stages to close.
	defer func() { go r.closeAll() }()
	if err := r.openFirst(ctx); err != nil {
		return r.ended(err)
	}
	return r.follow(ctx)
}

// splitPrompt makes one input of each word; tokenising is the engines' matter
// and the stand-ins take any.
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

// openFirst opens a chain and feeds it the prompt. Refusals are answered by
// another chain, a few times; none of them lets anything run.
func (r *run) openFirst(ctx context.Context) error {
	pause := firstPause
	for try := 1; ; try++ {
		err := r.establish(ctx)
		if err == nil {
			return nil
		}
		e := fault.From(err)
		// One refusal is chance: loads lag. Several in a row mean that it is full.
		if e.Kind == fault.Overloaded && try >= fullAfter {
			r.o.Room.Overloaded()
		}
		if r.notRepeatable || try == maxOpenTries || !e.Kind.Response().Retryable {
			return err
		}
		if !wait.For(ctx, limits.Jitter(pause)) {
			return fault.New(fault.Deadline, "no chain opened before the deadline: %s", e.Msg)
		}
		pause = min(2*pause, maxPause)
		if !r.started {
			clear(r.avoid) // a gate that was full may have room now
		}
	}
}

// follow waits for the tokens and repairs the chain under them.
func (r *run) follow(ctx context.Context) model.Outcome {
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	repairs, have := 0, r.req.Len()
	beat := pulse{at: r.o.Now()}
	told := r.o.Now()
	for {
		if n := r.req.Len(); n > have {
			r.firstToken(n)
			repairs, have = 0, n
			beat.beat(r.o.Now())
		}
		if have == int64(r.ask.MaxTokens) {
			return model.Outcome{State: model.Ran, Evidence: fmt.Sprintf("all %d tokens, epoch %d", have, r.epoch)}
		}
		var broken string
		select {
		case <-r.arrived:
			continue
		case <-ctx.Done():
			return r.ended(fault.New(fault.Deadline, "deadline passed after %d of %d tokens", have, r.ask.MaxTokens))
		case f := <-r.failed:
			broken = r.judge(f)
		case <-watch.C:
			if r.o.Now().Sub(told) > tellEvery {
				told = r.o.Now()
				go r.tellAlive(ctx, r.chain)
			}
			patience := beat.patience(r.o.Timing.Stall, have, repairs)
			if broken = r.lostMember(); broken == "" && r.o.Now().Sub(beat.at) > patience {
				broken = r.look(ctx)
				beat.at = r.o.Now().Add(minSilence - patience) // look again soon
			}
		}
		if broken == "" {
			continue
		}
		if repairs++; repairs > maxRepairs {
			return r.ended(fault.New(fault.BackendLost, "chain could not be repaired: %s", broken))
		}
		if err := r.repair(ctx, broken); err != nil {
			return r.ended(err)
		}
		beat.at = r.o.Now()
	}
}

func (r *run) firstToken(n int64) {
	if r.sentOnce {
		return
	}
	r.sentOnce = true
	r.o.Events.Add(r.key(), events.FirstToken, fmt.Sprintf("%d tokens", n))
}

// ended gives the outcome of a request that got no whole answer. Nothing has
// run before the first stage was fed.
func (r *run) ended(err error) model.Outcome {
	e := fault.From(err)
	if e.RetryDelay() > 0 {
		e = &fault.Error{Kind: e.Kind, Msg: e.Msg, RetryAfter: limits.Jitter(e.RetryDelay())}
	}
	if !r.started {
		return fault.NotRun(e, "never handed over: the first stage was not fed")
	}
	return fault.CutOff(e, fmt.Sprintf("%d of %d tokens came, epoch %d", r.req.Len(), r.ask.MaxTokens, r.epoch))
}

// Tokens takes in generated tokens. Tokens of another epoch still count, as the
// position tells where they belong and each position has one token.
func (o *Owner) Tokens(t wire.Tokens) {
	r, ok := o.runs.Get(t.Key.String())
	if !ok {
		return
	}
	if added, _ := r.req.Append(t.Position, t.Data); added == 0 {
		return
	}
	select {
	case r.arrived <- struct{}{}:
	default:
	}
}

// NoStage takes in that the first stage does not know a request that was fed.
func (o *Owner) NoStage(from string, n wire.NoStage) {
	o.StageFailed(wire.StageFailed{Key: n.Key, Epoch: n.Epoch, Address: from, Cause: "no stage is open there"})
}

// StageFailed takes in a stage's report; a flood of them is cut, as one is
// enough to look.
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

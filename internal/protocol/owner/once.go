package owner

import (
	"context"
	"crypto/rand"

	"github.com/oklog/ulid/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

// gatesPerIntent is how many gates an intent names. Only these may hand the
// request over, so that whoever settles it later knows whom to ask.
const gatesPerIntent = 3

// serveOnce carries out a request that is not repeatable. The intent is stored
// before the hand-over and names the gates; a caller that resends through
// another entry finds it there.
func (o *Owner) serveOnce(ctx context.Context, j *job) model.Outcome {
	plan, err := o.plan(j)
	if err != nil {
		return fault.NotRun(fault.From(err), "never handed over: no gate")
	}
	in := ledger.Intent{
		Key:     j.key().String(),
		Content: j.req.Content,
		Grant:   ulid.MustNew(ulid.Timestamp(o.Now()), rand.Reader).String(),
		Owner:   o.Address,
	}
	for _, h := range plan {
		in.Gates = append(in.Gates, ledger.Gate{Address: h.Address, Incarnation: h.Incarnation})
	}
	stored, err := o.Grant(ctx, in, j.ask.ID)
	if err != nil {
		return fault.NotRun(fault.From(err), "never handed over: no grant from the ledger")
	}
	o.Events.Add(j.key(), events.IntentStored, "granted to "+stored.Owner)
	if stored.Grant != in.Grant {
		return o.settleOther(ctx, j, stored)
	}
	if j.kind == model.KindPipeline {
		return o.servePipeline(ctx, j, plan)
	}
	return o.handOverOnce(ctx, j, plan)
}

// plan names the gates: some to choose from for a plain service, the whole
// chain for a pipeline.
func (o *Owner) plan(j *job) ([]wire.Hop, error) {
	if j.kind == model.KindPipeline {
		chain, err := o.Router.Chain(j.ask.Service, model.LayerRange{To: j.layers}, nil)
		if err != nil {
			return nil, err
		}
		return hopsOf(chain), nil
	}
	avoid := map[string]bool{}
	var plan []wire.Hop
	for len(plan) < gatesPerIntent {
		m, err := o.Router.Plain(j.ask.Service, avoid)
		if err != nil && len(plan) == 0 {
			return nil, err
		}
		if err != nil {
			return plan, nil
		}
		avoid[m.Instance.Address] = true
		plan = append(plan, hopOf(m, model.LayerRange{}))
	}
	return plan, nil
}

// handOverOnce goes on to the next gate only with proof that the one before
// never started it.
func (o *Owner) handOverOnce(ctx context.Context, j *job, plan []wire.Hop) model.Outcome {
	var last *fault.Error
	for i, gate := range plan {
		body, ran, err := o.dispatch(ctx, j, gate, int64(i+1))
		if err == nil {
			return o.complete(j, gate, body)
		}
		last = fault.From(err)
		if ran {
			return fault.CutOff(last, "gate "+gate.Address+" may have handed it over")
		}
		if ctx.Err() != nil || !last.Kind.Answer().Retryable {
			break
		}
	}
	return fault.NotRun(last, "every gate proved that it never started")
}

// settleOther finds the truth about a request whose hand-over was granted to
// another entry: from that entry if it lives, else from the gates.
func (o *Owner) settleOther(ctx context.Context, j *job, in ledger.Intent) model.Outcome {
	if in.Content != j.req.Content {
		return fault.NotRun(fault.New(fault.ConflictingID, "request id was used for another request"),
			"never handed over: the ledger holds another request under this id")
	}
	for in.Owner != o.Address {
		var rep wire.OutcomeReply
		err := o.callTwice(ctx, in.Owner, wire.MethodOutcome, wire.OutcomeQuery{Key: j.key()}, &rep)
		if err != nil || !rep.Known {
			break
		}
		if rep.Outcome.Final() {
			return adopt(j, rep)
		}
		if !sleep(ctx, o.Timing.Poll) {
			return fault.CutOff(fault.New(fault.Deadline, "still in progress at entry %s", in.Owner), "entry "+in.Owner)
		}
	}
	return o.askGates(ctx, j, in)
}

func adopt(j *job, rep wire.OutcomeReply) model.Outcome {
	if rep.Outcome.State == model.Ran && len(rep.Answer) > 0 {
		j.req.Append(0, rep.Answer)
	}
	out := rep.Outcome
	out.Evidence += "; told by entry " + out.Entry
	return out
}

// askGates sets a tombstone at every gate that the intent names. All of them
// together prove that it never ran; one that does not know leaves it open.
func (o *Owner) askGates(ctx context.Context, j *job, in ledger.Intent) model.Outcome {
	unknown := ""
	for _, g := range in.Gates {
		gate := wire.Hop{Address: g.Address, Incarnation: g.Incarnation}
		body, ran, err := o.settle(ctx, j, gate, fault.New(fault.Unreachable, "entry %s is gone", in.Owner))
		if err == nil {
			return o.complete(j, gate, body)
		}
		if ran {
			unknown = fault.From(err).Msg
		}
	}
	if unknown != "" {
		return fault.CutOff(fault.New(fault.BackendLost, "entry %s that handed it over is gone", in.Owner), unknown)
	}
	e := fault.New(fault.Cancelled, "entry %s died before the hand-over; send it again under a new id", in.Owner)
	return fault.NotRun(e, "tombstones at all gates of the intent")
}

package owner

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// gatesPerIntent is how many gates an intent names. Only these may hand the
// request over, so that whoever settles it later knows whom to ask.
const gatesPerIntent = 3

// serveOnce carries out a request that is not repeatable. The intent is stored
// before the hand-over and names the gates; a caller that resends through
// another entry finds it there.
func (o *Owner) serveOnce(ctx context.Context, j *job) model.Outcome {
	// Without a gate the intent is stored all the same, naming none: it keeps
	// the request from running through another entry after "not run" was said.
	plan, planErr := o.plan(j)
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
		return o.withoutLedger(ctx, j, fault.From(err))
	}
	o.Events.Add(j.key(), events.IntentStored, "granted to "+stored.Owner)
	if stored.Grant != in.Grant {
		return o.settleOther(ctx, j, stored)
	}
	if planErr != nil {
		return fault.NotRun(fault.From(planErr), "never handed over: the ledger's intent names no gate")
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
		chain, err := o.Router.Chain(routing.ChainRequest{Service: j.ask.Service, Layers: model.LayerRange{To: j.layers}, Positions: j.positions()})
		if err != nil {
			return nil, err
		}
		return hopsOf(chain), nil
	}
	avoid := map[string]bool{}
	var plan []wire.Hop
	for len(plan) < gatesPerIntent {
		m, err := o.Router.PlainServer(j.ask.Service, avoid)
		if err != nil && len(plan) == 0 {
			return nil, err
		}
		if err != nil {
			break
		}
		avoid[m.Instance.Address] = true
		if mayRunOnce(m, j) {
			plan = append(plan, hopOf(m, model.LayerRange{}))
		}
	}
	if len(plan) == 0 {
		return nil, fault.New(fault.NotReady, "every gate of %s was started only now", j.ask.Service)
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
		if ctx.Err() != nil || !last.Kind.Response().Retryable {
			break
		}
	}
	return fault.NotRun(last, "every gate proved that it never started")
}

// maxWitnesses bounds how many processes are asked about one request while the
// ledger cannot be.
const maxWitnesses = 16

// withoutLedger answers a request that the ledger could not vouch for. It does
// not run here; but it may be a request sent again that ran through another
// entry, and "not run" would have the caller send it under a new id. Entries
// may come and go unseen, so they prove nothing; but every hand-over passes a
// gate, and a gate runs only ids made after its start. If each gate of the
// service was up before, never started it and now holds a tombstone, it neither
// ran nor will: "not run" is proven.
func (o *Owner) withoutLedger(ctx context.Context, j *job, e *fault.Error) model.Outcome {
	if addr, ok := o.findOwner(ctx, j.key()); ok {
		return o.follow(ctx, j, addr)
	}
	gates, complete := o.Table.Service(j.ask.Service)
	if !complete || len(gates) == 0 || len(gates) > maxWitnesses || o.Table.ListAge() > gate.Youth {
		return fault.CutOff(e, "not handed over here; whether it ran before cannot be told without the ledger")
	}
	unknown := ""
	for _, m := range gates {
		body, ran, err := o.settle(ctx, j, hopOf(m, model.LayerRange{}), e.WithKind(fault.Unreachable))
		if err == nil {
			return o.complete(j, hopOf(m, model.LayerRange{}), body)
		}
		if ran || !mayRunOnce(m, j) {
			unknown = m.Instance.Address
		}
	}
	if unknown != "" {
		return fault.CutOff(e, "not handed over here; gate "+unknown+" cannot tell whether it ran before")
	}
	return fault.NotRun(e, "never handed over: no grant from the ledger, and tombstones at all gates of the service")
}

// mayRunOnce tells whether a gate's incarnation is old enough to run a request
// that is not repeatable. It goes by the time in the incarnation, a ULID.
func mayRunOnce(m membership.Member, j *job) bool {
	u, err := ulid.ParseStrict(m.Incarnation)
	return err == nil && !j.made.Before(ulid.Time(u.Time()).Add(gate.Youth))
}

// findOwner asks the other entries for one that knows a request.
func (o *Owner) findOwner(ctx context.Context, key model.RequestKey) (string, bool) {
	entries := o.Table.Entries()
	found := make([]bool, min(len(entries), maxWitnesses))
	var g errgroup.Group
	for i := range found {
		g.Go(func() error {
			rep, err := o.askEntry(ctx, entries[i].Instance.Address, key)
			found[i] = err == nil && rep.Known
			return nil
		})
	}
	_ = g.Wait()
	if i := slices.Index(found, true); i >= 0 {
		return entries[i].Instance.Address, true
	}
	return "", false
}

func (o *Owner) askEntry(ctx context.Context, addr string, key model.RequestKey) (wire.OutcomeReply, error) {
	var rep wire.OutcomeReply
	err := o.callTwice(ctx, addr, wire.MethodOutcome, wire.OutcomeQuery{Key: key}, &rep)
	return rep, err
}

// await waits for the outcome that another entry comes to; it tells whether that
// entry knows the request and answers.
func (o *Owner) await(ctx context.Context, j *job, addr string) (model.Outcome, bool) {
	for {
		rep, err := o.askEntry(ctx, addr, j.key())
		if err != nil || !rep.Known {
			return model.Outcome{}, false
		}
		if rep.Outcome.Final() {
			return adopt(j, rep), true
		}
		if !wait.For(ctx, o.Timing.Poll) {
			return fault.CutOff(fault.New(fault.Deadline, "still in progress at entry %s", addr), "entry "+addr), true
		}
	}
}

// follow gives the outcome that another entry comes to, or that it is gone.
func (o *Owner) follow(ctx context.Context, j *job, addr string) model.Outcome {
	if out, ok := o.await(ctx, j, addr); ok {
		return out
	}
	return fault.CutOff(fault.New(fault.BackendLost, "entry %s that had the request is gone", addr), "entry "+addr)
}

// settleOther finds the truth about a request whose hand-over was granted to
// another entry: from that entry if it lives, else from the gates.
func (o *Owner) settleOther(ctx context.Context, j *job, in ledger.Intent) model.Outcome {
	if in.Content != j.req.Content {
		return fault.NotRun(fault.New(fault.ConflictingID, "request id was used for another request"),
			"never handed over: the ledger holds another request under this id")
	}
	if in.Owner != o.Address {
		if out, ok := o.await(ctx, j, in.Owner); ok {
			return out
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
	e := fault.New(fault.Cancelled, "entry %s ended before the hand-over; send it again under a new id", in.Owner)
	return fault.NotRun(e, "tombstones at all gates of the intent")
}

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

// gatesPerIntent is the number of gates that an intent names for a plain service. Only
// these may hand the request over, so other entries can query them for its state.
const gatesPerIntent = 3

// serveNonRepeatable executes a request that is not repeatable. The intent names the
// gates and is stored before the handover. If the caller retries through another entry,
// that entry finds the intent.
func (o *Owner) serveNonRepeatable(ctx context.Context, j *job) model.Outcome {
	// The intent is stored even if no gate is available. It prevents the request from
	// running through another entry after this one reported that it did not run.
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
	stored, err := o.RecordIntent(ctx, in, j.submission.ID)
	if err != nil {
		return o.resolveWithoutLedger(ctx, j, fault.From(err))
	}
	o.Events.Add(j.key(), events.IntentStored, "granted to "+stored.Owner)
	if stored.Grant != in.Grant {
		return o.resolveOther(ctx, j, stored)
	}
	if planErr != nil {
		return fault.NotRun(fault.From(planErr), "never handed over: the ledger's intent names no gate")
	}
	if j.kind == model.KindPipeline {
		return o.servePipeline(ctx, j, plan)
	}
	return o.handOverNonRepeatable(ctx, j, plan)
}

// plan returns the gates for the intent: several candidates for a plain service, the
// whole chain for a pipeline.
func (o *Owner) plan(j *job) ([]wire.Stage, error) {
	if j.kind == model.KindPipeline {
		chain, err := o.Router.Chain(routing.ChainRequest{Service: j.submission.Service, Layers: model.LayerRange{To: j.layers}, Positions: j.positions()})
		if err != nil {
			return nil, err
		}
		return stagesOf(chain), nil
	}
	avoid := map[string]bool{}
	var plan []wire.Stage
	for len(plan) < gatesPerIntent {
		m, err := o.Router.PlainServer(j.submission.Service, avoid)
		if err != nil && len(plan) == 0 {
			return nil, err
		}
		if err != nil {
			break
		}
		avoid[m.Instance.Address] = true
		if mayRunNonRepeatable(m, j) {
			plan = append(plan, stageOf(m, model.LayerRange{}))
		}
	}
	if len(plan) == 0 {
		return nil, fault.New(fault.NotReady, "all gates of %s started too recently", j.submission.Service)
	}
	return plan, nil
}

// handOverNonRepeatable tries the gates in turn. It continues with the next gate only
// if the previous one proved that it did not start the request.
func (o *Owner) handOverNonRepeatable(ctx context.Context, j *job, plan []wire.Stage) model.Outcome {
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
	return fault.NotRun(last, "every gate proved that the request never started")
}

// maxQueried is the maximum number of processes queried about one request while the
// ledger is unavailable.
const maxQueried = 16

// resolveWithoutLedger determines the outcome of a request whose intent could not be
// stored. The request does not run here, but it may be a retry of one that ran through
// another entry. Entries may have exited, so their reports are no proof. Every handover
// passes a gate, and a gate runs only ids created after its start. The request is
// proven not to run if each gate of the service started before it, did not start it and
// now has a tombstone.
func (o *Owner) resolveWithoutLedger(ctx context.Context, j *job, e *fault.Error) model.Outcome {
	if addr, ok := o.findOwner(ctx, j.key()); ok {
		return o.followOwner(ctx, j, addr)
	}
	gates, complete := o.Table.ServiceMembers(j.submission.Service)
	if !complete || len(gates) == 0 || len(gates) > maxQueried || o.Table.ListAge() > gate.MinIncarnationLead {
		return fault.CutOff(e, "not handed over here; without the ledger it is unknown whether it ran before")
	}
	unknown := ""
	for _, m := range gates {
		body, ran, err := o.resolveDispatch(ctx, j, stageOf(m, model.LayerRange{}), e.WithKind(fault.Unreachable))
		if err == nil {
			return o.complete(j, stageOf(m, model.LayerRange{}), body)
		}
		if ran || !mayRunNonRepeatable(m, j) {
			unknown = m.Instance.Address
		}
	}
	if unknown != "" {
		return fault.CutOff(e, "not handed over here; gate "+unknown+" does not know whether it ran before")
	}
	return fault.NotRun(e, "never handed over: no grant from the ledger, and tombstones at all gates of the service")
}

// mayRunNonRepeatable reports whether a gate's incarnation started early enough to run
// a non-repeatable request. The incarnation is a ULID, which contains its start time.
func mayRunNonRepeatable(m membership.Member, j *job) bool {
	u, err := ulid.ParseStrict(m.Incarnation)
	return err == nil && !j.createdAt.Before(ulid.Time(u.Time()).Add(gate.MinIncarnationLead))
}

// findOwner returns the address of another entry that has a record of a request.
func (o *Owner) findOwner(ctx context.Context, key model.RequestKey) (string, bool) {
	entries := o.Table.Entries()
	found := make([]bool, min(len(entries), maxQueried))
	var g errgroup.Group
	for i := range found {
		g.Go(func() error {
			rep, err := o.queryOutcome(ctx, entries[i].Instance.Address, key)
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

func (o *Owner) queryOutcome(ctx context.Context, addr string, key model.RequestKey) (wire.OutcomeReply, error) {
	var rep wire.OutcomeReply
	err := o.callWithRetry(ctx, addr, wire.MethodOutcome, wire.OutcomeQuery{Key: key}, &rep)
	return rep, err
}

// awaitOutcome waits for the outcome at another entry. It returns false if that entry
// has no record of the request or does not respond.
func (o *Owner) awaitOutcome(ctx context.Context, j *job, addr string) (model.Outcome, bool) {
	for {
		rep, err := o.queryOutcome(ctx, addr, j.key())
		if err != nil || !rep.Known {
			return model.Outcome{}, false
		}
		if rep.Outcome.Final() {
			return adoptOutcome(j, rep), true
		}
		if !wait.For(ctx, o.Timing.PollInterval) {
			return fault.CutOff(fault.New(fault.Deadline, "still in progress at entry %s", addr), "entry "+addr), true
		}
	}
}

// followOwner returns the outcome at another entry, or a cut-off outcome if that entry
// does not respond.
func (o *Owner) followOwner(ctx context.Context, j *job, addr string) model.Outcome {
	if out, ok := o.awaitOutcome(ctx, j, addr); ok {
		return out
	}
	return fault.CutOff(fault.New(fault.BackendLost, "entry %s, which owned the request, does not respond", addr), "entry "+addr)
}

// resolveOther determines the outcome of a request whose handover was granted to
// another entry. It queries that entry first, then the gates.
func (o *Owner) resolveOther(ctx context.Context, j *job, in ledger.Intent) model.Outcome {
	if in.Content != j.req.Content {
		return fault.NotRun(fault.New(fault.ConflictingID, "request id was used for another request"),
			"never handed over: the ledger holds another request under this id")
	}
	if in.Owner != o.Address {
		if out, ok := o.awaitOutcome(ctx, j, in.Owner); ok {
			return out
		}
	}
	return o.resolveAtGates(ctx, j, in)
}

func adoptOutcome(j *job, rep wire.OutcomeReply) model.Outcome {
	if rep.Outcome.State == model.Ran && len(rep.Answer) > 0 {
		j.req.Append(0, rep.Answer)
	}
	if rep.Dropped {
		j.req.MarkAnswerDropped()
	}
	out := rep.Outcome
	out.Evidence += "; reported by entry " + out.Entry
	return out
}

// resolveAtGates sets a tombstone at every gate that the intent names. If all gates
// report that the request never started, it is proven not to have run. If one does not
// respond, the outcome is unknown.
func (o *Owner) resolveAtGates(ctx context.Context, j *job, in ledger.Intent) model.Outcome {
	unknown := ""
	for _, g := range in.Gates {
		gate := wire.Stage{Address: g.Address, Incarnation: g.Incarnation}
		body, ran, err := o.resolveDispatch(ctx, j, gate, fault.New(fault.Unreachable, "entry %s does not respond", in.Owner))
		if err == nil {
			return o.complete(j, gate, body)
		}
		if ran {
			unknown = fault.From(err).Msg
		}
	}
	if unknown != "" {
		return fault.CutOff(fault.New(fault.BackendLost, "entry %s, which handed it over, does not respond", in.Owner), unknown)
	}
	e := fault.New(fault.Cancelled, "entry %s stopped before the handover; retry with a new id", in.Owner)
	return fault.NotRun(e, "tombstones at all gates of the intent")
}

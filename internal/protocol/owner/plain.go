package owner

import (
	"context"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// maxRefusals bounds how many gates may refuse one request before it is given
// up; each refusal is proof that nothing ran.
const maxRefusals = 4

// servePlain carries out a repeatable call, at another backend server if the
// first is lost.
func (o *Owner) servePlain(ctx context.Context, j *job) model.Outcome {
	avoid := map[string]bool{}
	mayHaveRun := false
	var last *fault.Error
	for attempt := int64(1); ; attempt++ {
		m, err := o.Router.PlainServer(j.ask.Service, avoid)
		if err != nil {
			return giveUp(fault.From(orElse(last, err)), mayHaveRun, "no gate left to try")
		}
		gate := hopOf(m, model.LayerRange{})
		body, ran, err := o.dispatch(ctx, j, gate, attempt)
		if err == nil {
			return o.complete(j, gate, body)
		}
		last = fault.From(err)
		mayHaveRun = mayHaveRun || ran
		if ctx.Err() != nil {
			return giveUp(fault.New(fault.Deadline, "deadline passed"), mayHaveRun, "gate "+gate.Address)
		}
		if !o.mayRetry(last, ran, attempt) {
			return giveUp(last, mayHaveRun, "gate "+gate.Address)
		}
		avoid[gate.Address] = true
	}
}

func orElse(last *fault.Error, err error) error {
	if last != nil {
		return last
	}
	return err
}

// mayRetry: a refusal costs a backend server nothing and is bounded by number;
// work that may have run is bounded by the budget.
func (o *Owner) mayRetry(e *fault.Error, ran bool, attempt int64) bool {
	if !ran {
		return e.Kind.Response().Retryable && attempt < maxRefusals
	}
	return o.Retries.Take()
}

func giveUp(e *fault.Error, mayHaveRun bool, evidence string) model.Outcome {
	if mayHaveRun {
		return fault.CutOff(e, evidence+": handed over, no answer")
	}
	return fault.NotRun(e, evidence+": never handed over")
}

func (o *Owner) complete(j *job, gate wire.Hop, body []byte) model.Outcome {
	j.req.Append(0, [][]byte{body})
	return model.Outcome{State: model.Ran, Evidence: "answer from gate " + gate.Address}
}

// dispatch makes one attempt at one gate. With an error, ran tells whether the
// backend server may have run it; false is proof.
func (o *Owner) dispatch(ctx context.Context, j *job, gate wire.Hop, attempt int64) (body []byte, ran bool, err error) {
	if err := o.readmit(j); err != nil {
		return nil, false, err
	}
	var rep wire.CallReply
	call, stop := o.whileUp(ctx, gate)
	defer stop()
	err = o.Peers.Call(call, gate.Address, wire.MethodCall, wire.Call{
		Key:           j.runKey(),
		Attempt:       attempt,
		Incarnation:   gate.Incarnation,
		Body:          j.ask.Body,
		Deadline:      j.req.Deadline,
		Remember:      j.remember,
		Priority:      j.rule.Priority,
		NotRepeatable: j.notRepeatable,
		Revision:      j.revision,
	}, &rep)
	if err == nil {
		o.Table.SeenLoad(gate.Address, membership.Load(rep.Load))
		return rep.Body, true, nil
	}
	e := fault.From(err)
	if !provesNotStarted(e.Kind) {
		return o.settle(ctx, j, gate, e)
	}
	o.refused(ctx, j, gate, e)
	return nil, false, e
}

// whileUp gives a context that ends when the gate is found down or replaced. A
// frozen gate keeps its connection open, and a call to it would otherwise be
// waited for until the deadline, with no time left to try another.
func (o *Owner) whileUp(ctx context.Context, gate wire.Hop) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	go func() {
		for wait.For(call, watchEvery) {
			m, ok := o.Table.Get(gate.Address)
			if ok && (m.Down() || m.Incarnation != gate.Incarnation) {
				cancel()
			}
		}
	}()
	return call, cancel
}

// provesNotStarted lists the gate's answers that come before any hand-over.
func provesNotStarted(k fault.Kind) bool {
	switch k {
	case fault.Leaving, fault.Overloaded, fault.WrongIncarnation, fault.Cancelled,
		fault.NotReady, fault.NotConnected, fault.StaleConfig, fault.Deadline, fault.NoCapacity:
		return true
	}
	return false
}

func (o *Owner) refused(ctx context.Context, j *job, gate wire.Hop, e *fault.Error) {
	o.Events.Add(j.key(), events.GateRefused, gate.Address+" "+e.Error())
	switch e.Kind {
	case fault.Overloaded, fault.NoCapacity, fault.WrongIncarnation, fault.NotReady:
		o.Table.Backoff(gate.Address, e.RetryDelay())
	case fault.Leaving:
		o.Table.SeenLeaving(gate.Address)
	case fault.NotConnected:
		o.Table.Missed(gate.Address)
	case fault.StaleConfig:
		_ = o.Refresh(ctx, gate.Address)
	}
}

// settle finds out what became of a dispatch whose answer was lost: the gate's
// tombstone or its memory is the proof. A backend server that failed the call
// may have run it.
func (o *Owner) settle(ctx context.Context, j *job, gate wire.Hop, e *fault.Error) ([]byte, bool, error) {
	if e.Kind != fault.Unreachable {
		return nil, true, e
	}
	for {
		rep, err := o.cancel(ctx, j, gate)
		switch {
		case err != nil:
			return nil, true, fault.New(fault.BackendLost, "gate %s gives no answer: %s", gate.Address, e.Msg)
		case rep.Verdict == wire.NeverStarted:
			o.Events.Add(j.key(), events.Tombstoned, gate.Address)
			return nil, false, fault.New(fault.BackendLost, "gate %s never started it", gate.Address)
		case rep.Verdict == wire.WasFinished && rep.Body != nil:
			return rep.Body, true, nil
		case rep.Verdict == wire.WasFinished:
			return nil, true, fault.New(fault.BackendFailed, "backend server at %s failed", gate.Address)
		}
		if !wait.For(ctx, o.Timing.Poll) {
			return nil, true, fault.New(fault.Deadline, "still running at %s at the deadline", gate.Address)
		}
	}
}

// cancel asks a gate to keep a request from starting. It goes on a little past
// the deadline, as its answer decides what the caller is told.
func (o *Owner) cancel(ctx context.Context, j *job, gate wire.Hop) (wire.CancelReply, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*o.Timing.Call)
	defer stop()
	var rep wire.CancelReply
	err := o.callTwice(ctx, gate.Address, wire.MethodCancel, wire.Cancel{
		Key:         j.runKey(),
		Incarnation: gate.Incarnation,
		Remember:    j.remember,
	}, &rep)
	return rep, err
}

func hopOf(m membership.Member, r model.LayerRange) wire.Hop {
	return wire.Hop{Address: m.Instance.Address, Data: m.Backend.Data, Incarnation: m.Incarnation, Range: r}
}

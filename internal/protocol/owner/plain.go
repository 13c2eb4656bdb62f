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

// maxRefusals is the maximum number of gates that may refuse one request. A refusal
// proves that nothing ran.
const maxRefusals = 4

// servePlain executes a repeatable call and retries it at another backend server if one
// is lost.
func (o *Owner) servePlain(ctx context.Context, j *job) model.Outcome {
	avoid := map[string]bool{}
	mayHaveRun := false
	var last *fault.Error
	for attempt := int64(1); ; attempt++ {
		m, err := o.Router.PlainServer(j.submission.Service, avoid)
		if err != nil {
			return failedOutcome(fault.From(lastOr(last, err)), mayHaveRun, "no other gate is available")
		}
		gate := stageOf(m, model.LayerRange{})
		body, ran, err := o.dispatch(ctx, j, gate, attempt)
		if err == nil {
			return o.complete(j, gate, body)
		}
		last = fault.From(err)
		mayHaveRun = mayHaveRun || ran
		if ctx.Err() != nil {
			return failedOutcome(fault.New(fault.Deadline, "deadline passed"), mayHaveRun, "gate "+gate.Address)
		}
		if !o.mayRetry(last, ran, attempt) {
			return failedOutcome(last, mayHaveRun, "gate "+gate.Address)
		}
		avoid[gate.Address] = true
	}
}

func lastOr(last *fault.Error, err error) error {
	if last != nil {
		return last
	}
	return err
}

// mayRetry reports whether to try another gate. Retries after a refusal are limited by
// maxRefusals, because a refusal costs the backend server little. Retries of a call
// that may have run need a token of the retry budget.
func (o *Owner) mayRetry(e *fault.Error, ran bool, attempt int64) bool {
	if !ran {
		return e.Kind.Response().Retryable && attempt < maxRefusals
	}
	return o.RetryBudget.Take()
}

func failedOutcome(e *fault.Error, mayHaveRun bool, evidence string) model.Outcome {
	if mayHaveRun {
		return fault.CutOff(e, evidence+": handed over, no answer")
	}
	return fault.NotRun(e, evidence+": never handed over")
}

func (o *Owner) complete(j *job, gate wire.Stage, body []byte) model.Outcome {
	j.req.Append(0, [][]byte{body})
	return model.Outcome{State: model.Ran, Evidence: "answer from gate " + gate.Address}
}

// dispatch makes one attempt at one gate. If it returns an error, ran reports whether
// the backend server may have run the call. False proves that it did not.
func (o *Owner) dispatch(ctx context.Context, j *job, gate wire.Stage, attempt int64) (body []byte, ran bool, err error) {
	if err := o.readmit(j); err != nil {
		return nil, false, err
	}
	var rep wire.CallReply
	call, stop := o.contextWhileUp(ctx, gate)
	defer stop()
	err = o.Peers.Call(call, gate.Address, wire.MethodCall, wire.Call{
		Key:           j.runKey(),
		Attempt:       attempt,
		Incarnation:   gate.Incarnation,
		Body:          j.submission.Body,
		Deadline:      j.req.Deadline,
		RetainUntil:   j.retainUntil,
		Priority:      j.rule.Priority,
		NotRepeatable: j.notRepeatable,
		Revision:      j.revision,
	}, &rep)
	if err == nil {
		o.Table.ObserveLoad(gate.Address, membership.Load(rep.Load))
		return rep.Body, true, nil
	}
	e := fault.From(err)
	if !provesNotStarted(e.Kind) {
		return o.resolveDispatch(ctx, j, gate, e)
	}
	o.recordRefusal(ctx, j, gate, e)
	return nil, false, e
}

// contextWhileUp returns a context that is cancelled when the gate is found down or
// replaced. A suspended gate keeps its connection open, and waiting for it until the
// deadline would leave no time for another gate.
func (o *Owner) contextWhileUp(ctx context.Context, gate wire.Stage) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	go func() {
		for wait.For(call, membershipCheckInterval) {
			m, ok := o.Table.Get(gate.Address)
			if ok && (m.Down() || m.Incarnation != gate.Incarnation) {
				cancel()
			}
		}
	}()
	return call, cancel
}

// provesNotStarted reports whether an error of this kind from a gate precedes any
// handover.
func provesNotStarted(k fault.Kind) bool {
	switch k {
	case fault.Leaving, fault.Overloaded, fault.WrongIncarnation, fault.Cancelled,
		fault.NotReady, fault.NotConnected, fault.StaleConfig, fault.Deadline, fault.NoCapacity:
		return true
	}
	return false
}

func (o *Owner) recordRefusal(ctx context.Context, j *job, gate wire.Stage, e *fault.Error) {
	o.Events.Add(j.key(), events.GateRefused, gate.Address+" "+e.Error())
	switch e.Kind {
	case fault.Overloaded, fault.NoCapacity, fault.WrongIncarnation, fault.NotReady:
		o.Table.SetBackoff(gate.Address, e.RetryDelay())
	case fault.Leaving:
		o.Table.ObserveLeaving(gate.Address)
	case fault.NotConnected:
		o.Table.RecordFailure(gate.Address)
	case fault.StaleConfig:
		_ = o.Refresh(ctx, gate.Address)
	}
}

// resolveDispatch determines the result of a dispatch whose response was lost. It
// relies on the gate's tombstone or record. A backend server that failed the call may
// have run it.
func (o *Owner) resolveDispatch(ctx context.Context, j *job, gate wire.Stage, e *fault.Error) ([]byte, bool, error) {
	if e.Kind != fault.Unreachable {
		return nil, true, e
	}
	for {
		rep, err := o.cancel(ctx, j, gate)
		switch {
		case err != nil:
			return nil, true, fault.New(fault.BackendLost, "gate %s does not respond: %s", gate.Address, e.Msg)
		case rep.State == wire.NeverStarted:
			o.Events.Add(j.key(), events.Tombstoned, gate.Address)
			return nil, false, fault.New(fault.BackendLost, "gate %s did not start the request", gate.Address)
		case rep.State == wire.WasFinished && rep.Body != nil:
			return rep.Body, true, nil
		case rep.State == wire.WasFinished && rep.Dropped:
			return nil, true, fault.New(fault.BackendLost, "gate %s no longer keeps the answer", gate.Address)
		case rep.State == wire.WasFinished:
			return nil, true, fault.New(fault.BackendFailed, "backend server at %s failed", gate.Address)
		}
		if !wait.For(ctx, o.Timing.PollInterval) {
			return nil, true, fault.New(fault.Deadline, "request still running at %s at the deadline", gate.Address)
		}
	}
}

// cancel prevents a request from starting at a gate and returns its execution state. It
// may take until shortly after the deadline, because the result determines the outcome
// that the caller gets.
func (o *Owner) cancel(ctx context.Context, j *job, gate wire.Stage) (wire.CancelReply, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*o.Timing.CallTimeout)
	defer stop()
	var rep wire.CancelReply
	err := o.callWithRetry(ctx, gate.Address, wire.MethodCancel, wire.Cancel{
		Key:         j.runKey(),
		Incarnation: gate.Incarnation,
		RetainUntil: j.retainUntil,
	}, &rep)
	return rep, err
}

func stageOf(m membership.Member, r model.LayerRange) wire.Stage {
	return wire.Stage{Address: m.Instance.Address, Data: m.Backend.Data, Incarnation: m.Incarnation, Range: r}
}

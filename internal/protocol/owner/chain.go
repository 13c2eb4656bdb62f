package owner

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// repair raises the epoch and replaces lost stages of the chain. A non-repeatable
// request keeps its chain or is cut off, because a replacement would run layers a
// second time.
func (r *run) repair(ctx context.Context, lost string) error {
	r.o.Events.Add(r.key(), events.StageLost, lost)
	delay := minRetryDelay
	for try := 1; ; try++ {
		err := r.openChain(ctx)
		if err == nil {
			return nil
		}
		e := fault.From(err)
		if r.notRepeatable {
			return fault.New(fault.BackendLost, "a stage was lost and the request is not repeatable: %s", e.Msg)
		}
		if try == maxRepairs {
			return fault.New(fault.BackendLost, "no replacement for a lost stage: %s", e.Msg)
		}
		if !wait.For(ctx, limits.Jitter(delay)) {
			return fault.New(fault.Deadline, "deadline passed during repair: %s", e.Msg)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// openChain opens a chain under a new epoch, replaces stages that refuse, and resumes
// each stage from its position.
func (r *run) openChain(ctx context.Context) error {
	if err := r.chooseChain(); err != nil {
		return err
	}
	r.epoch++
	r.o.Events.Add(r.key(), events.EpochRaised, fmt.Sprintf("%d: %s", r.epoch, describe(r.chain)))
	next, err := r.openAll(ctx)
	if err != nil {
		return err
	}
	r.started = true
	if err := r.resumeAll(ctx, next); err != nil {
		return err
	}
	return r.feed(ctx, next[0])
}

// chooseChain keeps the intact stages of the chain and selects replacements for the
// others.
func (r *run) chooseChain() error {
	if r.notRepeatable {
		return nil
	}
	if len(r.chain) == 0 {
		chain, err := r.o.Router.Chain(routing.ChainRequest{
			Service:   r.submission.Service,
			Layers:    model.LayerRange{To: r.layers},
			Avoid:     r.avoid,
			Positions: r.positions(),
		})
		if err != nil {
			return err
		}
		r.chain = stagesOf(chain)
		return nil
	}
	var next []wire.Stage
	for _, h := range r.chain {
		if r.isIntact(h) {
			next = append(next, h)
			continue
		}
		part, err := r.o.Router.Chain(routing.ChainRequest{Service: r.submission.Service, Layers: h.Range, Avoid: r.avoidWithChain(r.chain)})
		if err != nil {
			return err
		}
		next = append(next, stagesOf(part)...)
	}
	r.chain = next
	return nil
}

// avoidWithChain returns the avoided stages and the members of the chain. An engine has
// one layer range per session, so it can be in a chain only once.
func (r *run) avoidWithChain(chain []wire.Stage) map[string]bool {
	out := map[string]bool{}
	for a, bad := range r.avoid {
		out[a] = bad
	}
	for _, h := range chain {
		out[h.Address] = true
	}
	return out
}

func (r *run) isIntact(h wire.Stage) bool {
	m, ok := r.o.Table.Get(h.Address)
	return ok && !r.avoid[h.Address] && !m.Down() && m.Incarnation == h.Incarnation
}

// openAll opens all stages concurrently and returns the next position of each.
func (r *run) openAll(ctx context.Context) ([]int64, error) {
	next := make([]int64, len(r.chain))
	errs := make([]error, len(r.chain))
	var g errgroup.Group
	for i, h := range r.chain {
		r.used[h.Address] = true
		g.Go(func() error {
			var rep wire.OpenReply
			errs[i] = r.o.callWithRetry(ctx, h.Address, wire.MethodOpen, r.openMessage(i), &rep)
			if errs[i] == nil {
				next[i] = rep.Next
				r.o.Table.ObserveLoad(h.Address, membership.Load(rep.Load))
			}
			return nil
		})
	}
	_ = g.Wait()
	return next, r.recordRefusals(ctx, errs)
}

func (r *run) openMessage(i int) wire.Open {
	return wire.Open{
		Key:         r.runKey(),
		Epoch:       r.epoch,
		Chain:       r.chain,
		Index:       i,
		Owner:       r.o.Address,
		OwnerData:   r.o.Data,
		Prompt:      int64(len(r.prompt)),
		Tokens:      int64(r.submission.MaxTokens),
		Deadline:    r.req.Deadline,
		RetainUntil: r.retainUntil,
		Priority:    r.rule.Priority,
	}
}

// recordRefusals records the stages that did not open and returns the last error.
// Stages that did open stay open for the next epoch.
func (r *run) recordRefusals(ctx context.Context, errs []error) error {
	var lastErr error
	for i, err := range errs {
		if err == nil {
			continue
		}
		h := r.chain[i]
		r.avoid[h.Address] = true
		lastErr = err
		e := fault.From(err)
		if e.Kind == fault.Unreachable {
			r.o.Table.RecordFailure(h.Address)
		}
		r.o.recordRefusal(ctx, r.job, h, e)
	}
	if lastErr != nil && !r.started {
		r.chain = nil // nothing has run, so any other chain may be used
	}
	return lastErr
}

// resumeAll resumes each stage with the positions that its receivers are missing.
func (r *run) resumeAll(ctx context.Context, next []int64) error {
	last := len(r.chain) - 1
	var g errgroup.Group
	for i, h := range r.chain {
		msg := wire.Resume{Key: r.runKey(), Epoch: r.epoch}
		if i < last {
			msg.NextInput = next[i+1]
		} else {
			msg.NextToken = r.req.Len()
			msg.FirstNext = next[0]
		}
		g.Go(func() error {
			err := r.o.callWithRetry(ctx, h.Address, wire.MethodResume, msg, nil)
			if fault.Is(err, fault.Unreachable) {
				r.o.Table.RecordFailure(h.Address)
			}
			return err
		})
	}
	return g.Wait()
}

// feed sends the first stage the positions that it is missing of the prompt and the
// tokens generated so far. A replacement has none of them.
func (r *run) feed(ctx context.Context, from int64) error {
	inputs := append(append([][]byte(nil), r.prompt...), r.req.Answer()...)
	if from > 0 && from < int64(len(inputs)) {
		r.o.Events.Add(r.key(), events.Replayed, fmt.Sprintf("positions %d to %d", from, len(inputs)))
	}
	for from < int64(len(inputs)) {
		to := min(from+feedBatch, int64(len(inputs)))
		err := r.o.Feeder.Forward(ctx, r.chain[0], wire.Forward{
			Key:      r.runKey(),
			Epoch:    r.epoch,
			Position: from,
			Data:     inputs[from:to],
		})
		if err != nil {
			return err
		}
		from = to
	}
	return nil
}

// closeAll closes the request at every stage where it was opened.
func (r *run) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), r.o.Timing.CallTimeout)
	defer cancel()
	var g errgroup.Group
	for addr := range r.used {
		g.Go(func() error {
			var rep wire.CloseReply
			err := r.o.callWithRetry(ctx, addr, wire.MethodClose, wire.Close{Key: r.runKey(), Epoch: r.epoch}, &rep)
			if err == nil {
				r.o.Table.ObserveLoad(addr, membership.Load(rep.Load))
			}
			return nil
		})
	}
	_ = g.Wait()
}

func stagesOf(chain []routing.Stage) []wire.Stage {
	out := make([]wire.Stage, 0, len(chain))
	for _, s := range chain {
		out = append(out, stageOf(s.Member, s.Range))
	}
	return out
}

func describe(chain []wire.Stage) string {
	s := ""
	for i, h := range chain {
		if i > 0 {
			s += " > "
		}
		s += h.Address + h.Range.String()
	}
	return s
}

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

// pulse follows the time between tokens, to tell silence from slowness.
type pulse struct {
	at       time.Time
	smoothed time.Duration
}

func (p *pulse) beat(now time.Time) {
	d := now.Sub(p.at)
	p.at = now
	if p.smoothed == 0 {
		p.smoothed = d
	}
	p.smoothed += (d - p.smoothed) / 8
}

const (
	// silentAfter is how many usual intervals without a token call for a look.
	silentAfter = 8
	// minSilence keeps looks rare where tokens come fast.
	minSilence = 300 * time.Millisecond
)

// patience is how long to wait for a token before looking at the stages. A look
// that finds a slow chain costs a message to each stage and changes nothing.
// After a repair a token should come soon, or the repair was the wrong one; but
// over a slow link it takes a while, and each further repair sends more over it.
func (p *pulse) patience(most time.Duration, tokens int64, repairs int) time.Duration {
	if repairs > 0 {
		return min(minSilence<<(repairs-1), 2*most)
	}
	if tokens < 2 {
		return most // the prompt may take long
	}
	return min(max(silentAfter*p.smoothed, minSilence), most)
}

// judge decides on a stage's report; it gives what is broken, if anything. A
// stage that two reports call unreachable is left out even if this entry still
// reaches it: the link that counts is the one between the stages.
func (r *run) judge(f wire.StageFailed) string {
	if f.Epoch != r.epoch {
		return ""
	}
	r.reported[f.Address]++
	if r.reported[f.Address] > 1 {
		r.avoid[f.Address] = true
	}
	return f.Address + ": " + f.Cause
}

// lostMember compares the chain with the membership.
func (r *run) lostMember() string {
	for _, h := range r.chain {
		m, ok := r.o.Table.Get(h.Address)
		if ok && m.Down() {
			return h.Address + ": does not answer"
		}
		if ok && m.Incarnation != h.Incarnation {
			r.avoid[h.Address] = false
			return h.Address + ": was replaced"
		}
	}
	return ""
}

// tellEvery is how often the stages of a long request are told that its owner
// lives: in a large fleet heartbeats alone come too seldom for them.
const tellEvery = 5 * time.Second

// tellAlive sends a heartbeat to each stage of a chain.
func (r *run) tellAlive(ctx context.Context, chain []wire.Stage) {
	for _, h := range chain {
		var rep wire.HelloReply
		if r.o.call(ctx, h.Address, wire.MethodHello, wire.Hello{Known: h.Incarnation}, &rep) == nil {
			r.o.Table.ObserveLoad(h.Address, membership.Load(rep.Load))
		}
	}
}

// stageAt is how far a stage has come.
type stageAt struct{ accepted, ran int64 }

// maxIdle is how many looks in a row may find a stage with work and no
// progress before its engine is taken to hang.
const maxIdle = 10

// look asks the stages how far they are when no token has come for a while, and
// gives what is broken, if anything. Under load a chain is slow, not lost:
// raising the epoch then would replay positions and make it slower. Only a
// stage that does not answer, an engine that hangs, or positions lost on a link
// call for a repair.
func (r *run) look(ctx context.Context) string {
	now := make([]stageAt, len(r.chain))
	silent := make([]bool, len(r.chain))
	var g errgroup.Group
	for i, h := range r.chain {
		g.Go(func() error {
			var rep wire.OpenReply
			if err := r.o.callTwice(ctx, h.Address, wire.MethodOpen, r.openMessage(i), &rep); err != nil {
				silent[i] = true
				return errors.Wrap(err, h.Address)
			}
			now[i] = stageAt{rep.Next, rep.Ran}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		r.leaveOut(silent)
		return err.Error()
	}
	moved := !slices.Equal(now, r.probed)
	r.probed = now
	if moved {
		r.idle = 0
		return ""
	}
	if i := slices.IndexFunc(now, func(s stageAt) bool { return s.ran < s.accepted }); i >= 0 {
		r.idle++
		return r.hanging(i)
	}
	return r.lostOnLink(now)
}

// leaveOut keeps the next chain from the stages that gave no good answer.
func (r *run) leaveOut(silent []bool) {
	for i, h := range r.chain {
		if silent[i] {
			r.avoid[h.Address] = true
			r.o.Table.RecordFailure(h.Address)
		}
	}
}

// lostOnLink finds the link on which positions were lost: what a stage ran, the
// next has not taken, and nobody has work. A lost message is mended by the next
// epoch. A link that loses again is cut for good, though both ends answer this
// entry: the end it leads to is replaced, and if that does not help the other.
func (r *run) lostOnLink(now []stageAt) string {
	for i := range now {
		next := (i + 1) % len(now)
		if now[next].accepted >= r.wanted(i, now[i].ran) {
			continue
		}
		from, to := r.chain[i].Address, r.chain[next].Address
		r.cuts[from]++
		r.cuts[to]++
		switch {
		case r.cuts[from] > suspectSender:
			r.avoid[from] = true
		case r.cuts[to] > 1:
			r.avoid[to] = true
		}
		return from + " to " + to + ": positions were lost"
	}
	return "tokens were lost on the way here"
}

// suspectSender is after how many losses the sending end is replaced.
const suspectSender = 2

// wanted is what the stage after i should have taken when i has run so many
// positions. The last stage's outputs are the first one's inputs, one position
// on, from the end of the prompt to the last token but one.
func (r *run) wanted(i int, ran int64) int64 {
	if i < len(r.chain)-1 {
		return ran
	}
	prompt := int64(len(r.prompt))
	if ran < prompt {
		return 0
	}
	return min(ran+1, prompt+int64(r.ask.MaxTokens)-1)
}

// hanging gives up on a stage whose engine has had work for long and done none.
func (r *run) hanging(i int) string {
	if r.idle < maxIdle {
		return ""
	}
	r.idle = 0
	r.avoid[r.chain[i].Address] = true
	return r.chain[i].Address + ": engine hangs"
}

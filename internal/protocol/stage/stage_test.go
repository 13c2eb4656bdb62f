package stage

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"time"
)

const (
	stages  = 3
	wanted  = 6
	ownerAt = "owner"
)

var prompt = [][]byte{[]byte("two "), []byte("crews "), []byte("one "), []byte("hall")}

// engine is a pure model: its state is everything it has seen, so that any
// layer skipped, run twice or out of order changes all that follows.
type engine struct {
	runs int64 // positions run
	sum  uint64
}

func (e *engine) step(_ context.Context, pos int64, in [][]byte) ([][]byte, error) {
	if pos != e.runs {
		return nil, fmt.Errorf("position %d, next %d", pos, e.runs)
	}
	var out [][]byte
	for _, x := range in {
		for _, b := range x {
			e.sum = e.sum*31 + uint64(b) + 1
		}
		out = append(out, fmt.Appendf(nil, "%x.", e.sum))
		e.runs++
	}
	return out, nil
}

// reference runs the stages one after the other, once each.
func reference() []byte {
	engines := make([]engine, stages)
	in, tokens := prompt, [][]byte{}
	for len(tokens) < wanted {
		for i := range engines {
			in, _ = engines[i].step(context.Background(), engines[i].runs, in)
		}
		in = in[len(in)-1:]
		tokens = append(tokens, in[0])
	}
	return bytes.Join(tokens, nil)
}

// message is one on its way; to is a stage's address or the owner's.
type message struct {
	to      string
	forward *wire.Forward
	tokens  *wire.Tokens
}

// chain is the stages of one request, its owner, and messages on their way.
type chain struct {
	rt       *rapid.T
	sessions []*Session
	engines  []*engine
	flying   []message
	epoch    int64
	answer   *requests.Request
}

func (c *chain) Forward(_ context.Context, to wire.Stage, f wire.Forward) error {
	c.flying = append(c.flying, message{to: to.Address, forward: &f})
	return nil
}

func (c *chain) Tokens(_ context.Context, to wire.Stage, t wire.Tokens) error {
	c.flying = append(c.flying, message{to: to.Address, tokens: &t})
	return nil
}

func (c *chain) NoStage(context.Context, string, wire.NoStage) error { return nil }

func (c *chain) StageFailed(context.Context, string, wire.StageFailed) error {
	c.rt.Fatalf("a stage failed")
	return nil
}

func newChain(rt *rapid.T) *chain {
	c := &chain{rt: rt}
	store := requests.NewStore(time.Now, time.Hour)
	c.answer, _ = store.GetOrCreate(model.RequestKey{Customer: "c", ID: "r"}, 0, time.Now())
	c.sessions = make([]*Session, stages)
	c.engines = make([]*engine, stages)
	c.raise(-1)
	return c
}

func (c *chain) hops() []wire.Stage {
	var out []wire.Stage
	for i := range c.sessions {
		out = append(out, wire.Stage{Address: fmt.Sprint(i), Range: model.LayerRange{From: i, To: i + 1}})
	}
	return out
}

// raise opens all stages under the next epoch, the lost one anew, and resumes
// them from where each stands, as the owner does.
func (c *chain) raise(lost int) {
	c.epoch++
	next := make([]int64, stages)
	for i := range c.sessions {
		o := wire.Open{Epoch: c.epoch, Chain: c.hops(), Index: i, Owner: ownerAt, Prompt: int64(len(prompt)), Tokens: wanted}
		if c.sessions[i] == nil || i == lost {
			c.engines[i] = &engine{}
			c.sessions[i] = New(o, c.engines[i].step, c)
		}
		n, err := c.sessions[i].Reopen(o)
		assert.NilError(c.rt, err)
		next[i] = n
	}
	for i, s := range c.sessions {
		r := wire.Resume{Epoch: c.epoch, NextToken: c.answer.Len(), FirstNext: next[0]}
		if i < stages-1 {
			r.NextInput = next[i+1]
		}
		assert.NilError(c.rt, s.Resume(r))
	}
	inputs := append(append([][]byte{}, prompt...), c.answer.Answer()...)
	if n := next[0]; n < int64(len(inputs)) {
		c.flying = append(c.flying, message{to: "0", forward: &wire.Forward{Epoch: c.epoch, Position: n, Data: inputs[n:]}})
	}
}

// turn lets a stage work.
func (c *chain) turn(i int) {
	c.sessions[i].turn(context.Background())
}

func (c *chain) deliver(i int, keep bool) {
	m := c.flying[i]
	if !keep {
		c.flying = append(c.flying[:i], c.flying[i+1:]...)
	}
	if m.tokens != nil {
		c.answer.Append(m.tokens.Position, m.tokens.Data)
		return
	}
	var at int
	_, _ = fmt.Sscan(m.to, &at)
	_ = c.sessions[at].Accept(*m.forward)
}

// Messages come late, twice, out of order or never; stages are lost and
// replaced; epochs rise at any moment. Every stage that survives runs each
// position once, in order (asserted in the session), and in the end the owner
// holds the whole answer, each token once.
func TestChainUnderAnyDelivery(t *testing.T) {
	want := reference()
	rapid.Check(t, func(rt *rapid.T) {
		c := newChain(rt)
		for i := rapid.IntRange(0, 120).Draw(rt, "events"); i > 0; i-- {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				c.raise(rapid.IntRange(-1, stages-1).Draw(rt, "lost"))
			case 1, 2, 3:
				c.turn(rapid.IntRange(0, stages-1).Draw(rt, "stage"))
			default:
				if len(c.flying) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(c.flying)-1).Draw(rt, "message")
				switch rapid.IntRange(0, 5).Draw(rt, "fate") {
				case 0: // lost
					c.flying = append(c.flying[:at], c.flying[at+1:]...)
				case 1: // comes twice
					c.deliver(at, true)
				default:
					c.deliver(at, false)
				}
			}
		}
		before := make([]int64, stages)
		for i, e := range c.engines {
			before[i] = e.runs
		}
		c.finish()
		assert.Equal(rt, string(bytes.Join(c.answer.Answer(), nil)), string(want))
		for i, e := range c.engines {
			assert.Equal(rt, e.runs, int64(len(prompt)+wanted-1), "stage %d", i)
			assert.Assert(rt, e.runs >= before[i])
		}
	})
}

// finish raises the epoch once more and delivers everything in order.
func (c *chain) finish() {
	c.raise(-1)
	for quiet := 0; quiet < 2; {
		quiet++
		for i := range c.sessions {
			c.turn(i)
		}
		for len(c.flying) > 0 {
			c.deliver(0, false)
			quiet = 0
		}
	}
}

// A message of an old epoch is refused: a stage thawed after it was replaced
// must not feed the chain that goes on without it.
func TestOldEpochIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newChain(rt)
		old := wire.Forward{Epoch: c.epoch, Data: prompt}
		c.raise(-1)
		assert.ErrorContains(rt, c.sessions[0].Accept(old), "epoch")
		accepted, _ := c.sessions[0].Positions()
		assert.Equal(rt, accepted, int64(0))
	})
}

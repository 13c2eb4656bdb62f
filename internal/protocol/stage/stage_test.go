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

// engine is a deterministic model. Its state depends on all inputs, so a layer that is
// skipped, repeated or run out of order changes all later outputs.
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

// reference returns the answer when each stage runs each position once, in order.
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

// message is a message in flight. to is the address of a stage or the owner.
type message struct {
	to      string
	forward *wire.Forward
	tokens  *wire.Tokens
}

// chain holds the stages of one request, its owner and the messages in flight.
type chain struct {
	rt       *rapid.T
	sessions []*Session
	engines  []*engine
	inFlight []message
	epoch    int64
	answer   *requests.Request
}

func (c *chain) Forward(_ context.Context, to wire.Stage, f wire.Forward) error {
	c.inFlight = append(c.inFlight, message{to: to.Address, forward: &f})
	return nil
}

func (c *chain) Tokens(_ context.Context, to wire.Stage, t wire.Tokens) error {
	c.inFlight = append(c.inFlight, message{to: to.Address, tokens: &t})
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
	c.raiseEpoch(-1)
	return c
}

func (c *chain) chainStages() []wire.Stage {
	var out []wire.Stage
	for i := range c.sessions {
		out = append(out, wire.Stage{Address: fmt.Sprint(i), Range: model.LayerRange{From: i, To: i + 1}})
	}
	return out
}

// raiseEpoch opens all stages under the next epoch, replaces the lost one, and resumes
// them from their positions, as the owner does.
func (c *chain) raiseEpoch(lost int) {
	c.epoch++
	next := make([]int64, stages)
	for i := range c.sessions {
		o := wire.Open{Epoch: c.epoch, Chain: c.chainStages(), Index: i, Owner: ownerAt, Prompt: int64(len(prompt)), Tokens: wanted}
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
		c.inFlight = append(c.inFlight, message{to: "0", forward: &wire.Forward{Epoch: c.epoch, Position: n, Data: inputs[n:]}})
	}
}

func (c *chain) runStage(i int) {
	c.sessions[i].processInputs(context.Background())
}

func (c *chain) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	}
	if m.tokens != nil {
		c.answer.Append(m.tokens.Position, m.tokens.Data)
		return
	}
	var at int
	_, _ = fmt.Sscan(m.to, &at)
	_ = c.sessions[at].Accept(*m.forward)
}

// Messages are delayed, duplicated, reordered or lost, and stages are replaced. Every position
// must run once, in order, and every token arrive once.
func TestChainWithUnreliableDelivery(t *testing.T) {
	want := reference()
	rapid.Check(t, func(rt *rapid.T) {
		c := newChain(rt)
		for i := rapid.IntRange(0, 120).Draw(rt, "events"); i > 0; i-- {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				c.raiseEpoch(rapid.IntRange(-1, stages-1).Draw(rt, "lost"))
			case 1, 2, 3:
				c.runStage(rapid.IntRange(0, stages-1).Draw(rt, "stage"))
			default:
				if len(c.inFlight) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(c.inFlight)-1).Draw(rt, "message")
				switch rapid.IntRange(0, 5).Draw(rt, "fate") {
				case 0: // lost
					c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
				case 1: // delivered twice
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

// finish raises the epoch once more and delivers all messages in order.
func (c *chain) finish() {
	c.raiseEpoch(-1)
	for idleRounds := 0; idleRounds < 2; {
		idleRounds++
		for i := range c.sessions {
			c.runStage(i)
		}
		for len(c.inFlight) > 0 {
			c.deliver(0, false)
			idleRounds = 0
		}
	}
}

// A stage that resumes after it was replaced must not send inputs into the chain of a
// newer epoch.
func TestMessageOfAnOldEpochIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newChain(rt)
		old := wire.Forward{Epoch: c.epoch, Data: prompt}
		c.raiseEpoch(-1)
		assert.ErrorContains(rt, c.sessions[0].Accept(old), "epoch")
		accepted, _ := c.sessions[0].Positions()
		assert.Equal(rt, accepted, int64(0))
	})
}

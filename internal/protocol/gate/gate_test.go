package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

const inc = "inc-1"

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

func key(customer, id string) wire.RunKey {
	return wire.RunKey{RequestKey: model.RequestKey{Customer: customer, ID: id}}
}

func (c *clock) request(k wire.RunKey) Request {
	return Request{
		Key:         k,
		Attempt:     1,
		Incarnation: inc,
		Deadline:    c.at.Add(time.Minute),
		RetainUntil: c.at.Add(time.Hour),
		CreatedAt:   c.at,
	}
}

// Dispatches, cancels, starts and ends of the same few requests race in any
// order. A request that the gate called "never started" never starts after; one
// that is not repeatable starts once; no more run than there are places.
func TestGateNeverTakesBackItsWord(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClock()
		g := New(inc, 2, 3, c.now)
		c.at = c.at.Add(MinIncarnationLead)
		tickets := []*Ticket{}
		denied := map[wire.RunKey]bool{}
		starts := map[wire.RunKey]int{}
		running := map[*Ticket]bool{}
		// Two ids that are not repeatable, and runs of two that are.
		anyKey := func() wire.RunKey {
			k := key("c", fmt.Sprint("r", rapid.IntRange(0, 3).Draw(rt, "id")))
			if k.ID > "r1" {
				k.Run = "run"
			}
			return k
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				r := c.request(anyKey())
				r.NotRepeatable = r.Key.Run == ""
				r.Attempt = int64(rapid.IntRange(1, 4).Draw(rt, "attempt"))
				if tk, err := g.Reserve(r, true); err == nil {
					tickets = append(tickets, tk)
				}
			},
			"start": func(rt *rapid.T) {
				if len(tickets) == 0 {
					return
				}
				tk := tickets[rapid.IntRange(0, len(tickets)-1).Draw(rt, "ticket")]
				if !tk.Start() {
					return
				}
				starts[tk.req.Key]++
				running[tk] = true
				assert.Assert(rt, !denied[tk.req.Key], "started after the gate said it never would")
				assert.Assert(rt, !tk.req.NotRepeatable || starts[tk.req.Key] == 1, "started %d times", starts[tk.req.Key])
				assert.Assert(rt, len(running) <= 2, "%d run", len(running))
			},
			"finish": func(rt *rapid.T) {
				if len(tickets) == 0 {
					return
				}
				i := rapid.IntRange(0, len(tickets)-1).Draw(rt, "ticket")
				tickets[i].Finish([]byte("answer"))
				delete(running, tickets[i])
				tickets = append(tickets[:i], tickets[i+1:]...)
			},
			"cancel": func(rt *rapid.T) {
				k := anyKey()
				rep, err := g.Cancel(wire.Cancel{Key: k, Incarnation: inc, RetainUntil: c.at.Add(time.Hour)})
				assert.NilError(rt, err)
				if rep.State == wire.NeverStarted {
					assert.Assert(rt, k.Run != "" || starts[k] == 0, "%v started, the gate says never", k)
					denied[k] = true
				}
			},
			"time": func(rt *rapid.T) {
				c.at = c.at.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
				g.Sweep()
			},
		})
	})
}

func TestRefusals(t *testing.T) {
	c := newClock()
	old := c.request(key("c", "old"))
	g := New(inc, 1, 1, c.now)
	c.at = c.at.Add(time.Hour)
	fresh := c.request(key("c", "fresh"))
	for _, tc := range []struct {
		name string
		edit func(*Request)
		want fault.Kind
	}{
		{"another incarnation's", func(r *Request) { r.Incarnation = "inc-0" }, fault.WrongIncarnation},
		{"past its deadline", func(r *Request) { r.Deadline = c.at }, fault.Deadline},
		{"older than the gate", func(r *Request) { r.NotRepeatable, r.CreatedAt = true, old.CreatedAt }, fault.NotReady},
		{"as old as the gate", func(r *Request) { r.NotRepeatable, r.CreatedAt = true, old.CreatedAt.Add(MinIncarnationLead-1) }, fault.NotReady},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := fresh
			tc.edit(&r)
			_, err := g.Reserve(r, true)
			assert.Equal(t, fault.From(err).Kind, tc.want)
		})
	}
}

// A gate that leaves refuses at once; what it took in before ends in its own
// time, and only then is the gate drained.
func TestDrain(t *testing.T) {
	c := newClock()
	g := New(inc, 1, 1, c.now)
	tk, err := g.Reserve(c.request(key("c", "r")), true)
	assert.NilError(t, err)
	assert.Assert(t, tk.Start())
	drained := g.Drain()
	_, err = g.Reserve(c.request(key("c", "later")), true)
	assert.Assert(t, fault.Is(err, fault.Leaving))
	select {
	case <-drained:
		t.Fatal("drained while a request runs")
	default:
	}
	tk.Finish(nil)
	<-drained
}

// One customer fills the queue. Another's single request is next all the same,
// and a higher priority goes before both.
func TestQueueOrder(t *testing.T) {
	c := newClock()
	g := New(inc, 2, 8, c.now)
	take := func(customer, id string, priority int) *Ticket {
		r := c.request(key(customer, id))
		r.Priority = priority
		tk, err := g.Reserve(r, true)
		assert.NilError(t, err)
		return tk
	}
	first, _ := take("flood", "1", 0), take("flood", "2", 0)
	third := take("flood", "3", 0)
	other := take("other", "1", 0)
	urgent := take("flood", "4", 5)
	first.Finish(nil)
	assert.Assert(t, urgent.held && !other.held && !third.held)
	urgent.Finish(nil)
	assert.Assert(t, other.held && !third.held)
}

// The wait that the gate predicts exceeds the deadline: the request is refused
// at once, with when to come back, and not kept until it is too late.
func TestRefusalByPredictedWait(t *testing.T) {
	c := newClock()
	g := New(inc, 1, 8, c.now)
	tk, err := g.Reserve(c.request(key("c", "slow")), true)
	assert.NilError(t, err)
	tk.Start()
	c.at = c.at.Add(10 * time.Second)
	tk.Finish(nil)
	_, err = g.Reserve(c.request(key("c", "running")), true)
	assert.NilError(t, err)
	r := c.request(key("c", "hurry"))
	r.Deadline = c.at.Add(time.Second)
	_, err = g.Reserve(r, true)
	assert.Assert(t, fault.Is(err, fault.Overloaded))
	assert.Equal(t, fault.From(err).RetryAfter, 10*time.Second)
}

// A request is remembered until its time, then forgotten: the gate stays small.
func TestSweep(t *testing.T) {
	c := newClock()
	g := New(inc, 4, 4, c.now)
	for i := 0; i < 4; i++ {
		tk, err := g.Reserve(c.request(key("c", fmt.Sprint(i))), true)
		assert.NilError(t, err)
		tk.Start()
		tk.Finish([]byte("answer"))
	}
	assert.Equal(t, g.Sweep(), 4)
	c.at = c.at.Add(time.Hour + 2*ClockSkew)
	assert.Equal(t, g.Sweep(), 0)
}

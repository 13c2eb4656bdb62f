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

// Dispatches, cancels, starts and finishes race. A request that was reported as never started
// must not start, and a non-repeatable one starts at most once.
func TestExecutionStateIsNeverRetracted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClock()
		g := New(inc, 2, 3, c.now)
		c.at = c.at.Add(MinIncarnationLead)
		tickets := []*Ticket{}
		denied := map[wire.RunKey]bool{}
		starts := map[wire.RunKey]int{}
		running := map[*Ticket]bool{}
		// Two ids of non-repeatable requests and runs of two repeatable ones.
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
				assert.Assert(rt, !denied[tk.req.Key], "started after the gate reported that it never would")
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
					assert.Assert(rt, k.Run != "" || starts[k] == 0, "%v started, but the gate reports that it never did", k)
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

func TestReserveRefusals(t *testing.T) {
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
		{"for another incarnation", func(r *Request) { r.Incarnation = "inc-0" }, fault.WrongIncarnation},
		{"after its deadline", func(r *Request) { r.Deadline = c.at }, fault.Deadline},
		{"created before the gate started", func(r *Request) { r.NotRepeatable, r.CreatedAt = true, old.CreatedAt }, fault.NotReady},
		{"created too soon after the gate started", func(r *Request) { r.NotRepeatable, r.CreatedAt = true, old.CreatedAt.Add(MinIncarnationLead-1) }, fault.NotReady},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := fresh
			tc.edit(&r)
			_, err := g.Reserve(r, true)
			assert.Equal(t, fault.From(err).Kind, tc.want)
		})
	}
}

// A draining gate refuses requests at once and is drained when the running ones finish.
func TestDrainWaitsForRunningRequests(t *testing.T) {
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
		t.Fatal("drained while a request is running")
	default:
	}
	tk.Finish(nil)
	<-drained
}

// A customer with many queued requests must not delay another customer's request. A
// higher priority precedes both.
func TestQueueIsFairAndHonorsPriority(t *testing.T) {
	c := newClock()
	g := New(inc, 2, 8, c.now)
	reserve := func(customer, id string, priority int) *Ticket {
		r := c.request(key(customer, id))
		r.Priority = priority
		tk, err := g.Reserve(r, true)
		assert.NilError(t, err)
		return tk
	}
	first, _ := reserve("flood", "1", 0), reserve("flood", "2", 0)
	third := reserve("flood", "3", 0)
	other := reserve("other", "1", 0)
	urgent := reserve("flood", "4", 5)
	first.Finish(nil)
	assert.Assert(t, urgent.granted && !other.granted && !third.granted)
	urgent.Finish(nil)
	assert.Assert(t, other.granted && !third.granted)
}

// A request whose expected wait exceeds its deadline must be refused at once with a
// retry delay.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
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

// Records must be deleted after their retention, so that the gate's memory stays
// bounded.
func TestSweepDeletesExpiredRecords(t *testing.T) {
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

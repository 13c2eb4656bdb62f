package gate

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// Guards against answers that are kept without a bound in bytes, and against a dropped one that looks as if
// the backend server had failed.
func TestAnswersBeyondTheLimitAreDropped(t *testing.T) {
	const size, limit = 1000, 3500
	c := newClock()
	g := New(inc, 1, 1, c.now)
	g.LimitAnswers(limit)
	var last Request
	kept := 0
	for i := range 10 {
		last = c.request(key("c", fmt.Sprint(i)))
		ticket, err := g.Reserve(last, true)
		assert.NilError(t, err)
		assert.Assert(t, ticket.Start())
		ticket.Finish(make([]byte, size))
	}
	for i := range 10 {
		r := c.request(key("c", fmt.Sprint(i)))
		rep, err := g.Cancel(wire.Cancel{Key: r.Key, Incarnation: inc, RetainUntil: r.RetainUntil})
		assert.NilError(t, err)
		assert.Equal(t, rep.State, wire.WasFinished)
		assert.Equal(t, rep.Dropped, len(rep.Body) == 0, "request %d", i)
		kept += len(rep.Body)
	}
	assert.Equal(t, kept, 3*size)
	c.at = last.RetainUntil.Add(2 * ClockSkew)
	g.Sweep()
	assert.Equal(t, g.answers.Held(), int64(0))
}

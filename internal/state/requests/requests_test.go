package requests

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func parts(from, n int) [][]byte {
	var out [][]byte
	for i := from; i < from+n; i++ {
		out = append(out, fmt.Appendf(nil, "%d", i))
	}
	return out
}

// Parts of an answer arrive late, twice, overlapping or with gaps. Each position must
// hold its own part, once and in order.
func TestAppendKeepsEachPositionOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStore(time.Now, time.Hour)
		r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: "r"}, 0, time.Now())
		for n := rapid.IntRange(0, 30).Draw(rt, "messages"); n > 0; n-- {
			from := rapid.IntRange(0, 20).Draw(rt, "from")
			before := r.Len()
			added, ok := r.Append(int64(from), parts(from, rapid.IntRange(0, 6).Draw(rt, "n")))
			assert.Equal(rt, ok, int64(from) <= before)
			assert.Equal(rt, r.Len(), before+int64(added))
		}
		assert.DeepEqual(rt, r.Answer(), parts(0, int(r.Len())))
	})
}

// A second outcome must panic, so that no caller can get two different ones.
func TestSecondOutcomePanics(t *testing.T) {
	s := NewStore(time.Now, time.Hour)
	r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: "r"}, 0, time.Now())
	r.Finish(model.Outcome{State: model.Ran})
	_, ok := r.Append(0, parts(0, 1))
	assert.Assert(t, !ok, "the answer grew after the outcome")
	defer func() { assert.Assert(t, recover() != nil) }()
	r.Finish(model.Outcome{State: model.NotRun})
}

// The same request id of two customers must not share an answer.
func TestRequestIDsAreScopedByCustomer(t *testing.T) {
	s := NewStore(time.Now, time.Hour)
	a, _ := s.GetOrCreate(model.RequestKey{Customer: "a", ID: "r"}, 0, time.Now())
	b, joined := s.GetOrCreate(model.RequestKey{Customer: "b", ID: "r"}, 0, time.Now())
	assert.Assert(t, !joined && a != b)
	a.Append(0, parts(0, 3))
	assert.Equal(t, b.Len(), int64(0))
}

// A caller must get every part before the final outcome.
func TestNextReturnsOutcomeAfterAllParts(t *testing.T) {
	s := NewStore(time.Now, time.Hour)
	r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: "r"}, 0, time.Now())
	r.Append(0, parts(0, 2))
	r.Finish(model.Outcome{State: model.Ran})
	got, o, err := r.Next(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 2)
	assert.Assert(t, !o.Final())
	_, o, err = r.Next(context.Background(), 2)
	assert.NilError(t, err)
	assert.Equal(t, o.State, model.Ran)
}

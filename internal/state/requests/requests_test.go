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

// Guards against answers that are kept for callers that reconnect without a bound in bytes, and against
// a dropped answer that looks like an empty one.
func TestAnswersBeyondTheLimitAreDropped(t *testing.T) {
	const size, limit = 1000, 5000
	s := NewStore(time.Now, time.Hour)
	s.LimitAnswers(limit)
	var all []*Request
	for i := range 10 {
		r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: fmt.Sprint(i)}, 0, time.Now().Add(time.Minute))
		r.Append(0, [][]byte{make([]byte, size)})
		r.Finish(model.Outcome{State: model.Ran})
		all = append(all, r)
	}
	kept := 0
	for i, r := range all {
		assert.Equal(t, r.Outcome().State, model.Ran)
		parts, _, err := r.Next(t.Context(), 0)
		if r.AnswerDropped() {
			assert.Equal(t, err, ErrAnswerDropped)
			assert.Equal(t, kept, 0, "request %d finished after one whose answer is kept", i)
			_, o, err := r.Next(t.Context(), 1)
			assert.NilError(t, err, "a caller that has read all of it gets the outcome")
			assert.Equal(t, o.State, model.Ran)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, len(parts), 1)
		kept += size
	}
	assert.Assert(t, kept > 0 && kept <= limit, "%d bytes", kept)
}

// Guards against an answer that is dropped while its request runs, and is sent with a gap then.
func TestAnswerOfARequestInProgressIsKept(t *testing.T) {
	s := NewStore(time.Now, time.Hour)
	s.LimitAnswers(100)
	r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: "1"}, 0, time.Now().Add(time.Minute))
	for i := range int64(10) {
		_, ok := r.Append(i, [][]byte{make([]byte, 50)})
		assert.Assert(t, ok)
	}
	parts, _, err := r.Next(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 10)
}

// Guards against an account that grows with requests that were deleted.
func TestDeletedRequestsHoldNothing(t *testing.T) {
	s := NewStore(time.Now, 0)
	s.LimitAnswers(1 << 20)
	r, _ := s.GetOrCreate(model.RequestKey{Customer: "c", ID: "1"}, 0, time.Now().Add(-time.Second))
	r.Append(0, [][]byte{make([]byte, 50)})
	r.Finish(model.Outcome{State: model.Ran})
	s.Sweep()
	assert.Equal(t, s.kept.Held(), int64(0))
}

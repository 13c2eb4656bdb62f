package clientbudget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const responseMemory = 1 << 20

func newResponseBudget() *Budget {
	started := time.Now()
	return New(Limits{Memory: responseMemory, Connections: map[Listener]int{Callers: 10}}, func() time.Duration { return time.Since(started) })
}

// Guards against responses that each hold a part and wait for each other's memory for ever.
func TestEarliestResponseAlwaysFindsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses, steps, step = 20, 8, 100 << 10
		b := newResponseBudget()
		done := make(chan struct{})
		for range responses {
			go func() {
				r := b.NewResponse()
				defer func() { r.Release(); done <- struct{}{} }()
				for range steps {
					assert.Check(t, r.Wait(t.Context(), step))
					assert.Check(t, b.Usage().Bytes <= responseMemory/2, "%d bytes held", b.Usage().Bytes)
					time.Sleep(time.Millisecond)
				}
			}()
		}
		for range responses {
			<-done
		}
		assert.Equal(t, b.Usage().Bytes, int64(0))
	})
}

// Guards against a response that waits for room beyond the deadline of its request, and keeps what it held.
func TestResponseWaitsUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newResponseBudget()
		first, second := b.NewResponse(), b.NewResponse()
		assert.NilError(t, first.Wait(t.Context(), responseMemory/2))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, second.Wait(ctx, 1), ErrNoResponseRoom)
		second.Release()
		first.Release()
		assert.Equal(t, b.Usage().Bytes, int64(0))
	})
}

// Guards against a response of any size, which the earliest one could be.
func TestResponseLargerThanTheMemoryIsRefused(t *testing.T) {
	b := newResponseBudget()
	r := b.NewResponse()
	assert.ErrorIs(t, r.Wait(t.Context(), responseMemory+1), ErrResponseTooLarge)
	assert.NilError(t, r.Wait(t.Context(), responseMemory))
	assert.ErrorIs(t, r.Wait(t.Context(), 1), ErrResponseTooLarge)
	r.Release()
	assert.Equal(t, b.Usage().Bytes, int64(0))
}

// Guards against responses, and the earliest one of any size, that leave no room for requests and short replies,
// without which the connections of all of them end.
func TestResponsesLeaveRoomForAccounts(t *testing.T) {
	b := newResponseBudget()
	link := b.Open(Callers, "link", false, func() {}, nil)
	link.Enter(Working)
	first, second := b.NewResponse(), b.NewResponse()
	assert.NilError(t, first.Wait(t.Context(), responseMemory/2))
	assert.NilError(t, first.Wait(t.Context(), responseMemory/2))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, second.Wait(ctx, 1), ErrNoResponseRoom)
	assert.Assert(t, link.Take(2*smallAccount), "no room for requests on a link")
	other := b.Open(Callers, "other", false, func() {}, nil)
	assert.Assert(t, other.Take(smallAccount/2), "no room for a short reply")
	second.Release()
	first.Release()
	link.Close()
	other.Close()
	assert.Equal(t, b.Usage().Bytes, int64(0))
}

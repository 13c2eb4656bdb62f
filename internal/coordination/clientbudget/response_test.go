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
					assert.Check(t, b.Usage().Bytes <= 2*responseMemory, "%d bytes held", b.Usage().Bytes)
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
		assert.NilError(t, first.Wait(t.Context(), responseMemory))
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

package fair

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A customer that floods the queue must be served after the others, and its items must be
// shed for theirs.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	q := New[string]()
	for i := 0; i < 5; i++ {
		q.Acquire("flood")
		q.Push(fmt.Sprint("flood-", i), "flood", 3)
	}
	shed, ok := q.Shed("small", 3)
	assert.Assert(t, ok)
	assert.Equal(t, shed, "flood-0")
	q.Push("small-0", "small", 3)
	next, _ := q.Pop()
	assert.Equal(t, next, "small-0")
	_, ok = q.Shed("flood", 3)
	assert.Assert(t, !ok, "an item must not be shed for one of the same customer")
}

func TestPriorityGoesFirstAndIsShedLast(t *testing.T) {
	q := New[string]()
	q.Push("low", "a", 1)
	q.Push("high", "a", 9)
	_, ok := q.Shed("b", 0)
	assert.Assert(t, !ok, "no item is shed for one of the lowest priority")
	shed, _ := q.Shed("b", 5)
	assert.Equal(t, shed, "low")
	next, _ := q.Pop()
	assert.Equal(t, next, "high")
}

// Each item must leave the queue once, the length must follow, and a lower priority must
// not be popped before a higher one.
func TestQueueDeliversEachItemOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New[int]()
		queued := map[int]int{} // priority by item
		n := 0
		customer := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer") }
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				n++
				queued[n] = rapid.IntRange(0, 3).Draw(rt, "priority")
				q.Push(n, customer(), queued[n])
			},
			"pop": func(rt *rapid.T) {
				item, ok := q.Pop()
				assert.Equal(rt, ok, len(queued) > 0)
				for other, p := range queued {
					assert.Assert(rt, p <= queued[item], "%d popped before %d", item, other)
				}
				delete(queued, item)
			},
			"shed": func(rt *rapid.T) {
				priority := rapid.IntRange(0, 3).Draw(rt, "priority")
				if item, ok := q.Shed(customer(), priority); ok {
					assert.Assert(rt, queued[item] <= priority)
					delete(queued, item)
				}
			},
			"remove": func(rt *rapid.T) {
				item := rapid.IntRange(0, n+1).Draw(rt, "item")
				_, present := queued[item]
				assert.Equal(rt, q.Remove(item), present)
				delete(queued, item)
			},
			"": func(rt *rapid.T) { assert.Equal(rt, q.Len(), len(queued)) },
		})
	})
}

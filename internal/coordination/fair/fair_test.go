package fair

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A customer floods the queue, then others come. The others' go first, and the
// flood is what is given up for them.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	q := New[string]()
	for i := 0; i < 5; i++ {
		q.Acquire("flood")
		q.Push(fmt.Sprint("flood-", i), "flood", 3)
	}
	victim, ok := q.Shed("small", 3)
	assert.Assert(t, ok)
	assert.Equal(t, victim, "flood-0")
	q.Push("small-0", "small", 3)
	next, _ := q.Pop()
	assert.Equal(t, next, "small-0")
	_, ok = q.Shed("flood", 3)
	assert.Assert(t, !ok, "the flood must not push its own out for more of it")
}

func TestPriorityGoesFirstAndIsShedLast(t *testing.T) {
	q := New[string]()
	q.Push("low", "a", 1)
	q.Push("high", "a", 9)
	_, ok := q.Shed("b", 0)
	assert.Assert(t, !ok, "a newcomer of the lowest priority takes nobody's place")
	victim, _ := q.Shed("b", 5)
	assert.Equal(t, victim, "low")
	next, _ := q.Pop()
	assert.Equal(t, next, "high")
}

// Whatever is pushed, popped, shed or removed: each item leaves once, counts
// follow, and nothing of a lower priority is popped before a higher one.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New[int]()
		in := map[int]int{} // priority by item
		n := 0
		customer := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer") }
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				n++
				in[n] = rapid.IntRange(0, 3).Draw(rt, "priority")
				q.Push(n, customer(), in[n])
			},
			"pop": func(rt *rapid.T) {
				item, ok := q.Pop()
				assert.Equal(rt, ok, len(in) > 0)
				for other, p := range in {
					assert.Assert(rt, p <= in[item], "%d popped before %d", item, other)
				}
				delete(in, item)
			},
			"shed": func(rt *rapid.T) {
				priority := rapid.IntRange(0, 3).Draw(rt, "priority")
				if item, ok := q.Shed(customer(), priority); ok {
					assert.Assert(rt, in[item] <= priority)
					delete(in, item)
				}
			},
			"remove": func(rt *rapid.T) {
				item := rapid.IntRange(0, n+1).Draw(rt, "item")
				_, there := in[item]
				assert.Equal(rt, q.Remove(item), there)
				delete(in, item)
			},
			"": func(rt *rapid.T) { assert.Equal(rt, q.Len(), len(in)) },
		})
	})
}

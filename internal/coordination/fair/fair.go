// Package fair orders requests that wait for a slot: by priority, and within a priority so
// that no customer starves the others.
package fair

// Queue holds waiting items and counts the slots that each customer holds. It is not safe
// for concurrent use.
type Queue[T comparable] struct {
	waiting []entry[T]
	held    map[string]int // slots by customer
	queued  map[string]int // waiting items by customer
}

type entry[T comparable] struct {
	item     T
	customer string
	priority int
}

// New returns an empty queue.
func New[T comparable]() *Queue[T] {
	return &Queue[T]{held: map[string]int{}, queued: map[string]int{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Acquire records that a customer acquired a slot.
func (q *Queue[T]) Acquire(customer string) { q.held[customer]++ }

// Release records that a customer released a slot.
func (q *Queue[T]) Release(customer string) { decrement(q.held, customer) }

func decrement(m map[string]int, key string) {
	if m[key]--; m[key] <= 0 {
		delete(m, key)
	}
}

// Held returns the number of slots that a customer holds.
func (q *Queue[T]) Held(customer string) int { return q.held[customer] }

// Customers returns the number of customers that hold a slot.
func (q *Queue[T]) Customers() int { return len(q.held) }

// Push adds an item to the queue.
func (q *Queue[T]) Push(item T, customer string, priority int) {
	q.waiting = append(q.waiting, entry[T]{item, customer, priority})
	q.queued[customer]++
}

// Remove removes an item and reports whether it was queued.
func (q *Queue[T]) Remove(item T) bool {
	for i, e := range q.waiting {
		if e.item == item {
			q.removeAt(i)
			return true
		}
	}
	return false
}

func (q *Queue[T]) removeAt(i int) entry[T] {
	e := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	decrement(q.queued, e.customer)
	return e
}

// Pop removes and returns the next item: the one with the highest priority, then of the
// customer with the fewest slots, then the oldest.
func (q *Queue[T]) Pop() (item T, ok bool) {
	item, _, ok = q.PopWithCustomer()
	return item, ok
}

// PopWithCustomer is like Pop and also returns the item's customer.
func (q *Queue[T]) PopWithCustomer() (item T, customer string, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return item, "", false
	}
	e := q.removeAt(best)
	return e.item, e.customer, true
}

// Peek returns the next item without removing it.
func (q *Queue[T]) Peek() (item T, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return item, false
	}
	return q.waiting[best].item, true
}

// NextCustomer returns the customer of the next item without removing it.
func (q *Queue[T]) NextCustomer() (customer string, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return "", false
	}
	return q.waiting[best].customer, true
}

// nextIndex returns the index of the next item, or -1 if the queue is empty.
func (q *Queue[T]) nextIndex() int {
	best := -1
	for i, e := range q.waiting {
		if best < 0 || q.precedes(e, q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (q *Queue[T]) precedes(a, b entry[T]) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return q.held[a.customer] < q.held[b.customer]
}

// Shed removes and returns the item to drop in favor of a new one: the one with the lowest
// priority, then of the customer with the most slots and waiting items. ok is false if the
// new item itself is the one to drop.
func (q *Queue[T]) Shed(customer string, priority int) (item T, ok bool) {
	worst := entry[T]{customer: customer, priority: priority}
	at := -1
	for i, e := range q.waiting {
		if q.shedBefore(e, worst) {
			worst, at = e, i
		}
	}
	if at < 0 {
		return item, false
	}
	return q.removeAt(at).item, true
}

func (q *Queue[T]) shedBefore(a, b entry[T]) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return q.share(a.customer) > q.share(b.customer)
}

func (q *Queue[T]) share(customer string) int { return q.held[customer] + q.queued[customer] }

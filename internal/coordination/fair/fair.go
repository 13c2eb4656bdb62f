// Package fair orders what waits for a place: by priority, and within one
// priority so that no customer can crowd out another.
package fair

// Queue holds what waits, with the places that each customer holds already. It
// is not safe for use by several goroutines; its owner has a lock.
type Queue[T comparable] struct {
	waiting []entry[T]
	held    map[string]int // places by customer
	queued  map[string]int // waiting by customer
}

type entry[T comparable] struct {
	item     T
	customer string
	priority int
}

// New makes an empty queue.
func New[T comparable]() *Queue[T] {
	return &Queue[T]{held: map[string]int{}, queued: map[string]int{}}
}

// Len counts what waits.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Acquire notes that a customer got a place.
func (q *Queue[T]) Acquire(customer string) { q.held[customer]++ }

// Release notes that a customer gave one back.
func (q *Queue[T]) Release(customer string) { decrement(q.held, customer) }

func decrement(m map[string]int, key string) {
	if m[key]--; m[key] <= 0 {
		delete(m, key)
	}
}

// Held counts the places of a customer.
func (q *Queue[T]) Held(customer string) int { return q.held[customer] }

// Customers counts those that hold a place.
func (q *Queue[T]) Customers() int { return len(q.held) }

// Push adds to the queue.
func (q *Queue[T]) Push(item T, customer string, priority int) {
	q.waiting = append(q.waiting, entry[T]{item, customer, priority})
	q.queued[customer]++
}

// Remove takes something out; it tells whether it was there.
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

// Pop takes out what goes next: the highest priority, within it the customer
// with the fewest places, within it the longest wait.
func (q *Queue[T]) Pop() (item T, ok bool) {
	item, _, ok = q.PopWithCustomer()
	return item, ok
}

// PopWithCustomer is Pop that also tells whose it is.
func (q *Queue[T]) PopWithCustomer() (item T, customer string, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return item, "", false
	}
	e := q.removeAt(best)
	return e.item, e.customer, true
}

// Peek tells what goes next and leaves it in the queue.
func (q *Queue[T]) Peek() (item T, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return item, false
	}
	return q.waiting[best].item, true
}

// NextCustomer tells whose turn it is and leaves the queue as it is.
func (q *Queue[T]) NextCustomer() (customer string, ok bool) {
	best := q.nextIndex()
	if best < 0 {
		return "", false
	}
	return q.waiting[best].customer, true
}

// nextIndex is the index of what goes next, -1 if nothing waits.
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

// Shed takes out what is given up first for a newcomer: the lowest priority,
// within it the customer that has the most places and waits the most, within it
// the latest. Where the newcomer itself is that, nothing is taken out.
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

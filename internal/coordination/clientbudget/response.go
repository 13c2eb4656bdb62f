package clientbudget

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// responseShare is the share of the memory that responses may use together. What is above is left to requests and
// to replies that are short.
const responseShare = 0.5

// Errors of Response.Wait.
var (
	ErrResponseTooLarge = errors.New("response is larger than the memory for clients")
	ErrNoResponseRoom   = errors.New("no room for a response in time")
)

// Response is what a process holds of one response of a backend server or of another process, until it was
// sent on. Responses use the memory of clients. When it is short, they are received in the order in which they
// began: the earliest one always finds room, so that responses that each hold a part do not wait for each
// other. It is safe for concurrent use. All methods of a nil response do nothing and grant everything.
type Response struct {
	account Account // never yields, as it belongs to no connection
	// excess is what the earliest response holds beyond the memory of all.
	excess int64
}

// NewResponse returns a response that holds nothing. Release must be called.
func (b *Budget) NewResponse() *Response {
	if b == nil {
		return nil
	}
	return &Response{account: Account{budget: b, phase: Working}}
}

// Wait takes n bytes more, and waits for room until ctx is done.
func (r *Response) Wait(ctx context.Context, n int64) error {
	if r == nil || n <= 0 {
		return nil
	}
	for {
		released, err := r.take(n)
		if err != nil || released == nil {
			return err
		}
		select {
		case <-released:
		case <-time.After(takeRetryInterval): // clients release memory, too
		case <-ctx.Done():
			r.account.budget.recordRefusal()
			return ErrNoResponseRoom
		}
	}
}

// take takes n bytes. If there is no room, it returns a channel that is closed once a response has
// released memory.
func (r *Response) take(n int64) (released <-chan struct{}, err error) {
	b := r.account.budget
	b.mu.Lock()
	if r.account.held+r.excess+n > b.limits.Memory {
		b.mu.Unlock()
		return nil, ErrResponseTooLarge
	}
	if !slices.Contains(b.responses, r) {
		b.responses = append(b.responses, r)
	}
	now := b.clock()
	var victims []*Account
	fits := b.responseBytes()+n <= int64(responseShare*float64(b.limits.Memory))
	if fits {
		victims, fits = b.makeRoom(&r.account, n, now)
	}
	switch {
	case fits:
		r.account.held += n
		b.used += n
	case b.responses[0] == r:
		r.excess += n
	default:
		b.responsesWait = true
		released = b.responseReleased
	}
	b.log.write(now, b)
	b.mu.Unlock()
	wakeAll(victims)
	return released, nil
}

// Release gives back everything.
func (r *Response) Release() {
	if r == nil {
		return
	}
	b := r.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.responses, r)
	if i < 0 {
		return
	}
	b.responses = slices.Delete(b.responses, i, i+1)
	r.account.give(r.account.held)
	r.excess = 0
	if b.responsesWait {
		b.responsesWait = false
		close(b.responseReleased)
		b.responseReleased = make(chan struct{})
	}
}

// responseBytes returns what responses hold, without the excess of the earliest one. The caller must hold b.mu.
func (b *Budget) responseBytes() (n int64) {
	for _, r := range b.responses {
		n += r.account.held
	}
	return n
}

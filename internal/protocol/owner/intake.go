package owner

import "time"

// drainPoll is how often an owner that drains looks whether all is answered.
const drainPoll = 20 * time.Millisecond

// Serving counts the requests whose outcome, and the copies of it, are not yet
// out.
func (o *Owner) Serving() int64 { return o.serving.Load() }

// Drain begins a planned stop; the channel closes when every request that was
// accepted has its outcome, and the copies of it are out.
func (o *Owner) Drain() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for o.Serving() > 0 {
			time.Sleep(drainPoll)
		}
	}()
	return drained
}

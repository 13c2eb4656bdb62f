package front

import (
	"context"
	"net"
	"sync"

	"k8s.io/klog/v2"
)

// conns are the open connections of callers, and the listener that they come from.
type conns struct {
	mu        sync.Mutex
	listener  net.Listener
	accepting bool // a connection may still come
	open      map[*timedConn]struct{}
	retired   bool
	none      chan struct{} // closed when none is open and none will come
}

// listen takes in the listener; false if the server stops already.
func (s *conns) listen(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.listener = l
	s.accepting = true
	s.open = map[*timedConn]struct{}{}
	return true
}

// listened takes in that no more connections come, and tells whether that was asked.
func (s *conns) listened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
	s.check()
	return s.retired
}

// add takes in a new connection. One that comes late is retired like the others.
func (s *conns) add(c *timedConn) {
	s.mu.Lock()
	s.open[c] = struct{}{}
	retired := s.retired
	s.mu.Unlock()
	if retired {
		c.retire()
	}
}

func (s *conns) remove(c *timedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.check()
}

// retire ends each connection as soon as it rests.
//
// The standard server's Shutdown is of no use here: for it a connection rests until
// a request's head has been read whole, and what it reads later it drops, so that
// requests which arrived before the stop get no answer.
func (s *conns) retire() {
	open, err := s.stop()
	if err != nil {
		klog.ErrorS(err, "listener not closed")
	}
	for _, c := range open {
		c.retire()
	}
}

// wait waits for the last connection's end. Where that has come it says so also when
// ctx is over.
func (s *conns) wait(ctx context.Context) error {
	s.mu.Lock()
	none := s.none
	s.mu.Unlock()
	select {
	case <-none:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-none:
		return nil
	default:
		return ctx.Err()
	}
}

// stop closes the listener and gives the connections that are open.
func (s *conns) stop() (open []*timedConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil && !s.retired {
		err = s.listener.Close()
	}
	if !s.retired {
		s.retired = true
		s.none = make(chan struct{})
		s.check()
	}
	for c := range s.open {
		open = append(open, c)
	}
	return open, err
}

// check tells that the last one has ended; nothing comes after it, so it does so once.
// The caller holds the lock.
func (s *conns) check() {
	if s.retired && !s.accepting && len(s.open) == 0 {
		close(s.none)
	}
}

package front

import (
	"context"
	"net"
	"sync"

	"k8s.io/klog/v2"
)

// conns tracks the open connections of callers and their listener.
type conns struct {
	mu        sync.Mutex
	listener  net.Listener
	accepting bool // new connections may arrive
	open      map[*timedConn]struct{}
	stopping  bool
	drained   chan struct{} // closed once none is open and none can arrive
}

// setListener sets the listener. It returns false if the server is stopping already.
func (s *conns) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listener = l
	s.accepting = true
	s.open = map[*timedConn]struct{}{}
	return true
}

// listenerClosed records that no more connections arrive and reports whether the server is
// stopping.
func (s *conns) listenerClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
	s.closeIfDrained()
	return s.stopping
}

// add adds a new connection. If the server is stopping, the connection is closed once
// idle.
func (s *conns) add(c *timedConn) {
	s.mu.Lock()
	s.open[c] = struct{}{}
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		c.closeWhenIdle()
	}
}

func (s *conns) remove(c *timedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.closeIfDrained()
}

// closeWhenIdle closes the listener, and each connection as soon as it is idle.
//
// http.Server.Shutdown does not fit: it considers a connection idle until a request header
// was read completely and then drops what it reads, so requests that arrived before the
// stop would get no response.
func (s *conns) closeWhenIdle() {
	open, err := s.stop()
	if err != nil {
		klog.ErrorS(err, "closing listener failed")
	}
	for _, c := range open {
		c.closeWhenIdle()
	}
}

// wait waits until the last connection is closed. If it already is, wait returns nil even
// if ctx is done.
func (s *conns) wait(ctx context.Context) error {
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
	}
	select {
	case <-drained:
		return nil
	default:
		return ctx.Err()
	}
}

// stop closes the listener and returns the open connections.
func (s *conns) stop() (open []*timedConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil && !s.stopping {
		err = s.listener.Close()
	}
	if !s.stopping {
		s.stopping = true
		s.drained = make(chan struct{})
		s.closeIfDrained()
	}
	for c := range s.open {
		open = append(open, c)
	}
	return open, err
}

// closeIfDrained closes drained if no connection is open and none can arrive. This happens
// once. The caller must hold s.mu.
func (s *conns) closeIfDrained() {
	if s.stopping && !s.accepting && len(s.open) == 0 {
		close(s.drained)
	}
}

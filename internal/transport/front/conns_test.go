package front

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
)

// A stop whose context is done begins before, or concurrently with, Serve. Guards against
// a nil cancel function and a wait for connections that cannot exist.
func TestShutdownBeforeOrDuringServeReturns(t *testing.T) {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		early := &Server{Config: &routes.ActiveConfig{}}
		assert.NilError(t, early.Shutdown(done))

		concurrent := &Server{Config: &routes.ActiveConfig{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- concurrent.Serve(l) }()
		_ = concurrent.Shutdown(done) // may return before the listener is closed
		assert.NilError(t, <-served)
		l.Close()
	}
}

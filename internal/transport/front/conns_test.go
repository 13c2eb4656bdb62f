package front

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
)

// A stop whose time is over begins before, or beside, the first accept. Nobody is
// connected, so there is nothing to wait for and nothing to end; the process stopped by
// a fault instead, as what ends the requests was not there yet.
func TestStopBesideTheStart(t *testing.T) {
	over, end := context.WithCancel(context.Background())
	end()
	for range 200 {
		early := &Server{Config: &routes.ActiveConfig{}}
		assert.NilError(t, early.Shutdown(over))

		beside := &Server{Config: &routes.ActiveConfig{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- beside.Serve(l) }()
		_ = beside.Shutdown(over) // its time may end before the listener has
		assert.NilError(t, <-served)
		l.Close()
	}
}

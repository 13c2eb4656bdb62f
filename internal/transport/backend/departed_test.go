package backend

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// A caller may leave while a connection to the server is opened. Guards against sending its request,
// and against closing the connection, which others can use.
func TestNothingIsSentIfTheCallerLeavesBeforeTheFirstByte(t *testing.T) {
	s := newServer(t, reply(ok))
	p := NewPool()
	left := false
	c, ctx := caller.New(t.Context(), caller.Options{Peer: func() tcp.PeerState {
		return tcp.PeerState{Known: true, Ended: left}
	}})
	defer c.Close()
	r := &relay.Request{Method: http.MethodGet, Target: "/", Host: "h", Permitted: func() bool {
		left = true // the connection is open
		return true
	}}
	_, err := p.Do(ctx, s.l.Addr().String(), r)
	assert.ErrorIs(t, err, relay.ErrNotSent)
	assert.ErrorIs(t, err, caller.ErrLeft)
	_, _, err = get(t, p, s)
	assert.NilError(t, err)
	conns, requests := s.counts()
	assert.Equal(t, conns, 1)
	assert.Equal(t, requests, 1)
}

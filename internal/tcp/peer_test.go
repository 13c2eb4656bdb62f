package tcp

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/skylarkwood/skylarkwood/internal/tcp/tcptest"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	s, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(); s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// The end of a connection must be found behind unread bytes, however the peer ended it.
func TestPeerEndIsFoundBehindUnreadBytes(t *testing.T) {
	for name, end := range tcptest.Ends {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			assert.DeepEqual(t, Peer(near).Ended, false)
			_, err := far.Write(make([]byte, 100))
			assert.NilError(t, err)
			assert.Assert(t, Peer(near).Known)
			assert.NilError(t, end(far))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if Peer(near).Ended {
					return poll.Success()
				}
				return poll.Continue("the end has not arrived")
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		})
	}
}

// A peer that is still there, and one that only reads an end of ours, must not count as ended.
func TestPeerOfOpenConnectionHasNotEnded(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, near.CloseWrite())
	buf := make([]byte, 1)
	_, err := far.Read(buf)
	assert.ErrorContains(t, err, "EOF")
	assert.Assert(t, !Peer(near).Ended)
}

// What the peer has not received must be told from what it has, and a reset from a regular end.
func TestPeerTellsWhatItReceivedAndWhetherItWasReset(t *testing.T) {
	near, far := pair(t)
	const size = 100
	_, err := near.Write(make([]byte, size))
	assert.NilError(t, err)
	waitFor := func(what string, ok func(p PeerState) bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if p := Peer(near); !ok(p) {
				return poll.Continue("%s: %+v", what, p)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	waitFor("received", func(p PeerState) bool { return p.Acknowledged >= size && !p.Unacknowledged })
	assert.NilError(t, far.CloseWrite())
	waitFor("ended", func(p PeerState) bool { return p.Ended && !p.Reset })
	_ = near.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = near.Write(make([]byte, 64<<20))
	assert.ErrorContains(t, err, "timeout")
	waitFor("not received", func(p PeerState) bool { return p.Unacknowledged && !p.Reset })
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	waitFor("reset", func(p PeerState) bool { return p.Reset })
}

// A connection that is not a socket has no known state.
func TestPeerOfPipeIsUnknown(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	assert.Equal(t, Peer(a), PeerState{})
}

func BenchmarkPeer(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(b, err)
	defer c.Close()
	for b.Loop() {
		Peer(c)
	}
}

package link

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

func newMetadata(self string) *Metadata {
	return &Metadata{
		Clock:               hlc.New(time.Now),
		Revision:            func() int64 { return 7 },
		ObservePeerRevision: func(string, int64) {},
		Self:                self,
	}
}

type echo struct {
	Text string `json:"text"`
}

func serve(t *testing.T, register func(*Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	srv := NewServer(newMetadata(l.Addr().String()))
	register(srv)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func TestCallReturnsReplyOrFault(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, from string, e echo) (echo, error) {
			if e.Text == "" {
				return e, &fault.Error{Kind: fault.Overloaded, Msg: "full", RetryAfter: time.Second}
			}
			return echo{from + ":" + e.Text}, nil
		}))
	})
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	var got echo
	assert.NilError(t, p.Call(context.Background(), addr, "echo", echo{"hello"}, &got))
	assert.Equal(t, got.Text, "me:1:hello")
	err := p.Call(context.Background(), addr, "echo", echo{}, &got)
	assert.DeepEqual(t, fault.From(err), &fault.Error{Kind: fault.Overloaded, Msg: "full", RetryAfter: time.Second})
	err = p.Call(context.Background(), addr, "unknown", echo{}, &got)
	assert.Assert(t, fault.Is(err, fault.NotFound))
}

// A peer reads a call and closes the connection without a reply. The call fails with kind
// Unreachable and is not sent again.
func TestFailedCallIsNotResent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var conns, bytes atomic.Int64
	closed := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			buf := make([]byte, 4096)
			n, _ := c.Read(buf)
			bytes.Add(int64(n))
			c.Close()
			closed <- struct{}{}
		}
	}()
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	err = p.Call(context.Background(), l.Addr().String(), "echo", echo{"once"}, nil)
	assert.Assert(t, fault.Is(err, fault.Unreachable))
	<-closed
	assert.Equal(t, conns.Load(), int64(1))
	assert.Assert(t, bytes.Load() > 0)
}

// A connection stays open but carries no data. After Reset, the next call succeeds over a
// new one.
func TestResetReplacesAnUnresponsiveConnection(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	proxy, cut := cuttableProxy(t, addr)
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	var got echo
	assert.NilError(t, p.Call(context.Background(), proxy, "echo", echo{"1"}, &got))
	cut()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, fault.Is(p.Call(ctx, proxy, "echo", echo{"2"}, &got), fault.Unreachable))
	p.Reset(proxy)
	assert.NilError(t, p.Call(context.Background(), proxy, "echo", echo{"3"}, &got))
	assert.Equal(t, got.Text, "3")
}

// Two calls fail on the same unresponsive connection and both reset it. The second Reset
// must not close the new connection, on which the first call is being retried.
func TestSecondResetKeepsTheNewConnection(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
		s.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
			close(reached)
			<-release
			return e, nil
		}))
	})
	proxy, cut := cuttableProxy(t, addr)
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	assert.NilError(t, p.Call(context.Background(), proxy, "echo", echo{"1"}, nil))
	cut()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		assert.Assert(t, fault.Is(p.Call(ctx, proxy, "echo", echo{"2"}, nil), fault.Unreachable))
		cancel()
	}
	p.Reset(proxy) // after the first call
	var got echo
	again := make(chan error, 1)
	go func() { again <- p.Call(context.Background(), proxy, "slow", echo{"3"}, &got) }()
	<-reached
	p.Reset(proxy) // after the second call
	close(release)
	assert.NilError(t, <-again)
	assert.Equal(t, got.Text, "3")
}

// A dial fails and its sender calls Reset after another sender has connected. The working
// connection stays open.
func TestResetAfterAFailedDialKeepsALaterConnection(t *testing.T) {
	addr, listen := refusingAddress(t)
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	ctx := context.Background()
	assert.Assert(t, fault.Is(p.Send(ctx, addr, p.NewNotification("note", nil)), fault.NotConnected))
	l := listen()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	reached, release := make(chan struct{}), make(chan struct{})
	srv := NewServer(newMetadata(addr))
	srv.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
		close(reached)
		<-release
		return e, nil
	}))
	go func() { _ = srv.Serve(serving, l) }()
	done := make(chan error, 1)
	go func() { done <- p.Call(ctx, addr, "slow", echo{"x"}, nil) }()
	<-reached
	p.Reset(addr)
	close(release)
	assert.NilError(t, <-done)
}

// refusingAddress returns an address that refuses connections until listen is called. The
// port stays reserved meanwhile.
func refusingAddress(t *testing.T) (addr string, listen func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	f := os.NewFile(uintptr(fd), "refusing address")
	t.Cleanup(func() { f.Close() })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	return addr, func() net.Listener {
		assert.NilError(t, syscall.Listen(fd, 8))
		l, err := net.FileListener(f)
		assert.NilError(t, err)
		return l
	}
}

// cuttableProxy forwards bytes. After cut, connections open by then stay open but carry no
// more data. Later ones work.
func cuttableProxy(t *testing.T, to string) (addr string, cut func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var generation atomic.Int64
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				return
			}
			opened := generation.Load()
			alive := func() bool { return generation.Load() == opened }
			go forward(out, in, alive)
			go forward(in, out, alive)
		}
	}()
	return l.Addr().String(), func() { generation.Add(1) }
}

func forward(to io.Writer, from io.Reader, alive func() bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !alive() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Arbitrary bytes are decoded or rejected without a panic.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"h":{"w":1,"l":2},"v":3,"f":"a","b":{"text":"x"}}`))
	f.Add([]byte(`{"b":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newMetadata("me:1")
		msg := json.RawMessage(raw)
		env, err := s.openEnvelope(&msg)
		if err != nil {
			return
		}
		for _, h := range []Handler{
			Handle(func(context.Context, string, wire.Open) (struct{}, error) { return struct{}{}, nil }),
			Handle(func(context.Context, string, wire.Forward) (struct{}, error) { return struct{}{}, nil }),
			Handle(func(context.Context, string, wire.Call) (struct{}, error) { return struct{}{}, nil }),
		} {
			_, _ = h(context.Background(), env.From, env.Body)
		}
	})
}

// An instance that is not a router sends a message with the address of a router as its
// sender.
func TestCallFromAnotherHostIsRejected(t *testing.T) {
	var handled atomic.Int64
	addr := serve(t, func(s *Server) {
		s.VerifySenderHost = true
		s.Register("echo", Handle(func(_ context.Context, from string, e echo) (echo, error) {
			handled.Add(1)
			return e, nil
		}))
	})
	for self, accepted := range map[string]bool{"127.0.0.1:7": true, "10.1.0.3:7": false, "nobody": false, "": false} {
		p := NewPool(newMetadata(self))
		err := p.Call(context.Background(), addr, "echo", echo{"hello"}, nil)
		assert.Equal(t, err == nil, accepted, "sender %q: %v", self, err)
		p.Close()
	}
	assert.Equal(t, handled.Load(), int64(1))
}

// Calls and notifications share a connection. Each notification arrives once and in order,
// also beside a long call.
func TestNotificationsArriveBetweenCalls(t *testing.T) {
	var got []string
	addr := serve(t, func(s *Server) {
		s.RegisterNotification("note", func(from string, body []byte) error {
			got = append(got, from+" "+string(body))
			return nil
		})
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	ctx := context.Background()
	long := strings.Repeat("x", 3*maxPreallocation)
	var want []string
	for i := range 5 {
		text := strconv.Itoa(i)
		want = append(want, "me:1 "+text)
		assert.NilError(t, p.Send(ctx, addr, p.NewNotification("note", []byte(text))))
		var back echo
		assert.NilError(t, p.Call(ctx, addr, "echo", echo{long}, &back))
		assert.Equal(t, back.Text, long)
	}
	assert.DeepEqual(t, got, want)
}

// Notifications from another host or without a handler are dropped. The connection keeps
// working.
func TestNotificationFromAnotherHostIsRejected(t *testing.T) {
	var got []string
	addr := serve(t, func(s *Server) {
		s.VerifySenderHost = true
		s.RegisterNotification("note", func(from string, body []byte) error {
			got = append(got, string(body))
			return nil
		})
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	ctx := context.Background()
	foreign := NewPool(newMetadata("127.0.0.2:7000"))
	defer foreign.Close()
	assert.NilError(t, foreign.Send(ctx, addr, foreign.NewNotification("note", []byte("foreign"))))
	own := NewPool(newMetadata("127.0.0.1:7000"))
	defer own.Close()
	assert.NilError(t, own.Send(ctx, addr, own.NewNotification("unknown", nil)))
	assert.NilError(t, own.Send(ctx, addr, own.NewNotification("note", []byte("own"))))
	var back echo
	assert.NilError(t, own.Call(ctx, addr, "echo", echo{"after"}, &back))
	assert.Assert(t, foreign.Call(ctx, addr, "echo", echo{"x"}, &back) != nil)
	assert.DeepEqual(t, got, []string{"own"})
}

// Reading arbitrary bytes terminates, and a length alone does not allocate memory.
func FuzzFrames(f *testing.F) {
	f.Add(frameNotification([]byte("x")))
	f.Add([]byte("\x02{}"))
	f.Add([]byte{0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := NewServer(newMetadata("me:1"))
		in := newFrames(readOnly{bytes.NewReader(raw)}, func(raw []byte) { s.handleNotification(raw, "127.0.0.1") })
		for {
			var v json.RawMessage
			if in.ReadObject(&v) != nil {
				return
			}
		}
	})
}

// readOnly is a connection that discards writes.
type readOnly struct{ io.Reader }

func (readOnly) Write(p []byte) (int, error) { return len(p), nil }
func (readOnly) Close() error                { return nil }

// A handler panics. Only that message fails, with an error reply if one is expected, and
// the connection keeps working.
func TestPanickingHandlerFailsOnlyItsMessage(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.RegisterNotification("note", func(string, []byte) error { panic("handler fails") })
		s.Register("call", Handle(func(context.Context, string, echo) (echo, error) { panic("handler fails") }))
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	p := NewPool(newMetadata("me:1"))
	defer p.Close()
	ctx := context.Background()
	assert.NilError(t, p.Send(ctx, addr, p.NewNotification("note", nil)))
	assert.NilError(t, p.Notify(ctx, addr, "call", echo{}))
	var back echo
	assert.Assert(t, fault.Is(p.Call(ctx, addr, "call", echo{}, &back), fault.Internal))
	assert.NilError(t, p.Call(ctx, addr, "echo", echo{"still there"}, &back))
	assert.Equal(t, back.Text, "still there")
}

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

func newStamp(self string) *Metadata {
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
	srv := NewServer(newStamp(l.Addr().String()))
	register(srv)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func TestCallAndFault(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, from string, e echo) (echo, error) {
			if e.Text == "" {
				return e, &fault.Error{Kind: fault.Overloaded, Msg: "full", RetryAfter: time.Second}
			}
			return echo{from + ":" + e.Text}, nil
		}))
	})
	p := NewPool(newStamp("me"))
	defer p.Close()
	var got echo
	assert.NilError(t, p.Call(context.Background(), addr, "echo", echo{"hello"}, &got))
	assert.Equal(t, got.Text, "me:hello")
	err := p.Call(context.Background(), addr, "echo", echo{}, &got)
	assert.DeepEqual(t, fault.From(err), &fault.Error{Kind: fault.Overloaded, Msg: "full", RetryAfter: time.Second})
	err = p.Call(context.Background(), addr, "unknown", echo{}, &got)
	assert.Assert(t, fault.Is(err, fault.NotFound))
}

// A peer takes a call and drops the connection without an answer. The link must
// not send the call again by itself: the caller gets "unreachable" and decides.
func TestCallIsOnTheWireOnce(t *testing.T) {
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
	p := NewPool(newStamp("me"))
	defer p.Close()
	err = p.Call(context.Background(), l.Addr().String(), "echo", echo{"once"}, nil)
	assert.Assert(t, fault.Is(err, fault.Unreachable))
	<-closed
	assert.Equal(t, conns.Load(), int64(1))
	assert.Assert(t, bytes.Load() > 0)
}

// A peer's connection goes silent: it stays open and nothing answers, as when
// something between the two has lost track of it. The call ends at its time;
// after Reset the next one goes over a new connection and works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	proxy, cut := silentProxy(t, addr)
	p := NewPool(newStamp("me"))
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

// Two calls meet the same silent connection. The first one's owner drops it and
// calls again over a new one; while that is being answered the second call gives up
// and drops "the connection" too. It must not be the new one: the call on it would
// fail a second time though the peer answers, and its request be cut off.
func TestResetSparesTheConnectionThatReplacedASilentOne(t *testing.T) {
	reached, answer := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(s *Server) {
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
		s.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
			close(reached)
			<-answer
			return e, nil
		}))
	})
	proxy, cut := silentProxy(t, addr)
	p := NewPool(newStamp("me"))
	defer p.Close()
	assert.NilError(t, p.Call(context.Background(), proxy, "echo", echo{"1"}, nil))
	cut()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		assert.Assert(t, fault.Is(p.Call(ctx, proxy, "echo", echo{"2"}, nil), fault.Unreachable))
		cancel()
	}
	p.Reset(proxy) // by the first of the two
	var got echo
	again := make(chan error, 1)
	go func() { again <- p.Call(context.Background(), proxy, "slow", echo{"3"}, &got) }()
	<-reached
	p.Reset(proxy) // by the second
	close(answer)
	assert.NilError(t, <-again)
	assert.Equal(t, got.Text, "3")
}

// A message to a peer could not be sent as nobody listened there yet. When its
// sender drops "the connection", another sender has reached the peer and waits for
// its answer: that connection has not failed and stays.
func TestResetAfterAFailedDialSparesALaterConnection(t *testing.T) {
	addr, listen := refusingAddress(t)
	p := NewPool(newStamp("me"))
	defer p.Close()
	ctx := context.Background()
	assert.Assert(t, fault.Is(p.Send(ctx, addr, p.NewNotification("note", nil)), fault.NotConnected))
	l := listen()
	serving, stop := context.WithCancel(ctx)
	defer stop()
	reached, answer := make(chan struct{}), make(chan struct{})
	srv := NewServer(newStamp(addr))
	srv.Register("slow", Handle(func(_ context.Context, _ string, e echo) (echo, error) {
		close(reached)
		<-answer
		return e, nil
	}))
	go func() { _ = srv.Serve(serving, l) }()
	done := make(chan error, 1)
	go func() { done <- p.Call(ctx, addr, "slow", echo{"x"}, nil) }()
	<-reached
	p.Reset(addr)
	close(answer)
	assert.NilError(t, <-done)
}

// refusingAddress gives an address that refuses connections until listen is called;
// nobody else can take it meanwhile.
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

// silentProxy passes bytes on until cut; connections open by then stay open and
// carry nothing more, later ones work.
func silentProxy(t *testing.T, to string) (addr string, cut func()) {
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
			born := generation.Load()
			alive := func() bool { return generation.Load() == born }
			go pass(out, in, alive)
			go pass(in, out, alive)
		}
	}()
	return l.Addr().String(), func() { generation.Add(1) }
}

func pass(to io.Writer, from io.Reader, alive func() bool) {
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

// Whatever bytes a peer sends as a message, the server answers or drops it and
// lives on.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"h":{"w":1,"l":2},"v":3,"f":"a","b":{"text":"x"}}`))
	f.Add([]byte(`{"b":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newStamp("me")
		msg := json.RawMessage(raw)
		env, err := s.take(&msg)
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

// An instance that is no router claims to be one and tells of an engine's end.
// The message comes from another host than its sender's, and is not believed.
func TestSenderOfAnotherHostIsRefused(t *testing.T) {
	var taken atomic.Int64
	addr := serve(t, func(s *Server) {
		s.VerifySenderHost = true
		s.Register("echo", Handle(func(_ context.Context, from string, e echo) (echo, error) {
			taken.Add(1)
			return e, nil
		}))
	})
	for self, believed := range map[string]bool{"127.0.0.1:7": true, "10.1.0.3:7": false, "nobody": false, "": false} {
		p := NewPool(newStamp(self))
		err := p.Call(context.Background(), addr, "echo", echo{"hello"}, nil)
		assert.Equal(t, err == nil, believed, "sender %q: %v", self, err)
		p.Close()
	}
	assert.Equal(t, taken.Load(), int64(1))
}

// Notices and calls share a connection: each notice arrives once, in order, also
// those between the parts of a long call.
func TestNoticesArriveBetweenCalls(t *testing.T) {
	var got []string
	addr := serve(t, func(s *Server) {
		s.RegisterNotification("note", func(from string, body []byte) error {
			got = append(got, from+" "+string(body))
			return nil
		})
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	p := NewPool(newStamp("me"))
	defer p.Close()
	ctx := context.Background()
	long := strings.Repeat("x", 3*frameStep)
	var want []string
	for i := range 5 {
		text := strconv.Itoa(i)
		want = append(want, "me "+text)
		assert.NilError(t, p.Send(ctx, addr, p.NewNotification("note", []byte(text))))
		var back echo
		assert.NilError(t, p.Call(ctx, addr, "echo", echo{long}, &back))
		assert.Equal(t, back.Text, long)
	}
	assert.DeepEqual(t, got, want)
}

// A router whose beats name another host is not believed, nor is one that no
// handler knows; the connection goes on.
func TestNoticeOfAnotherHostIsRefused(t *testing.T) {
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
	foreign := NewPool(newStamp("127.0.0.2:7000"))
	defer foreign.Close()
	assert.NilError(t, foreign.Send(ctx, addr, foreign.NewNotification("note", []byte("foreign"))))
	own := NewPool(newStamp("127.0.0.1:7000"))
	defer own.Close()
	assert.NilError(t, own.Send(ctx, addr, own.NewNotification("unknown", nil)))
	assert.NilError(t, own.Send(ctx, addr, own.NewNotification("note", []byte("own"))))
	var back echo
	assert.NilError(t, own.Call(ctx, addr, "echo", echo{"after"}, &back))
	assert.Assert(t, foreign.Call(ctx, addr, "echo", echo{"x"}, &back) != nil)
	assert.DeepEqual(t, got, []string{"own"})
}

// Whatever bytes come over a link, reading them ends, and a length alone does
// not make the reader reserve what it claims.
func FuzzFrames(f *testing.F) {
	f.Add(frameNotice([]byte("x")))
	f.Add([]byte("\x02{}"))
	f.Add([]byte{0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := NewServer(newStamp("me"))
		in := newFrames(readOnly{bytes.NewReader(raw)}, func(notice []byte) { s.noticed(notice, "127.0.0.1") })
		for {
			var v json.RawMessage
			if in.ReadObject(&v) != nil {
				return
			}
		}
	})
}

// readOnly is a connection that only ever gives what was written.
type readOnly struct{ io.Reader }

func (readOnly) Write(p []byte) (int, error) { return len(p), nil }
func (readOnly) Close() error                { return nil }

// A peer's message makes the code that handles it panic. The peer sends the like to every
// process: each would end, and end again with the next one. One message fails, by an
// answer where one is due, and the connection goes on.
func TestMessageThatEndsItsReader(t *testing.T) {
	addr := serve(t, func(s *Server) {
		s.RegisterNotification("note", func(string, []byte) error { panic("a fault of the code") })
		s.Register("call", Handle(func(context.Context, string, echo) (echo, error) { panic("a fault of the code") }))
		s.Register("echo", Handle(func(_ context.Context, _ string, e echo) (echo, error) { return e, nil }))
	})
	p := NewPool(newStamp("me"))
	defer p.Close()
	ctx := context.Background()
	assert.NilError(t, p.Send(ctx, addr, p.NewNotification("note", nil)))
	assert.NilError(t, p.Notify(ctx, addr, "call", echo{}))
	var back echo
	assert.Assert(t, fault.Is(p.Call(ctx, addr, "call", echo{}, &back), fault.Internal))
	assert.NilError(t, p.Call(ctx, addr, "echo", echo{"still there"}, &back))
	assert.Equal(t, back.Text, "still there")
}

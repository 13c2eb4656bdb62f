package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/response"
)

// endlessServer answers each request with a start and then repeats a piece until its peer closes.
func endlessServer(t *testing.T, start, piece string) (addr string, closed <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	done := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		n, err := io.WriteString(c, start)
		for block := strings.Repeat(piece, 1+4096/len(piece)); err == nil; {
			var m int
			m, err = io.WriteString(c, block)
			n += m
		}
		done <- n
	}()
	return l.Addr().String(), done
}

// A faulty server sends bytes that are no response, without an end. Guards against a router that
// keeps them all until it runs out of memory.
func TestResponseHeaderWithoutEndIsAbandoned(t *testing.T) {
	for name, sent := range map[string]struct{ start, piece string }{
		"no line end":          {"", "x"},
		"endless status line":  {"HTTP/1.1 200 ", "x"},
		"endless field":        {"HTTP/1.1 200 OK\r\nServer: ", "x"},
		"endless fields":       {"HTTP/1.1 200 OK\r\n", "Server: x\r\n"},
		"endless interim ones": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, closed := endlessServer(t, sent.start, sent.piece)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := NewPool().Do(ctx, addr, &relay.Request{Method: "GET", Target: "/", Host: "h"})
			assert.Assert(t, errors.Is(err, response.ErrHeadTooLarge), "%v", err)
			assert.NilError(t, ctx.Err())
			select {
			case <-closed:
			case <-ctx.Done():
				t.Fatal("the connection stays open")
			}
		})
	}
}

// A faulty server sends a chunked body whose framing never ends. Guards against a read that keeps
// the framing until the router runs out of memory.
func TestChunkedBodyWithEndlessFramingIsAbandoned(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, sent := range map[string]struct{ start, piece string }{
		"chunk size":          {header, "0"},
		"chunk extension":     {header + "1;", "x"},
		"many extensions":     {header, "1;" + strings.Repeat("x", 1024) + "\r\nx\r\n"},
		"field of a trailer":  {header + "0\r\nServer: ", "x"},
		"fields of a trailer": {header + "0\r\n", "Server: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, closed := endlessServer(t, sent.start, sent.piece)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := NewPool().Do(ctx, addr, &relay.Request{Method: "GET", Target: "/", Host: "h"})
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			assert.Assert(t, err != nil && ctx.Err() == nil, "%d bytes read: %v", n, err)
			resp.Body.Close()
			select {
			case <-closed:
			case <-ctx.Done():
				t.Fatal("the connection stays open")
			}
		})
	}
}

// Guards against a limit that applies to more than the header of one response.
func TestLongBodiesAndManyResponsesAreRead(t *testing.T) {
	const size = 4 * response.MaxHeadBytes
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		for {
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n"+strings.Repeat("x", size)); err != nil {
				return
			}
		}
	}()
	p := NewPool()
	for range 4 {
		resp, err := p.Do(t.Context(), l.Addr().String(), &relay.Request{Method: "GET", Target: "/", Host: "h"})
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), size)
		resp.Body.Close()
	}
	assert.Equal(t, p.DialCount(), int64(1))
}

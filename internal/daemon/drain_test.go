package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// memoryListener is a listener in memory. It lets drains run in virtual time.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *memoryListener) Close() error   { close(p.closed); return nil }
func (p *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *memoryListener) dial() net.Conn {
	near, far := net.Pipe()
	p.conns <- far
	return near
}

// routerAtCapacity returns a router whose only engine has no memory for another stream.
func routerAtCapacity() *Router {
	r := NewRouter(settings.Default(), standin.NewStore())
	r.config.Apply(&model.RouteConfig{
		Version: 1,
		Routes: []model.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: model.RouteStreaming, MaxAttempts: 2, TargetLatency: 2 * time.Second,
			Split: []model.ServiceShare{{Service: "s", Weight: 1}},
		}},
		Services: []model.Service{{Name: "s", Engine: &model.EngineSpec{
			Layers: 12, LayerMB: 1000, KVTokenBytes: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5,
			Cards: []model.Card{{Name: "fast", MB: 16000, StepTimeFactor: 2, PrefillFactor: 2}},
		}}},
	}, nil, "")
	r.catalog.Put(model.BackendServer{ID: "e", Service: "s", Address: "e:1", Card: "fast", Holds: model.LayerRange{To: 12}, Slots: 9})
	return r
}

// Guards against a stop that ends while a request waits for capacity. Its caller must learn
// that the request did not run and when to retry.
func TestWaitingRequestIsRefusedBeforeDrainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 2 * time.Second
		r := routerAtCapacity()
		l := newMemoryListener()
		go func() { assert.Check(t, r.front.Serve(l)) }()
		conn := l.dial()
		answered := make(chan *http.Response, 1)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			r.drain(grace)
		}()
		time.Sleep(grace / 4)
		go func() {
			_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\nToken-Usage: 100000,10\r\nContent-Length: 0\r\n\r\n")
			assert.Check(t, err)
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				answered <- resp
			}
		}()
		<-stopped
		synctest.Wait()
		select {
		case resp := <-answered:
			assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "status %d", resp.StatusCode)
			assert.Check(t, resp.Header.Get("Retry-After") != "")
		default:
			t.Error("drain ended without a response to a request that did not run")
		}
		assert.Check(t, conn.Close())
		assert.Check(t, r.metrics.scope.(io.Closer).Close())
	})
}

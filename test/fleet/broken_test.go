package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/response/responsetest"
	"github.com/skylarkwood/skylarkwood/platform"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// idPlaceholder stands for the id of a request in the text of its response.
const idPlaceholder = "ID"

// Fields of the responses that belong to a request, so that a caller would take them.
const answerFields = "Attempt-Id: " + idPlaceholder + "\r\nResponse-Signature: broken\r\n"

// breaker stands before a backend server and answers callers' requests with a broken response. It passes on
// everything else.
type breaker struct {
	t    *testing.T
	text string
	// endsEarly makes it respond before it has read a request's body, and reset its connection.
	endsEarly bool
	repaired  atomic.Bool  // it passes on everything
	answers   atomic.Int64 // broken responses sent
}

// open starts a proxy of a server and returns its address.
func (b *breaker) open(server string) string { return openProxy(b.t, server, b.respond) }

// requestBody returns the body of requests to which the server responds.
func (b *breaker) requestBody() string {
	if b.endsEarly {
		return uploadBody
	}
	return "draft"
}

func (b *breaker) respond(c net.Conn, r *http.Request) (done bool) {
	if r.Method != http.MethodPost || r.URL.Path == platform.OrderPath || b.repaired.Load() {
		return false
	}
	if !b.endsEarly {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	b.answers.Add(1)
	_, _ = io.WriteString(c, strings.ReplaceAll(b.text, idPlaceholder, r.Header.Get("Attempt-Id")))
	if b.endsEarly {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return true
}

// openProxy starts a proxy that passes each request on to a server unless respond has ended its connection
// with a response of its own.
func openProxy(t *testing.T, server string, respond func(c net.Conn, r *http.Request) (done bool)) string {
	return responsetest.Serve(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil || respond(c, r) || passOn(c, r, server) != nil {
				return
			}
		}
	})
}

// passOn sends a request to a server and writes the response to c.
func passOn(c net.Conn, r *http.Request, server string) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	to, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	to.Header, to.Host = r.Header, r.Host
	resp, err := http.DefaultTransport.RoundTrip(to)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return resp.Write(c)
}

// uploadBody is too large for the buffers of a connection.
var uploadBody = strings.Repeat("x", 8<<20)

// allowUploads lets callers send uploadBody.
func (s *site) allowUploads() {
	s.configure(func(cfg map[string]any) { cfg["limits"].(map[string]any)["max_body_bytes"] = 2 * len(uploadBody) })
	s.eventually("uploads are allowed", func() bool {
		return s.call(s.routers[0], requestSpec{path: "/lookup/1", body: uploadBody}).status == http.StatusOK
	})
}

// brokenResponses returns malformed responses and such that end before their requests are read.
func brokenResponses(t *testing.T) map[string]*breaker {
	out := map[string]*breaker{}
	for name, text := range responsetest.Malformed(answerFields, "broken") {
		out[name] = &breaker{t: t, text: text}
	}
	for _, status := range []string{"200 OK", "400 Bad Request", "500 Internal Server Error"} {
		out["cut off, "+status] = &breaker{t: t, text: "HTTP/1.1 " + status + "\r\n" + answerFields + "\r\nbroken", endsEarly: true}
	}
	return out
}

// One of three servers sends a broken response. Guards against giving it to the caller, running a request again
// that may run once, and calling a request that may have run not run.
func TestBrokenResponsesDoNotReachCallers(t *testing.T) {
	s := newSite(t, 1)
	s.allowUploads()
	for _, path := range []string{"/lookup/1", "/notice/1"} {
		for name, b := range brokenResponses(t) {
			s.proxy = b.open
			server := s.addServer(notices, "a", "")
			s.eventually(name, func() bool {
				rep := s.call(s.routers[0], requestSpec{path: path, body: b.requestBody()})
				if b.answers.Load() > 0 && path == "/notice/1" {
					assert.Check(t, rep.status == http.StatusBadGateway, "%s: status %d, body %.40q, %v", name, rep.status, rep.body, rep.err)
					assert.Check(t, len(s.fleet.Runs(rep.attempt)) == 0, "%s: run again", name)
				} else {
					assert.Check(t, rep.status == http.StatusOK && rep.body == standin.PlainBody(rep.attempt), "%s: status %d, body %.40q, %v", name, rep.status, rep.body, rep.err)
				}
				return b.answers.Load() > 0
			})
			b.repaired.Store(true)
			s.store.Remove("servers/" + server.ID())
		}
	}
}

// A server that breaks its responses at once looks the fastest. Guards against sending it more than its even
// share of the requests.
func TestServerWithBrokenResponsesDoesNotAttractRequests(t *testing.T) {
	for _, name := range []string{"cut off, 200 OK", "cut off, 500 Internal Server Error", "status 000", "blank after a transfer encoding"} {
		t.Run(name, func(t *testing.T) {
			s := newSiteWith(t, 1, func(s *site) {
				s.proxy = func(server string) string {
					return openProxy(t, server, func(net.Conn, *http.Request) bool {
						time.Sleep(100 * time.Millisecond)
						return false
					})
				}
			})
			s.allowUploads()
			b := brokenResponses(t)[name]
			s.proxy = b.open
			s.addServer(notices, "a", "")
			s.eventually("the server is known", func() bool {
				s.call(s.routers[0], requestSpec{path: "/lookup/1", body: "draft"})
				return b.answers.Load() > 0
			})
			const callers, calls, servers = 4, 15, 3
			before := b.answers.Load()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range calls {
						rep := s.call(s.routers[0], requestSpec{path: "/lookup/1", body: b.requestBody()})
						assert.Check(t, rep.status == http.StatusOK && rep.body == standin.PlainBody(rep.attempt), "status %d, body %.40q, %v", rep.status, rep.body, rep.err)
					}
				})
			}
			wg.Wait()
			broken := b.answers.Load() - before
			t.Logf("%d of %d requests", broken, callers*calls)
			assert.Assert(t, broken <= callers*calls/servers, "%d of %d requests", broken, callers*calls)
		})
	}
}

// The first engine of each stream breaks it: with a malformed head, or with a reset after some events while the
// request is uploaded. Guards against streams that end there for their callers, or repeat or lose events.
func TestStreamsOfBrokenResponsesAreResumed(t *testing.T) {
	events := standin.Event(idPlaceholder, 1) + standin.Event(idPlaceholder, 2)
	fields := "Attempt-Id: " + idPlaceholder + "\r\nResponse-Signature: sig-" + idPlaceholder + "\r\nContent-Type: text/event-stream\r\n"
	for name, b := range map[string]*breaker{
		"malformed":               {t: t, text: "HTTP/1.1 200 OK\r\n" + fields + "Bad Name: 1\r\n\r\n" + events},
		"reset between events":    {t: t, text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + events, endsEarly: true},
		"reset inside an event":   {t: t, text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + events + "id: 3\nda", endsEarly: true},
		"reset before the events": {t: t, text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n", endsEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			var broken sync.Map // attempts
			var breaks atomic.Bool
			s := newSiteWith(t, 1, func(s *site) {
				s.proxy = func(server string) string {
					return openProxy(t, server, func(c net.Conn, r *http.Request) bool {
						if !breaks.Load() || !strings.HasPrefix(r.URL.Path, "/sheet/") {
							return false
						}
						_, again := broken.LoadOrStore(r.Header.Get("Attempt-Id"), true)
						return !again && b.respond(c, r)
					})
				}
			})
			s.allowUploads()
			breaks.Store(true)
			const streams = 20
			for range streams {
				s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1", body: b.requestBody()}))
			}
			assert.Equal(t, b.answers.Load(), int64(streams))
		})
	}
}

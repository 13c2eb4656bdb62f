package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/tcp/tcptest"
	"github.com/skylarkwood/skylarkwood/internal/transport/backend"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// server is a backend server that counts requests and keeps what they say.
type server struct {
	*httptest.Server
	requests  atomic.Int64
	mu        sync.Mutex
	deadlines []string
}

// newServer returns a server that responds once work returns.
func newServer(t *testing.T, work func(*http.Request)) *server {
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		s.mu.Lock()
		s.deadlines = append(s.deadlines, r.Header.Get("Deadline-Ms"))
		s.mu.Unlock()
		work(r)
		w.Header().Set("Response-Signature", "sig")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) front() *Server {
	cfg := config(1, 5*time.Second)
	cfg.Limits.BodyBytes = 1 << 20
	cfg.Limits.HeaderTimeout = 5 * time.Second
	return newFront(backend.NewPool(), s.Listener.Addr().String(), cfg)
}

func post(path string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, body, strings.Repeat("x", body))
}

// largeBody exceeds the buffers of net/http.
const largeBody = 90_000

func dial(t *testing.T, l net.Listener) *net.TCPConn {
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// A router that reads requests late must not send those whose callers have left on to a server.
func TestRequestsOfDepartedCallersAreNotSent(t *testing.T) {
	for request, raw := range map[string]string{
		"without body": "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"with length":  post("/x", 20),
		"in chunks":    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"large":        post("/x", largeBody),
		"pipelined":    post("/1", 20) + post("/2", 20),
		"large pairs":  post("/1", largeBody) + post("/2", largeBody),
	} {
		for departure, leave := range tcptest.Ends {
			t.Run(request+" "+departure, func(t *testing.T) {
				srv := newServer(t, func(*http.Request) {})
				s := srv.front()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				for range 100 {
					c := dial(t, l)
					_, err := io.WriteString(c, raw)
					assert.NilError(t, err)
					assert.NilError(t, leave(c))
				}
				time.Sleep(50 * time.Millisecond) // the kernel handles the ends
				start(t, s, l)
				// Connections are accepted in order, so all others were before this one.
				got := talk(t, l.Addr().String(), "GET /last HTTP/1.1\r\n"+finalHeader+"\r\n")
				assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200"), got)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				assert.NilError(t, s.Shutdown(ctx))
				assert.Equal(t, srv.requests.Load(), int64(1))
			})
		}
	}
}

// A server must be told that the caller has left also if unread bytes hide the end of the caller's
// connection.
func TestDepartureBehindUnreadBytesEndsTheWork(t *testing.T) {
	for behind, rest := range map[string]string{"nothing": "", "one byte": "P", "a request": post("/2", largeBody)} {
		for departure, leave := range tcptest.Ends {
			t.Run(behind+" "+departure, func(t *testing.T) {
				t.Parallel()
				working, told := make(chan struct{}), make(chan struct{})
				srv := newServer(t, func(r *http.Request) {
					if r.URL.Path != "/1" {
						return
					}
					close(working)
					select {
					case <-r.Context().Done():
						close(told)
					case <-time.After(10 * time.Second):
					}
				})
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				start(t, srv.front(), l)
				c := dial(t, l)
				_, err = io.WriteString(c, post("/1", largeBody)+rest)
				assert.NilError(t, err)
				<-working
				assert.NilError(t, leave(c))
				select {
				case <-told:
				case <-time.After(8 * time.Second):
					t.Error("the server works on")
				}
			})
		}
	}
}

// A request that lay unread must not get its whole deadline anew: its server would work on after the
// caller has given up.
func TestDeadlineCountsFromTheArrivalOfTheRequest(t *testing.T) {
	const unread = 600 * time.Millisecond
	srv := newServer(t, func(*http.Request) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	patient, impatient := dial(t, l), dial(t, l)
	_, err = io.WriteString(patient, "GET /x HTTP/1.1\r\nDeadline-Ms: 5000\r\n"+finalHeader+"\r\n")
	assert.NilError(t, err)
	_, err = io.WriteString(impatient, "GET /x HTTP/1.1\r\nDeadline-Ms: 500\r\n"+finalHeader+"\r\n")
	assert.NilError(t, err)
	time.Sleep(unread)
	start(t, srv.front(), l)
	got, err := io.ReadAll(patient)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 200"), "%s", got)
	got, err = io.ReadAll(impatient)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 503"), "%s", got)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	assert.Equal(t, len(srv.deadlines), 1)
	left, err := strconv.Atoi(srv.deadlines[0])
	assert.NilError(t, err)
	// The kernel counts in steps of up to 10 ms.
	assert.Assert(t, left <= int((5*time.Second-unread).Milliseconds())+10, "%d ms", left)
}

// calm is a process that never waits for the processor.
type calm struct{}

func (calm) Late() bool              { return false }
func (calm) Standing() time.Duration { return 0 }

// A connection whose caller has left must not be read, nor keep a place among the requests in progress.
func TestConnectionsOfDepartedCallersAreNotAdmitted(t *testing.T) {
	srv := newServer(t, func(*http.Request) {})
	s := srv.front()
	began := time.Now()
	s.Intake = intake.New[net.Conn](calm{}, func() time.Duration { return time.Since(began) })
	var requests atomic.Int64
	s.OnRequest = func() { requests.Add(1) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for range 100 {
		c := dial(t, l)
		_, err := io.WriteString(c, post("/x", 20))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond) // the kernel handles the ends
	start(t, s, l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for wait.For(ctx, time.Millisecond) {
			s.Advance()
		}
	}()
	got := talk(t, l.Addr().String(), "GET /last HTTP/1.1\r\n"+finalHeader+"\r\n")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200"), got)
	assert.Equal(t, requests.Load(), int64(1))
}

// leftCounter counts the callers that were found to have left.
type leftCounter struct {
	ends
	left atomic.Int64
}

func (o *leftCounter) CallerLeft(caller.Point) { o.left.Add(1) }

// A router that stops cancels requests whose callers still wait. Guards against reporting that they left.
func TestStopOfTheRouterIsNoDeparture(t *testing.T) {
	working := make(chan struct{})
	srv := newServer(t, func(r *http.Request) {
		close(working)
		<-r.Context().Done()
	})
	s := srv.front()
	seen := &leftCounter{ends: make(ends, 64)}
	s.Observer = seen
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	start(t, s, l)
	c := dial(t, l)
	_, err = io.WriteString(c, post("/x", 20))
	assert.NilError(t, err)
	<-working
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, s.Shutdown(expired))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 502"), "%s", got)
	assert.Equal(t, seen.left.Load(), int64(0))
	assert.Equal(t, <-seen.ends, ended{EndServed, false})
}

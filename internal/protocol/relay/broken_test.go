package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/response"
)

// brokenReader returns a text and then an error.
func brokenReader(text string, err error) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{err})
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// brokenResponses are what a client returns for broken responses, by what is broken.
var brokenResponses = map[string]func() (*Response, error){
	"head":            func() (*Response, error) { return nil, errors.Wrap(response.ErrMalformed, "read response") },
	"end":             func() (*Response, error) { return unframed(response.ErrIncomplete), nil },
	"trailer":         func() (*Response, error) { return unframed(response.ErrMalformed), nil },
	"failure's end":   func() (*Response, error) { r := unframed(response.ErrIncomplete); r.Status = 500; return r, nil },
	"rejection's end": func() (*Response, error) { r := unframed(response.ErrIncomplete); r.Status = 400; return r, nil },
}

func unframed(err error) *Response {
	r := signed(http.StatusOK, brokenReader("part", err))
	r.Length, r.EndsWithConnection = -1, true
	return r
}

// Guards against a broken response that reaches the caller, a request that runs twice though it may run once, and
// a promise that a request has not run which may have.
func TestBrokenResponseEndsOrRepeatsTheRequest(t *testing.T) {
	for _, c := range []struct {
		kind     model.RouteKind
		isEngine bool
	}{{idempotent, false}, {notRepeatable, false}, {idempotent, true}, {notRepeatable, true}, {streaming, true}} {
		for name, broken := range brokenResponses {
			t.Run(fmt.Sprintf("%s, engine %t, %s", c.kind, c.isEngine, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var sentTo []string
					s := newFixture(model.Route{Kind: c.kind, MaxAttempts: 2, TargetLatency: time.Second, ResumeStreams: true}, c.isEngine, func(_ context.Context, addr string, _ *Request) (*Response, error) {
						if sentTo = append(sentTo, addr); len(sentTo) == 1 {
							return broken()
						}
						return signed(http.StatusOK, strings.NewReader("id: 1\n\n")), nil
					})
					time.Sleep(2 * time.Second) // until the slack of the retry budget may be spent
					out := &recordingWriter{}
					s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
					if c.kind == notRepeatable {
						assert.Equal(t, len(sentTo), 1)
						assert.Equal(t, out.status, http.StatusBadGateway)
						return
					}
					assert.Equal(t, len(sentTo), 2)
					assert.Assert(t, sentTo[0] != sentTo[1], "sent to the broken server again")
					assert.Equal(t, out.status, http.StatusOK)
					assert.Equal(t, out.body.String(), "id: 1\n\n")
				})
			})
		}
	}
}

// Guards against a server that looks the fastest as it breaks each response at once, and against suspecting one
// that breaks a few of many.
func TestServerThatBreaksResponsesInARowIsSuspected(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		for name, broken := range brokenResponses {
			for _, alternating := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					kind := idempotent
					if isEngine {
						kind = streaming
					}
					sends := 0
					s := newFixture(model.Route{Kind: kind, MaxAttempts: 1}, isEngine, func(context.Context, string, *Request) (*Response, error) {
						if sends++; alternating && sends%2 == 0 {
							return signed(http.StatusOK, strings.NewReader("id: 1\n\n")), nil
						}
						return broken()
					})
					s.Catalog.Remove("two", 1, 0)
					for range 4 {
						time.Sleep(10 * time.Millisecond)
						s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, &recordingWriter{})
					}
					view := s.Health.View(inc("one"))
					assert.Equal(t, view.Suspected, !alternating, "%s, engine %t, after %d", name, isEngine, sends)
					assert.Equal(t, view.Active, 0)
				})
			}
		}
	}
}

// Guards against an order that is taken for refused, though its response broke off.
func TestBrokenResponseToAnOrderTellsNothing(t *testing.T) {
	for _, status := range []int{http.StatusAccepted, http.StatusConflict, http.StatusPreconditionFailed} {
		r := &Relay{BackendClient: fakeBackend(func(context.Context, string, *Request) (*Response, error) {
			resp := unframed(errors.Wrap(syscall.ECONNRESET, "read"))
			resp.Status = status
			return resp, nil
		}), Now: time.Now}
		result, err := EngineClient{r}.Place(t.Context(), &model.BackendServer{ID: "one"}, model.LayerRange{To: 1}, 1, 1)
		assert.Assert(t, err != nil && result == placement.OrderUnknown, "status %d: %d, %v", status, result, err)
	}
}

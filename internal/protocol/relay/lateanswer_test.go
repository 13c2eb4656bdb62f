package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A late copy of the answer to a health check, which bears no request's id, arrives where the answer
// to a request is due. Guards against believing that the request did not run and running it twice,
// and against giving the copy to the caller.
func TestLateAnswerWithoutIDProvesNothing(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		for _, status := range []int{http.StatusOK, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprintf("engine %t, status %d", isEngine, status), func(t *testing.T) {
				kind := model.RouteNotRepeatable
				if isEngine {
					kind = streaming
				}
				sends := 0
				s := newFixture(model.Route{Kind: kind, MaxAttempts: 2}, isEngine, func(context.Context, string, *Request) (*Response, error) {
					sends++
					resp := signed(status, strings.NewReader("late copy"))
					resp.Header["Attempt-Id"] = nil
					if status != http.StatusOK {
						resp.Header.Set("Not-Executed", "1")
					}
					return resp, nil
				})
				out := &responseRecorder{}
				s.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, out)
				assert.Equal(t, sends, 1, "runs of a request that may run once")
				assert.Equal(t, out.status, http.StatusBadGateway)
			})
		}
	}
}

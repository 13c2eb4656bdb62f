package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// The code panics while a request is at a plain server. The server's load as seen from
// here must not count it for ever: it would look busier by one with each fault, and get
// less than its share until the router is started again.
func TestPanicReleasesActiveRequestCount(t *testing.T) {
	r := newPlainRelay(&panickingClient{}, &panicObserver{})
	out := &responseRecorder{}
	assert.Assert(t, r.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Path: "/"}, out))
	assert.Equal(t, out.status, http.StatusBadGateway)
	assert.Equal(t, r.Health.View(model.Incarnation{ID: "n"}).Active, 0)
}

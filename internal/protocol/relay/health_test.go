package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Guards against counting a request as active for ever after a panic, which would divert
// load from its server.
func TestPanicReleasesActiveRequestCount(t *testing.T) {
	r := newPlainRelay(&panickingClient{}, &panicObserver{})
	out := &responseRecorder{}
	assert.Assert(t, r.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Path: "/"}, out))
	assert.Equal(t, out.status, http.StatusBadGateway)
	assert.Equal(t, r.Health.View(model.Incarnation{ID: "n"}).Active, 0)
}

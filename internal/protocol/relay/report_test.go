package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// endlessEngine is an engine whose responses never end.
type endlessEngine struct {
	read      int
	discarded bool
}

func (e *endlessEngine) Do(context.Context, string, *Request) (*Response, error) {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: e}, nil
}

func (e *endlessEngine) CloseIdle(string) {}
func (e *endlessEngine) Close()           {}
func (e *endlessEngine) Discard()         { e.discarded = true }

func (e *endlessEngine) Read(p []byte) (int, error) {
	if e.read > 16*maxReportBytes {
		return 0, io.ErrUnexpectedEOF // ends the test if the limit is not applied
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against running out of memory by reading an unlimited report. The connection is
// not reused.
func TestEndlessReportReturnsError(t *testing.T) {
	engine := &endlessEngine{}
	r := &Relay{BackendClient: engine, Now: time.Now}
	_, err := r.Report(t.Context(), &model.BackendServer{})
	assert.ErrorIs(t, err, errReportTooLong)
	assert.Assert(t, engine.read <= 2*maxReportBytes, "%d bytes", engine.read)
	assert.Assert(t, engine.discarded)
}

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

// unending is an engine whose answers never end.
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
		return 0, io.ErrUnexpectedEOF // what reads on would read on for ever
	}
	e.read += len(p)
	return len(p), nil
}

// An engine that is out of its mind answers a report without end. What is read of it
// is bounded: in the quarter of a second that a report may take, a fast link brings
// more than a small router has memory for, and the process would be killed. The
// connection serves nothing else.
func TestEndlessReportReturnsError(t *testing.T) {
	engine := &endlessEngine{}
	r := &Relay{BackendClient: engine, Now: time.Now}
	_, err := r.Report(t.Context(), &model.BackendServer{})
	assert.ErrorIs(t, err, errReportTooLong)
	assert.Assert(t, engine.read <= 2*maxReportBytes, "%d bytes", engine.read)
	assert.Assert(t, engine.discarded)
}

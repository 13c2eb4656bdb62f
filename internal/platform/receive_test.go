package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a response that is received before there is room for it, or cut where room is asked for.
func TestResponseIsReceivedAsFarAsThereIsRoom(t *testing.T) {
	body := strings.Repeat("b", 100_000)
	for name, announced := range map[string]bool{"announced": true, "chunked": false} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !announced {
					w.(http.Flusher).Flush()
				}
				_, _ = io.WriteString(w, body)
			}))
			defer srv.Close()
			var room int64
			read, err := receive(t, srv.URL, func(n int64) error { room += n; return nil })
			assert.NilError(t, err)
			assert.Equal(t, read, body)
			assert.Assert(t, room >= receivedFactor*int64(len(body)), "room for %d bytes", room)
			full := errors.New("full")
			read, err = receive(t, srv.URL, func(int64) error { return full })
			assert.ErrorIs(t, err, full)
			assert.Equal(t, read, "")
		})
	}
}

func receive(t *testing.T, url string, take func(n int64) error) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(WithRoom(context.Background(), take), http.MethodGet, url, nil)
	assert.NilError(t, err)
	resp, err := NewHTTPClient(1).Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

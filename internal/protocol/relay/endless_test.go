package relay

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// countingBody is a body without an end. It counts what is read of it.
type countingBody struct {
	read   int
	closed bool
}

func (b *countingBody) Close()   { b.closed = true }
func (b *countingBody) Discard() {}

func (b *countingBody) Read(p []byte) (int, error) {
	if b.read > 16*maxBufferedResponse {
		return 0, io.ErrUnexpectedEOF // ends the test if nothing bounds the read
	}
	for i := range p {
		p[i] = 'x'
	}
	b.read += len(p)
	return len(p), nil
}

// A faulty server sends a body without an end. Guards against a read of any kind of response that
// keeps the body or reads on until its timeout.
func TestBodiesWithoutEndAreAbandoned(t *testing.T) {
	serve := func(f *fixture) {
		f.Serve(t.Context(), &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, &recordingWriter{})
	}
	for name, c := range map[string]struct {
		status int
		engine bool
		most   int
		call   func(f *fixture)
	}{
		"health check":         {200, false, maxHealthBytes, func(f *fixture) { _, _ = f.Healthy(t.Context(), f.Catalog.Load().ByID("one")) }},
		"report":               {200, true, maxReportBytes, func(f *fixture) { _, _ = f.Report(t.Context(), f.Catalog.Load().ByID("one")) }},
		"order":                {202, true, maxOrderResponseBytes, func(f *fixture) { _ = f.Reroute(t.Context(), f.Catalog.Load().ByID("one"), "1", nil) }},
		"answer":               {200, false, maxBufferedResponse, serve},
		"failure of a server":  {500, false, maxBufferedResponse, serve},
		"refusal of a server":  {503, false, maxBufferedResponse, serve},
		"stream":               {200, true, maxEventBytes, serve},
		"failure of an engine": {500, true, maxBufferedResponse, serve},
	} {
		t.Run(name, func(t *testing.T) {
			var bodies []*countingBody
			f := newFixture(model.Route{Kind: model.RouteStreaming, MaxAttempts: 1}, c.engine, func(context.Context, string, *Request) (*Response, error) {
				b := &countingBody{}
				bodies = append(bodies, b)
				h := http.Header{}
				h.Set("Response-Signature", "sig")
				return &Response{Status: c.status, Header: h, Body: b}, nil
			})
			cfg := *f.Config.Load().Config
			cfg.Version++
			cfg.Services[0].HealthPath = "/health"
			f.Config.Apply(&cfg, nil, "")
			c.call(f)
			assert.Assert(t, len(bodies) > 0)
			for _, b := range bodies {
				assert.Assert(t, b.read <= 4*c.most, "%d bytes read, the bound is %d", b.read, c.most)
				assert.Assert(t, b.closed, "the connection stays open")
			}
		})
	}
}

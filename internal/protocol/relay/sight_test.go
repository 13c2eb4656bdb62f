package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

// logBuffer records log output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// linesWith returns the logged lines with a message.
func (l *logBuffer) linesWith(msg string) []string {
	klog.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		if strings.Contains(line, `"`+msg+`"`) {
			out = append(out, line)
		}
	}
	return out
}

func captureLog(t *testing.T) *logBuffer {
	l := &logBuffer{}
	klog.LogToStderr(false)
	klog.SetOutput(l)
	t.Cleanup(func() {
		klog.SetOutput(io.Discard)
		klog.LogToStderr(true)
	})
	return l
}

// stalledBody is a stream that sends one event and then blocks until its context ends.
type stalledBody struct {
	ctx  context.Context
	read bool
}

func (d *stalledBody) Read(p []byte) (int, error) {
	if !d.read {
		d.read = true
		return copy(p, "id: 1\ndata: a\n\n"), nil
	}
	<-d.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// Guards against log lines that do not show whether an ended request was sent and whether
// its response had begun.
func TestRequestLogContainsProgress(t *testing.T) {
	sent := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, io.ErrUnexpectedEOF
	}
	unsent := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, errNotConnected
	}
	begun := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		return signed(http.StatusOK, &stalledBody{ctx: ctx}), nil
	}
	for _, at := range []struct {
		progress string
		do       fakeBackend
		full     bool
		reason   string
		isSent   string
	}{
		{"waiting for room", unsent, true, "", ""},
		{"before sending", unsent, false, "caller left", "false"},
		{"sent", sent, false, "caller left", "true"},
		{"begun", begun, false, "caller left", "true"},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := captureLog(t)
			s := newFixture(model.Route{Kind: streaming, MaxAttempts: 2, TargetLatency: time.Second}, true, at.do)
			if at.full {
				s.Usage.Reserve(s.stages("one")[:1], 1e9)
				s.Usage.Reserve(s.stages("two")[1:], 1e9)
			}
			ctx, disconnect := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, disconnect)
			s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/", MaxAnswerTokens: 5}, &recordingWriter{})
			end := log.linesWith("request ended")
			assert.Equal(t, len(end), 1)
			assert.Check(t, strings.Contains(end[0], `progress="`+at.progress+`"`), end[0])
			lost := log.linesWith("run on chain failed")
			if at.reason == "" {
				assert.Equal(t, len(lost), 0)
				return
			}
			assert.Equal(t, len(lost), 1)
			assert.Check(t, strings.Contains(lost[0], `why="`+at.reason+`" sent=`+at.isSent), lost[0])
		})
	}
}

// Guards against a failed attempt whose log line does not contain the reason.
func TestFailedAttemptLogContainsReason(t *testing.T) {
	hangs := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, io.ErrUnexpectedEOF
	}
	for _, at := range []struct {
		reason string
		do     fakeBackend
		after  func(s *fixture, disconnect func())
	}{
		{"caller left", hangs, func(_ *fixture, disconnect func()) { disconnect() }},
		{"deadline", hangs, func(*fixture, func()) {}},
		{"engine gone", hangs, func(s *fixture, _ func()) { s.HandleEngineExit(inc("one")) }},
		{"no connection", func(context.Context, string, *Request) (*Response, error) { return nil, errNotConnected }, func(*fixture, func()) {}},
		{"broken off", func(ctx context.Context, _ string, _ *Request) (*Response, error) {
			wait.For(ctx, 10*time.Millisecond)
			return nil, io.ErrUnexpectedEOF
		}, func(*fixture, func()) {}},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := captureLog(t)
			s := newFixture(model.Route{Kind: notRepeatable, MaxAttempts: 1, Timeout: 2 * time.Second}, false, at.do)
			s.Catalog.Remove("two", 1, 0)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			time.AfterFunc(time.Second, func() { at.after(s, disconnect) })
			s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, &recordingWriter{})
			lost := log.linesWith("attempt failed")
			assert.Equal(t, len(lost), 1)
			assert.Check(t, strings.Contains(lost[0], `why="`+at.reason+`"`), lost[0])
		})
	}
}

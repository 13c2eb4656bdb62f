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

// lines keeps what is logged.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// of gives the lines with a message.
func (l *lines) of(msg string) []string {
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

func logged(t *testing.T) *lines {
	l := &lines{}
	klog.LogToStderr(false)
	klog.SetOutput(l)
	t.Cleanup(func() {
		klog.SetOutput(io.Discard)
		klog.LogToStderr(true)
	})
	return l
}

// dripping is a stream that gives one event and then nothing until its context ends.
type dripping struct {
	ctx  context.Context
	read bool
}

func (d *dripping) Read(p []byte) (int, error) {
	if !d.read {
		d.read = true
		return copy(p, "id: 1\ndata: a\n\n"), nil
	}
	<-d.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// A caller leaves, or its time ends. Whoever reads the log learns how far the request
// was: only one that was sent cost an engine's work, and only one that was begun had
// something of its answer.
func TestEndTellsHowFarTheRequestWas(t *testing.T) {
	sent := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, io.ErrUnexpectedEOF
	}
	unsent := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, errNoConnection
	}
	begun := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		return signed(http.StatusOK, &dripping{ctx: ctx}), nil
	}
	for _, at := range []struct {
		progress string
		do       script
		full     bool
		why      string
		isSent   string
	}{
		{"waiting for room", unsent, true, "", ""},
		{"before sending", unsent, false, "caller left", "false"},
		{"sent", sent, false, "caller left", "true"},
		{"begun", begun, false, "caller left", "true"},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := logged(t)
			s := newSite(model.Route{Kind: streaming, MaxAttempts: 2, TargetLatency: time.Second}, true, at.do)
			if at.full {
				s.Memory.Reserve(s.parts("one")[:1], 1e9)
				s.Memory.Reserve(s.parts("two")[1:], 1e9)
			}
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, leave)
			s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/", MaxAnswerTokens: 5}, &listener{})
			end := log.of("request ended")
			assert.Equal(t, len(end), 1)
			assert.Check(t, strings.Contains(end[0], `progress="`+at.progress+`"`), end[0])
			lost := log.of("chain lost")
			if at.why == "" {
				assert.Equal(t, len(lost), 0)
				return
			}
			assert.Equal(t, len(lost), 1)
			assert.Check(t, strings.Contains(lost[0], `why="`+at.why+`" sent=`+at.isSent), lost[0])
		})
	}
}

// Each way in which a run at a plain server ends has its own word in one line.
func TestLostAnswerTellsWhy(t *testing.T) {
	hangs := func(ctx context.Context, _ string, _ *Request) (*Response, error) {
		<-ctx.Done()
		return nil, io.ErrUnexpectedEOF
	}
	for _, at := range []struct {
		why   string
		do    script
		after func(s *site, leave func())
	}{
		{"caller left", hangs, func(_ *site, leave func()) { leave() }},
		{"deadline", hangs, func(*site, func()) {}},
		{"engine gone", hangs, func(s *site, _ func()) { s.HandleEngineExit(inc("one")) }},
		{"no connection", func(context.Context, string, *Request) (*Response, error) { return nil, errNoConnection }, func(*site, func()) {}},
		{"broken off", func(ctx context.Context, _ string, _ *Request) (*Response, error) {
			wait.For(ctx, 10*time.Millisecond)
			return nil, io.ErrUnexpectedEOF
		}, func(*site, func()) {}},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := logged(t)
			s := newSite(model.Route{Kind: notRepeatable, MaxAttempts: 1, Timeout: 2 * time.Second}, false, at.do)
			s.Catalog.Remove("two", 1, 0)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			time.AfterFunc(time.Second, func() { at.after(s, leave) })
			s.Serve(ctx, &model.Call{Attempt: "1", Method: "POST", Host: "h", Path: "/"}, &listener{})
			lost := log.of("answer lost")
			assert.Equal(t, len(lost), 1)
			assert.Check(t, strings.Contains(lost[0], `why="`+at.why+`"`), lost[0])
		})
	}
}

// Package logging writes log lines to standard output without blocking the requests that log.
package logging

import (
	"flag"
	"io"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines and maxQueuedBytes are the maximum number and size of the lines that wait to be
	// written. Further lines are dropped and counted.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// maxLineBytes is the maximum length of a line. Callers choose the length of the ids in it. The rest
	// of a longer line is not written.
	maxLineBytes = 8 << 10
	// maxLinesPerSecond is the maximum number of lines written per second. An instance writes two
	// lines a request, for fewer than a hundred requests per second.
	maxLinesPerSecond = 2000
	// flushTimeout is the maximum time for which Close waits for queued lines.
	flushTimeout = 300 * time.Millisecond
)

// Writer passes lines to a goroutine that writes them.
type Writer struct {
	lines   chan []byte
	queued  atomic.Int64 // bytes of the lines
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}

	// mu prevents a send on lines after Close has closed it. Requests and links may log after
	// that.
	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a writer to out and starts its goroutine. Close must be called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails. Lines written after Close
// are dropped.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := truncated(p)
	if w.queued.Add(int64(len(line))) > maxQueuedBytes {
		w.drop(line)
		return len(p), nil
	}
	select {
	case w.lines <- line:
	default:
		w.drop(line)
	}
	return len(p), nil
}

// drop counts a line that is not queued.
func (w *Writer) drop(line []byte) {
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
}

// truncated returns a copy of a line, without what exceeds maxLineBytes.
func truncated(line []byte) []byte {
	const mark = " [truncated]\n"
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	kept := make([]byte, 0, maxLineBytes)
	return append(append(kept, line[:maxLineBytes-len(mark)]...), mark...)
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	windowStart := time.Now()
	written := 0
	reportedDrops := int64(0)
	for line := range w.lines {
		w.queued.Add(-int64(len(line)))
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart = now
			written = 0
			if n := w.dropped.Load(); n != reportedDrops {
				w.emit([]byte("log lines dropped so far: " + strconv.FormatInt(n, 10) + "\n"))
				reportedDrops = n
			}
		}
		if written++; written > maxLinesPerSecond {
			w.dropped.Add(1)
			continue
		}
		w.emit(line)
	}
}

// emit writes a line. A line whose write fails counts as dropped.
func (w *Writer) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Close stops accepting lines and waits up to flushTimeout until the queued ones are written.
func (w *Writer) Close() {
	w.stopAccepting()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// stopAccepting stops accepting lines.
func (w *Writer) stopAccepting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// ToStdout directs klog's output to standard output through a Writer, which the caller must
// close.
func ToStdout(flags *flag.FlagSet) (*Writer, error) {
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "4", "one_output": "true", "skip_headers": "false"} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	// By default a write to standard output without a reader ends a Go process. If SIGPIPE is
	// ignored, the write fails instead.
	signal.Ignore(syscall.SIGPIPE)
	w := NewWriter(os.Stdout)
	klog.SetOutput(w)
	return w, nil
}

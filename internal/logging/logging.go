// Package logging writes structured lines to standard output without ever
// making a request wait for a reader.
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
	// queued bounds the lines that wait to be written; at some 400 bytes a
	// line that is under 2 MB. What comes beyond is dropped and counted.
	queued = 4096
	// perSecond bounds the lines written in a second. An instance of the
	// usual size handles under a hundred requests a second, at two lines each.
	perSecond = 2000
	// flushWait bounds what a stop waits for lines that are not written yet.
	flushWait = 300 * time.Millisecond
)

// Writer hands lines to a goroutine that writes them.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}

	// mu keeps Close from closing lines under a Write: requests and links that
	// outlive a stop still log, and a send on a closed channel ends the process.
	mu     sync.RWMutex
	closed bool
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queued), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never waits and never fails. Lines that come after
// Close are dropped.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	second := time.Now()
	written := 0
	reported := int64(0)
	for line := range w.lines {
		if now := time.Now(); now.Sub(second) >= time.Second {
			second = now
			written = 0
			if n := w.dropped.Load(); n != reported {
				w.emit([]byte("log lines dropped so far: " + strconv.FormatInt(n, 10) + "\n"))
				reported = n
			}
		}
		if written++; written > perSecond {
			w.dropped.Add(1)
			continue
		}
		w.emit(line)
	}
}

// emit writes a line. There is nowhere to report that standard output is gone; the
// line counts as dropped.
func (w *Writer) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Close writes what waits, for a short time at most.
func (w *Writer) Close() {
	w.end()
	select {
	case <-w.done:
	case <-time.After(flushWait):
	}
}

// end takes no more lines.
func (w *Writer) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// ToStdout sends klog's lines to standard output through a Writer.
func ToStdout(flags *flag.FlagSet) (*Writer, error) {
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "4", "one_output": "true", "skip_headers": "false"} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	// Go ends a program whose standard output has lost its reader at the next write,
	// and with it every request that it serves. Ignored, the write fails instead.
	signal.Ignore(syscall.SIGPIPE)
	w := NewWriter(os.Stdout)
	klog.SetOutput(w)
	return w, nil
}

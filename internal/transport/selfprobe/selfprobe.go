// Package selfprobe measures how late this process handles network events: it writes to a pipe of
// its own, whose end is read like a connection.
package selfprobe

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
)

// Run probes every processor.ProbeInterval, and at once after a late probe, until ctx ends, and calls ended after each probe. It returns an error if there is no
// pipe.
func Run(ctx context.Context, m *processor.Monitor, ended func()) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "open pipe for probes")
	}
	defer w.Close()
	handled := make(chan bool, 1)
	go handle(r, m, handled)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for due := m.Now(); ; {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		m.Begin(due)
		if _, err := w.Write([]byte{0}); err != nil {
			return errors.Wrap(err, "write to pipe for probes")
		}
		pause := time.Duration(0)
		if onTime := <-handled; onTime {
			pause = processor.ProbeInterval
		}
		ended()
		due = m.Now() + pause
		timer.Reset(pause)
	}
}

// handle ends a probe with each byte that arrives, until the pipe is closed.
func handle(r *os.File, m *processor.Monitor, handled chan<- bool) {
	defer r.Close()
	buf := make([]byte, 1)
	for {
		if _, err := r.Read(buf); err != nil {
			return
		}
		handled <- m.End()
	}
}

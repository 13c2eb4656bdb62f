// Package selfprobe measures how late this process handles network events. It writes a byte into a
// pipe and reads it at the other end, through the same poller as connections.
package selfprobe

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
)

// Run probes until ctx ends. It calls ended after each probe. The next one follows after
// processor.ProbeInterval, or at once if the last one was late or ended returned true. Run returns an
// error if there is no pipe.
func Run(ctx context.Context, m *processor.Monitor, ended func() (again bool)) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "open pipe for probes")
	}
	defer w.Close()
	defer m.Stop()
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
		onTime := <-handled
		pause := processor.ProbeInterval
		if again := ended(); again || !onTime {
			pause = 0
		}
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

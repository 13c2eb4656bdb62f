// Package stage is one stage's part in a pipeline request: it takes inputs
// strictly in position order, each once, keeps its outputs, and sends them on
// under the current epoch. It does no input or output itself; see Session.Run.
package stage

import (
	"context"
	"fmt"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// maxBatch bounds the positions of one engine step, so that a long prompt does
// not hold up the engine's other sessions.
const maxBatch = 128

// maxEarly bounds inputs kept for later positions, which come when the prompt
// and the ring of tokens take different ways.
const maxEarly = 1 << 16

// Engine runs the stage's layers on consecutive positions.
type Engine func(ctx context.Context, position int64, inputs [][]byte) ([][]byte, error)

// Sender passes results on.
type Sender interface {
	// Forward sends inputs to a stage.
	Forward(ctx context.Context, to wire.Stage, f wire.Forward) error
	// Tokens sends generated tokens to the owner of a request.
	Tokens(ctx context.Context, owner wire.Stage, t wire.Tokens) error
	// NoStage tells the process at addr that what it forwarded has no stage.
	NoStage(ctx context.Context, addr string, n wire.NoStage) error
	// StageFailed tells the owner at addr that a stage cannot go on.
	StageFailed(ctx context.Context, addr string, f wire.StageFailed) error
}

// Session is one request at one stage.
type Session struct {
	key    wire.RunKey
	engine Engine
	send   Sender
	wake   chan struct{} // buffered by one

	mu       sync.Mutex
	open     wire.Open // of the current epoch
	resumed  bool
	accepted int64            // next position to take
	early    map[int64][]byte // inputs of later positions
	inputs   [][]byte         // accepted, not yet run
	outputs  [][]byte         // of positions 0..len
	toNext   int64            // next position to send to the next stage
	toOwner  int64            // last stage: next token to send to the owner
	toFirst  int64            // last stage: next position to send to the first stage
	broken   error            // the engine failed: the session cannot go on
}

// New makes a session; Run drives it.
func New(open wire.Open, engine Engine, send Sender) *Session {
	return &Session{
		key:    open.Key,
		engine: engine,
		send:   send,
		wake:   make(chan struct{}, 1),
		open:   open,
		early:  map[int64][]byte{},
	}
}

func (s *Session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reopen moves the session to a higher epoch. Nothing is sent until Resume. It
// gives the next position that the stage takes.
func (s *Session) Reopen(open wire.Open) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return 0, fault.New(fault.BackendFailed, "stage is broken: %v", s.broken)
	}
	if open.Epoch < s.open.Epoch {
		return 0, fault.New(fault.Cancelled, "epoch %d is old, now %d", open.Epoch, s.open.Epoch)
	}
	if open.Epoch > s.open.Epoch {
		if open.Chain[open.Index].Range != s.hop().Range {
			return 0, fault.New(fault.InvalidRequest, "a stage keeps its layers over epochs")
		}
		s.open = open
		s.resumed = false
	}
	return s.accepted, nil
}

// Resume lets the stage send from what its receivers lack.
func (s *Session) Resume(r wire.Resume) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch != s.open.Epoch {
		return fault.New(fault.Cancelled, "epoch %d, now %d", r.Epoch, s.open.Epoch)
	}
	s.resumed = true
	s.toNext = r.NextInput
	s.toOwner = r.NextToken
	s.toFirst = r.FirstNext
	s.signal()
	return nil
}

// Accept takes inputs in. Positions taken before are dropped: running them
// again would run the layers twice. Later positions wait for the missing ones.
func (s *Session) Accept(f wire.Forward) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Epoch != s.open.Epoch {
		return fault.New(fault.Cancelled, "epoch %d, now %d", f.Epoch, s.open.Epoch)
	}
	if f.Position+int64(len(f.Data)) > s.accepted+maxEarly {
		return fault.New(fault.TooLarge, "position %d is too far ahead of %d", f.Position, s.accepted)
	}
	for i, in := range f.Data {
		if pos := f.Position + int64(i); pos >= s.accepted {
			s.early[pos] = in
		}
	}
	s.promote()
	return nil
}

func (s *Session) promote() {
	for {
		in, ok := s.early[s.accepted]
		if !ok {
			return
		}
		delete(s.early, s.accepted)
		s.inputs = append(s.inputs, in)
		s.accepted++
		s.signal()
	}
}

// Run drives the session until ctx ends or the engine fails.
func (s *Session) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if !s.turn(ctx) {
			return
		}
	}
}

// turn runs the engine until no input waits, sending as it goes.
func (s *Session) turn(ctx context.Context) bool {
	for {
		s.flush(ctx)
		pos, batch := s.nextBatch()
		if len(batch) == 0 {
			return true
		}
		out, err := s.engine(ctx, pos, batch)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			s.fail(ctx, err)
			return false
		}
		s.store(pos, batch, out)
	}
}

func (s *Session) nextBatch() (int64, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.inputs), maxBatch)
	return int64(len(s.outputs)), s.inputs[:n:n]
}

// store keeps the outputs of a step. The invariant of the whole pipeline is
// asserted here, always: each position goes through the layers once, in order.
func (s *Session) store(pos int64, batch, out [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos != int64(len(s.outputs)) || len(out) != len(batch) {
		panic(fmt.Sprintf("stage %s of %s: ran position %d x%d with %d outputs, next was %d",
			s.hop().Range, s.key, pos, len(batch), len(out), len(s.outputs)))
	}
	s.inputs = s.inputs[len(batch):]
	s.outputs = append(s.outputs, out...)
	if int64(len(s.outputs)+len(s.inputs)) != s.accepted {
		panic(fmt.Sprintf("stage %s of %s: %d outputs and %d inputs, accepted %d",
			s.hop().Range, s.key, len(s.outputs), len(s.inputs), s.accepted))
	}
}

func (s *Session) fail(ctx context.Context, err error) {
	s.mu.Lock()
	s.broken = err
	owner := s.open.Owner
	f := wire.StageFailed{Key: s.key, Epoch: s.open.Epoch, Address: s.hop().Address, Cause: err.Error()}
	s.mu.Unlock()
	_ = s.send.StageFailed(ctx, owner, f)
}

// ReportMissingStage takes in that the stage at addr does not know this request, and tells
// the owner.
func (s *Session) ReportMissingStage(ctx context.Context, addr string, epoch int64) {
	s.mu.Lock()
	owner := s.open.Owner
	f := wire.StageFailed{Key: s.key, Epoch: epoch, Address: addr, Cause: "no stage is open there"}
	s.mu.Unlock()
	_ = s.send.StageFailed(ctx, owner, f)
}

func (s *Session) hop() wire.Stage { return s.open.Chain[s.open.Index] }

func (s *Session) last() bool { return s.open.Index == len(s.open.Chain)-1 }

// Positions tells how many positions were taken and how many run.
func (s *Session) Positions() (accepted, ran int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, int64(len(s.outputs))
}

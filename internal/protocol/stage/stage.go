// Package stage implements one stage of a pipeline request. A stage accepts inputs
// strictly in order of position and each position once, keeps its outputs, and sends
// them under the current epoch. It does no I/O of its own: see Engine and Sender.
package stage

import (
	"context"
	"fmt"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// maxBatch is the maximum number of positions in one engine step, so that a long prompt
// does not delay the engine's other sessions.
const maxBatch = 128

// maxEarly is the maximum number of positions that inputs may be ahead of the next one.
// Inputs arrive out of order because prompt and tokens take different paths.
const maxEarly = 1 << 16

// Engine runs the stage's layers on consecutive positions.
type Engine func(ctx context.Context, position int64, inputs [][]byte) ([][]byte, error)

// Sender sends a stage's messages to other processes.
type Sender interface {
	// Forward sends inputs to a stage.
	Forward(ctx context.Context, to wire.Stage, f wire.Forward) error
	// Tokens sends generated tokens to the owner of a request.
	Tokens(ctx context.Context, owner wire.Stage, t wire.Tokens) error
	// NoStage notifies the process at addr that there is no open stage for its Forward
	// message.
	NoStage(ctx context.Context, addr string, n wire.NoStage) error
	// StageFailed notifies the owner at addr that a stage cannot continue.
	StageFailed(ctx context.Context, addr string, f wire.StageFailed) error
}

// Session is the state of one request at one stage.
type Session struct {
	key    wire.RunKey
	engine Engine
	send   Sender
	wake   chan struct{} // buffered by one

	mu        sync.Mutex
	open      wire.Open // of the current epoch
	resumed   bool
	accepted  int64            // next position to accept
	early     map[int64][]byte // inputs of later positions
	inputs    [][]byte         // accepted, not yet run
	outputs   [][]byte         // of positions 0 to len-1
	toNext    int64            // next position to send to the next stage
	toOwner   int64            // last stage: next token to send to the owner
	toFirst   int64            // last stage: next position to send to the first stage
	engineErr error            // set if the engine failed; the session cannot continue
}

// New returns a session. Run processes its inputs.
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

func (s *Session) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Reopen moves the session to a higher epoch and returns the next position that it
// accepts. The session sends nothing until Resume. A failed session returns a
// BackendFailed error.
func (s *Session) Reopen(open wire.Open) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engineErr != nil {
		return 0, fault.New(fault.BackendFailed, "stage failed: %v", s.engineErr)
	}
	if open.Epoch < s.open.Epoch {
		return 0, fault.New(fault.Cancelled, "epoch %d is outdated, current epoch is %d", open.Epoch, s.open.Epoch)
	}
	if open.Epoch > s.open.Epoch {
		if open.Chain[open.Index].Range != s.currentStage().Range {
			return 0, fault.New(fault.InvalidRequest, "layers of an open stage cannot change")
		}
		s.open = open
		s.resumed = false
	}
	return s.accepted, nil
}

// Resume allows the stage to send, starting at what each receiver is missing.
func (s *Session) Resume(r wire.Resume) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch != s.open.Epoch {
		return fault.New(fault.Cancelled, "message is for epoch %d, current epoch is %d", r.Epoch, s.open.Epoch)
	}
	s.resumed = true
	s.toNext = r.NextInput
	s.toOwner = r.NextToken
	s.toFirst = r.FirstNext
	s.wakeRun()
	return nil
}

// Accept adds inputs. Positions accepted before are dropped because running them again
// would change the engine's state. Later positions are kept until the missing ones
// arrive.
func (s *Session) Accept(f wire.Forward) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Epoch != s.open.Epoch {
		return fault.New(fault.Cancelled, "message is for epoch %d, current epoch is %d", f.Epoch, s.open.Epoch)
	}
	if f.Position+int64(len(f.Data)) > s.accepted+maxEarly {
		return fault.New(fault.TooLarge, "position %d is too far ahead of the next position %d", f.Position, s.accepted)
	}
	for i, in := range f.Data {
		if pos := f.Position + int64(i); pos >= s.accepted {
			s.early[pos] = in
		}
	}
	s.acceptEarly()
	return nil
}

func (s *Session) acceptEarly() {
	for {
		in, ok := s.early[s.accepted]
		if !ok {
			return
		}
		delete(s.early, s.accepted)
		s.inputs = append(s.inputs, in)
		s.accepted++
		s.wakeRun()
	}
}

// Run processes inputs until ctx is done or the engine fails.
func (s *Session) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if !s.processInputs(ctx) {
			return
		}
	}
}

// processInputs runs the engine until no accepted input is left and sends outputs after
// each step. It returns false if the session cannot continue.
func (s *Session) processInputs(ctx context.Context) bool {
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
		s.storeOutputs(pos, batch, out)
	}
}

func (s *Session) nextBatch() (int64, [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.inputs), maxBatch)
	return int64(len(s.outputs)), s.inputs[:n:n]
}

// storeOutputs stores the outputs of a step. It panics if a position would run twice or
// out of order.
func (s *Session) storeOutputs(pos int64, batch, out [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos != int64(len(s.outputs)) || len(out) != len(batch) {
		panic(fmt.Sprintf("stage %s of %s: ran position %d x%d with %d outputs, next was %d",
			s.currentStage().Range, s.key, pos, len(batch), len(out), len(s.outputs)))
	}
	s.inputs = s.inputs[len(batch):]
	s.outputs = append(s.outputs, out...)
	if int64(len(s.outputs)+len(s.inputs)) != s.accepted {
		panic(fmt.Sprintf("stage %s of %s: %d outputs and %d inputs, accepted %d",
			s.currentStage().Range, s.key, len(s.outputs), len(s.inputs), s.accepted))
	}
}

func (s *Session) fail(ctx context.Context, err error) {
	s.mu.Lock()
	s.engineErr = err
	owner := s.open.Owner
	f := wire.StageFailed{Key: s.key, Epoch: s.open.Epoch, Address: s.currentStage().Address, Cause: err.Error()}
	s.mu.Unlock()
	_ = s.send.StageFailed(ctx, owner, f)
}

// ReportMissingStage notifies the owner that the stage at addr has no record of the
// request.
func (s *Session) ReportMissingStage(ctx context.Context, addr string, epoch int64) {
	s.mu.Lock()
	owner := s.open.Owner
	f := wire.StageFailed{Key: s.key, Epoch: epoch, Address: addr, Cause: "no stage is open there"}
	s.mu.Unlock()
	_ = s.send.StageFailed(ctx, owner, f)
}

func (s *Session) currentStage() wire.Stage { return s.open.Chain[s.open.Index] }

func (s *Session) last() bool { return s.open.Index == len(s.open.Chain)-1 }

// Positions returns the number of positions accepted and the number run.
func (s *Session) Positions() (accepted, ran int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, int64(len(s.outputs))
}

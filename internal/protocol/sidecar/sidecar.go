// Package sidecar is the process beside one backend server: its gate, its
// stages of pipelines, its calls of a plain service.
package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/stage"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// ownerSilence is how long an entry may be silent before its stages are ended
// here: work for an entry that is gone only takes places from others. Heartbeats
// come every half second in a small fleet, every eight in a large one.
const ownerSilence = 20 * time.Second

// Backend is the backend server beside the sidecar: one of the two is set.
type Backend struct {
	Engine platform.Engine
	Plain  platform.Plain
	Fence  int64
	// Limiter learns from the engine's steps how many sessions it serves well.
	Limiter *limits.ConcurrencyLimiter
}

// Sidecar is one incarnation.
type Sidecar struct {
	address string
	gate    *gate.Gate
	backend Backend
	send    stage.Sender
	events  *events.Log
	now     func() time.Time

	mu       sync.Mutex // guards opening and ending sessions
	sessions *shard.Map[string, *session]
	heard    *shard.Map[string, time.Time] // by entry address
}

// session is an open stage and its place at the gate.
type session struct {
	*stage.Session
	open   wire.Open
	ticket *gate.Ticket
	cancel context.CancelFunc
	ended  chan struct{} // closed when the place was given back
	name   string        // at the engine
}

// New makes a sidecar reached at a link address.
func New(address string, g *gate.Gate, b Backend, send stage.Sender, log *events.Log, now func() time.Time) *Sidecar {
	return &Sidecar{
		address:  address,
		gate:     g,
		backend:  b,
		send:     send,
		events:   log,
		now:      now,
		sessions: shard.New[string, *session](),
		heard:    shard.New[string, time.Time](),
	}
}

// Gate gives the sidecar's gate.
func (s *Sidecar) Gate() *gate.Gate { return s.gate }

// RecordContact notes that an entry is alive.
func (s *Sidecar) RecordContact(entry string) { s.heard.Put(entry, s.now()) }

// Open opens a stage or moves an open one to a higher epoch.
func (s *Sidecar) Open(_ context.Context, from string, o wire.Open) (wire.OpenReply, error) {
	s.RecordContact(from)
	if o.Index < 0 || o.Index >= len(o.Chain) || o.Prompt < 1 {
		return wire.OpenReply{}, fault.New(fault.InvalidRequest, "stage %d of %d", o.Index, len(o.Chain))
	}
	if s.backend.Engine == nil {
		return wire.OpenReply{}, fault.New(fault.InvalidRequest, "no engine here")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses, ok := s.sessions.Get(o.Key.String()); ok {
		next, err := ses.Reopen(o)
		_, ran := ses.Positions()
		return wire.OpenReply{Next: next, Ran: ran, Load: s.gate.Load()}, err
	}
	ticket, err := s.gate.Reserve(gate.Request{
		Key:           o.Key,
		Attempt:       o.Epoch,
		Incarnation:   o.Chain[o.Index].Incarnation,
		Deadline:      o.Deadline,
		RetainUntil:   o.RetainUntil,
		Priority:      o.Priority,
		NotRepeatable: o.Key.Run == "",
		CreatedAt:     madeAt(o.Key.ID),
	}, false)
	if err != nil {
		return wire.OpenReply{}, err
	}
	s.begin(o, ticket)
	return wire.OpenReply{Load: s.gate.Load()}, nil
}

func (s *Sidecar) begin(o wire.Open, ticket *gate.Ticket) {
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	ses := &session{open: o, ticket: ticket, cancel: cancel, ended: make(chan struct{})}
	// The name is this session's alone: a stage opened again for the same run
	// starts from nothing at the engine.
	ses.name = fmt.Sprintf("%s/%d", o.Key, o.Epoch)
	ses.Session = stage.New(o, s.engineFor(ses), s.send)
	s.sessions.Put(o.Key.String(), ses)
	s.events.Add(o.Key.RequestKey, events.GateOpened, o.Chain[o.Index].Range.String())
	go func() {
		ses.Run(ctx)
		cancel()
		s.end(ses)
	}()
}

// engineFor is the one way from a stage to the engine: through the gate's word.
func (s *Sidecar) engineFor(ses *session) stage.Engine {
	started := false
	hop := ses.open.Chain[ses.open.Index]
	return func(ctx context.Context, pos int64, inputs [][]byte) ([][]byte, error) {
		if !started {
			if !ses.ticket.Start() {
				return nil, fault.New(fault.Cancelled, "cancelled before it started")
			}
			started = true
			s.events.Add(ses.open.Key.RequestKey, events.Started, "layers "+hop.Range.String())
			s.log(ses.open.Key, hop.Incarnation)
		}
		began := s.now()
		out, err := s.backend.Engine.Step(ctx, platform.Step{
			Session:  ses.name,
			Range:    hop.Range,
			Position: pos,
			Inputs:   inputs,
			Priority: ses.open.Priority,
			Fence:    s.backend.Fence,
		})
		// Prompts take longer by their length; single positions tell the load.
		if err == nil && len(inputs) == 1 {
			s.backend.Limiter.RecordStep(s.now().Sub(began), s.gate.Load().Active)
		}
		return out, err
	}
}

// endTimeout bounds telling the engine that a session is over.
const endTimeout = 2 * time.Second

func (s *Sidecar) end(ses *session) {
	s.mu.Lock()
	if cur, ok := s.sessions.Get(ses.open.Key.String()); ok && cur == ses {
		s.sessions.Delete(ses.open.Key.String())
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_ = s.backend.Engine.EndSession(ctx, ses.name, s.backend.Fence)
	ses.ticket.Finish(nil)
	close(ses.ended)
	_, ran := ses.Positions()
	s.events.Add(ses.open.Key.RequestKey, events.SessionEnded, fmt.Sprintf("%d positions ran", ran))
}

// Resume lets a stage send.
func (s *Sidecar) Resume(_ context.Context, from string, r wire.Resume) (struct{}, error) {
	s.RecordContact(from)
	ses, ok := s.sessions.Get(r.Key.String())
	if !ok {
		return struct{}{}, fault.New(fault.NotFound, "no stage is open for %s", r.Key)
	}
	return struct{}{}, ses.Resume(r)
}

// Forward takes inputs in. Those for a stage that is not open are dropped and
// the sender is told: this sidecar may have been replaced under the request, and
// the owner would notice only by the tokens that fail to come.
func (s *Sidecar) Forward(ctx context.Context, from string, f wire.Forward) {
	ses, ok := s.sessions.Get(f.Key.String())
	if !ok {
		go func() { _ = s.send.NoStage(ctx, from, wire.NoStage{Key: f.Key, Epoch: f.Epoch}) }()
		return
	}
	// An old epoch's inputs are refused; nobody waits for the answer.
	_ = ses.Accept(f)
}

// NoStage takes in that another stage does not know a request.
func (s *Sidecar) NoStage(ctx context.Context, from string, n wire.NoStage) (struct{}, error) {
	if ses, ok := s.sessions.Get(n.Key.String()); ok {
		go ses.ReportMissingStage(ctx, from, n.Epoch)
	}
	return struct{}{}, nil
}

// Close ends a stage. The reply tells the load without it.
func (s *Sidecar) Close(ctx context.Context, _ string, c wire.Close) (wire.CloseReply, error) {
	if ses, ok := s.sessions.Get(c.Key.String()); ok {
		ses.cancel()
		select {
		case <-ses.ended:
		case <-ctx.Done():
		}
	}
	return wire.CloseReply{Load: s.gate.Load()}, nil
}

// Call carries out one call of the plain service.
func (s *Sidecar) Call(ctx context.Context, from string, c wire.Call) (wire.CallReply, error) {
	s.RecordContact(from)
	if s.backend.Plain == nil {
		return wire.CallReply{}, fault.New(fault.InvalidRequest, "no plain service here")
	}
	ticket, err := s.gate.Reserve(gate.Request{
		Key:           c.Key,
		Attempt:       c.Attempt,
		Incarnation:   c.Incarnation,
		Deadline:      c.Deadline,
		RetainUntil:   c.RetainUntil,
		Priority:      c.Priority,
		NotRepeatable: c.NotRepeatable,
		CreatedAt:     madeAt(c.Key.ID),
	}, true)
	if err != nil {
		return wire.CallReply{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	select {
	case <-ticket.Ready():
	case <-ticket.Shed():
		ticket.Finish(nil)
		return wire.CallReply{}, fault.New(fault.Overloaded, "given up for a request worth more")
	case <-ctx.Done():
		ticket.Finish(nil)
		return wire.CallReply{}, fault.New(fault.Deadline, "deadline passed while waiting at the gate")
	}
	if !ticket.Start() {
		ticket.Finish(nil)
		return wire.CallReply{}, fault.New(fault.Cancelled, "cancelled before it started")
	}
	return s.handOver(c, ticket)
}

// handOver calls the backend server. The call outlives the entry's connection:
// what became of it is asked for later, over another one.
func (s *Sidecar) handOver(c wire.Call, ticket *gate.Ticket) (wire.CallReply, error) {
	s.events.Add(c.Key.RequestKey, events.Started, "plain call")
	s.log(c.Key, c.Incarnation)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	body, err := s.backend.Plain.Call(ctx, c.Key.RequestKey.String(), c.Body)
	if err != nil {
		ticket.Finish(nil)
		s.events.Add(c.Key.RequestKey, events.Finished, err.Error())
		return wire.CallReply{}, fault.New(fault.BackendFailed, "backend server: %v", err)
	}
	ticket.Finish(body)
	s.events.Add(c.Key.RequestKey, events.Finished, "ran")
	return wire.CallReply{Body: body, Load: s.gate.Load()}, nil
}

func (s *Sidecar) log(k wire.RunKey, incarnation string) {
	klog.V(2).InfoS("Request started", "request", k.ID, "customer", k.Customer, "run", k.Run,
		"address", s.address, "incarnation", incarnation)
}

// Cancel keeps a request from starting and tells what the gate knows of it.
func (s *Sidecar) Cancel(_ context.Context, _ string, c wire.Cancel) (wire.CancelReply, error) {
	rep, err := s.gate.Cancel(c)
	if err == nil && rep.State == wire.NeverStarted {
		s.events.Add(c.Key.RequestKey, events.Tombstoned, "")
	}
	return rep, err
}

// Sweep ends stages whose owner has been silent and forgets old requests.
func (s *Sidecar) Sweep() {
	s.gate.Sweep()
	limit := s.now().Add(-ownerSilence)
	for _, ses := range s.sessions.Values() {
		if at, ok := s.heard.Get(ses.open.Owner); ok && at.Before(limit) {
			ses.cancel()
		}
	}
}

// madeAt reads the time in a ULID; another id counts as made at the beginning
// of time, which the gate refuses where it matters.
func madeAt(id string) time.Time {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(u.Time())
}

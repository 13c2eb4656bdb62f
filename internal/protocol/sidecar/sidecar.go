// Package sidecar implements the process beside one backend server. It has the gate,
// the open stages of pipeline requests and the calls of a plain service.
package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/stage"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// ownerTimeout is how long an entry may send nothing before its stages here are closed,
// so that an exited entry does not occupy slots. Heartbeat intervals range from half a
// second in a small fleet to eight seconds in a large one.
const ownerTimeout = 20 * time.Second

// Backend is the backend server beside the sidecar. Exactly one of Engine and Plain is
// set.
type Backend struct {
	Engine platform.Engine
	Plain  platform.Plain
	Fence  int64
	// Limiter adapts the number of concurrent sessions to the engine's step times.
	Limiter *limits.ConcurrencyLimiter
	// Clients is the memory for answers until they were sent on. It may be nil.
	Clients *clientbudget.Budget
}

// Sidecar is one incarnation of a sidecar process.
type Sidecar struct {
	address string
	gate    *gate.Gate
	backend Backend
	send    stage.Sender
	events  *events.Log
	now     func() time.Time

	mu       sync.Mutex // guards opening and closing of sessions
	sessions *shard.Map[string, *session]
	owners   owners
	replies  chan struct{} // bounds the notifications about missing stages that are sent at once
}

// session is an open stage and its ticket at the gate.
type session struct {
	*stage.Session
	open   wire.Open
	ticket *gate.Ticket
	cancel context.CancelFunc
	closed chan struct{} // closed when the slot has been released
	name   string        // session name at the engine
}

// New returns a sidecar that is reached at a link address.
func New(address string, g *gate.Gate, b Backend, send stage.Sender, log *events.Log, now func() time.Time) *Sidecar {
	return &Sidecar{
		address:  address,
		gate:     g,
		backend:  b,
		send:     send,
		events:   log,
		now:      now,
		sessions: shard.New[string, *session](),
		owners:   owners{byAddress: map[string]*owner{}},
		replies:  make(chan struct{}, maxMissingStageReplies),
	}
}

func (s *Sidecar) Gate() *gate.Gate { return s.gate }

// RecordContact records that an entry sent a message.
func (s *Sidecar) RecordContact(entry string) { s.owners.contact(entry, s.now()) }

// Open opens a stage or moves an open one to a higher epoch.
func (s *Sidecar) Open(_ context.Context, from string, o wire.Open) (wire.OpenReply, error) {
	s.RecordContact(from)
	if o.Index < 0 || o.Index >= len(o.Chain) || o.Prompt < 1 {
		return wire.OpenReply{}, fault.New(fault.InvalidRequest, "stage index %d is not in a chain of %d stages, or the prompt is empty", o.Index, len(o.Chain))
	}
	if s.backend.Engine == nil {
		return wire.OpenReply{}, fault.New(fault.InvalidRequest, "this sidecar has no engine")
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
		CreatedAt:     createdAt(o.Key.ID),
	}, false)
	if err != nil {
		return wire.OpenReply{}, err
	}
	s.startSession(o, ticket)
	return wire.OpenReply{Load: s.gate.Load()}, nil
}

func (s *Sidecar) startSession(o wire.Open, ticket *gate.Ticket) {
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	ses := &session{open: o, ticket: ticket, cancel: cancel, closed: make(chan struct{})}
	// The name is unique. A stage that is opened again for the same run gets a new
	// session at the engine.
	ses.name = fmt.Sprintf("%s/%d", o.Key, o.Epoch)
	ses.Session = stage.New(o, s.engineFor(ses), s.send)
	s.sessions.Put(o.Key.String(), ses)
	s.owners.add(o.Owner, s.now())
	s.events.Add(o.Key.RequestKey, events.GateOpened, o.Chain[o.Index].Range.String())
	go func() {
		ses.Run(ctx)
		cancel()
		s.closeSession(ses)
	}()
}

// engineFor returns the function that runs steps for a session. The first step starts
// the ticket, so that nothing reaches the engine without a started record at the gate.
func (s *Sidecar) engineFor(ses *session) stage.Engine {
	started := false
	chainStage := ses.open.Chain[ses.open.Index]
	return func(ctx context.Context, pos int64, inputs [][]byte) ([][]byte, error) {
		if !started {
			if !ses.ticket.Start() {
				return nil, fault.New(fault.Cancelled, "cancelled before it started")
			}
			started = true
			s.events.Add(ses.open.Key.RequestKey, events.Started, "layers "+chainStage.Range.String())
			s.log(ses.open.Key, chainStage.Incarnation)
		}
		stepStart := s.now()
		out, err := s.backend.Engine.Step(ctx, platform.Step{
			Session:  ses.name,
			Range:    chainStage.Range,
			Position: pos,
			Inputs:   inputs,
			Priority: ses.open.Priority,
			Fence:    s.backend.Fence,
		})
		// A prompt batch takes longer because of its length. Only steps of one position
		// measure the load.
		if err == nil && len(inputs) == 1 {
			s.backend.Limiter.RecordStep(s.now().Sub(stepStart), s.gate.Load().Active)
		}
		return out, err
	}
}

// endTimeout is the timeout for ending a session at the engine.
const endTimeout = 2 * time.Second

func (s *Sidecar) closeSession(ses *session) {
	s.mu.Lock()
	if cur, ok := s.sessions.Get(ses.open.Key.String()); ok && cur == ses {
		s.sessions.Delete(ses.open.Key.String())
	}
	s.mu.Unlock()
	s.owners.remove(ses.open.Owner)
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_ = s.backend.Engine.EndSession(ctx, ses.name, s.backend.Fence)
	ses.ticket.Finish(nil)
	close(ses.closed)
	_, ran := ses.Positions()
	s.events.Add(ses.open.Key.RequestKey, events.SessionEnded, fmt.Sprintf("%d positions ran", ran))
}

// Resume allows an open stage to send.
func (s *Sidecar) Resume(_ context.Context, from string, r wire.Resume) (struct{}, error) {
	s.RecordContact(from)
	ses, ok := s.sessions.Get(r.Key.String())
	if !ok {
		return struct{}{}, fault.New(fault.NotFound, "no stage is open for %s", r.Key)
	}
	return struct{}{}, ses.Resume(r)
}

// maxMissingStageReplies is the number of notifications about missing stages that are sent at once. A
// sender that gets none learns of it by its checks of the stages.
const maxMissingStageReplies = 64

// Forward adds inputs to an open stage. If there is none, it notifies the sender,
// because this sidecar may have replaced the one that had the stage.
func (s *Sidecar) Forward(ctx context.Context, from string, f wire.Forward) {
	ses, ok := s.sessions.Get(f.Key.String())
	if !ok {
		s.reportMissingStage(ctx, from, f)
		return
	}
	// Inputs of an old epoch are rejected. The sender expects no reply.
	_ = ses.Accept(f)
}

func (s *Sidecar) reportMissingStage(ctx context.Context, to string, f wire.Forward) {
	select {
	case s.replies <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.replies }()
		_ = s.send.NoStage(ctx, to, wire.NoStage{Key: f.Key, Epoch: f.Epoch})
	}()
}

// NoStage handles the notification that another process has no open stage for a
// request.
func (s *Sidecar) NoStage(ctx context.Context, from string, n wire.NoStage) (struct{}, error) {
	if ses, ok := s.sessions.Get(n.Key.String()); ok {
		go ses.ReportMissingStage(ctx, from, n.Epoch)
	}
	return struct{}{}, nil
}

// Close closes a stage and returns the load after it is closed.
func (s *Sidecar) Close(ctx context.Context, _ string, c wire.Close) (wire.CloseReply, error) {
	if ses, ok := s.sessions.Get(c.Key.String()); ok {
		ses.cancel()
		select {
		case <-ses.closed:
		case <-ctx.Done():
		}
	}
	return wire.CloseReply{Load: s.gate.Load()}, nil
}

func (s *Sidecar) log(k wire.RunKey, incarnation string) {
	klog.V(2).InfoS("request started", "request", k.ID, "customer", k.Customer, "run", k.Run,
		"address", s.address, "incarnation", incarnation)
}

// Cancel prevents a request from starting and returns its execution state at the gate.
func (s *Sidecar) Cancel(_ context.Context, _ string, c wire.Cancel) (wire.CancelReply, error) {
	rep, err := s.gate.Cancel(c)
	if err == nil && rep.State == wire.NeverStarted {
		s.events.Add(c.Key.RequestKey, events.Tombstoned, "")
	}
	return rep, err
}

// Sweep closes stages whose owner has sent nothing for ownerTimeout, and deletes
// expired records at the gate.
func (s *Sidecar) Sweep() {
	s.gate.Sweep()
	limit := s.now().Add(-ownerTimeout)
	for _, ses := range s.sessions.Values() {
		if s.owners.silentSince(ses.open.Owner, limit) {
			ses.cancel()
		}
	}
}

// createdAt returns the time in a ULID. For any other id it returns the zero time, and
// the gate refuses it if the request is not repeatable.
func createdAt(id string) time.Time {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(u.Time())
}

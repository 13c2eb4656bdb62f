package sidecar

import (
	"context"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

// Call executes one call of the plain service. It waits at the gate for a slot.
func (s *Sidecar) Call(ctx context.Context, from string, c wire.Call) (wire.CallReply, error) {
	s.RecordContact(from)
	if s.backend.Plain == nil {
		return wire.CallReply{}, fault.New(fault.InvalidRequest, "this sidecar has no plain service")
	}
	ticket, err := s.gate.Reserve(gate.Request{
		Key:           c.Key,
		Attempt:       c.Attempt,
		Incarnation:   c.Incarnation,
		Deadline:      c.Deadline,
		RetainUntil:   c.RetainUntil,
		Priority:      c.Priority,
		NotRepeatable: c.NotRepeatable,
		CreatedAt:     createdAt(c.Key.ID),
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
		return wire.CallReply{}, fault.New(fault.Overloaded, "dropped from the queue in favor of another request")
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

// handOver calls the backend server. The call continues if the entry's connection is
// lost, because the outcome may be requested over another one.
func (s *Sidecar) handOver(c wire.Call, ticket *gate.Ticket) (wire.CallReply, error) {
	s.events.Add(c.Key.RequestKey, events.Started, "plain call")
	s.log(c.Key, c.Incarnation)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	room := s.backend.Clients.NewResponse()
	body, err := s.backend.Plain.Call(platform.WithRoom(ctx, func(n int64) error { return room.Wait(ctx, n) }), c.Key.RequestKey.String(), c.Body)
	if err != nil {
		room.Release()
		ticket.Finish(nil)
		s.events.Add(c.Key.RequestKey, events.Finished, err.Error())
		return wire.CallReply{}, fault.New(fault.BackendFailed, "backend server failed: %v", err)
	}
	ticket.Finish(body)
	s.events.Add(c.Key.RequestKey, events.Finished, "ran")
	return wire.CallReply{Body: body, Load: s.gate.Load(), Release: room.Release}, nil
}

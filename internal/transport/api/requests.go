// Package api serves callers, support engineers and operators over Connect.
package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/mesh"
)

// Names of error metadata for callers.
const (
	MetaKind       = "skylarkwood-kind"
	MetaRetryAfter = "retry-after-ms"
	MetaOutcome    = "skylarkwood-outcome"
)

// Requests implements the RequestService.
type Requests struct {
	Node  *mesh.Node
	Owner *owner.Owner

	answers clientbudget.Expected
}

// notAccepted is the outcome of a rejected submission, of which nothing ran. It does not
// concern earlier submissions with the same ID.
const notAccepted = "not_accepted"

// connectError converts an error to a Connect error with its kind, outcome and retry delay
// as metadata.
func connectError(err error) error {
	out := interrupted(err)
	out.Meta().Set(MetaOutcome, notAccepted)
	return out
}

// interrupted is connectError for a request that was accepted and whose stream ends without its outcome.
func interrupted(err error) *connect.Error {
	f := fault.From(err)
	out := connect.NewError(f.Kind.Response().Code, f)
	out.Meta().Set(MetaKind, string(f.Kind))
	if after := f.RetryDelay(); after > 0 {
		out.Meta().Set(MetaRetryAfter, strconv.FormatInt(after.Milliseconds(), 10))
	}
	return out
}

// MaxMessage is the size in bytes of the largest message to an API: the largest body of a request with
// its other fields.
const MaxMessage = owner.MaxBody + 64<<10

// requestCost times the size of its body is the memory that a request takes while it runs: the body and
// the message in which it is sent to a backend server.
const requestCost = 3

// Refuse responds to a call for whose message there is no room, or whose message is too large. Nothing
// of it ran.
func Refuse(w http.ResponseWriter, r *http.Request, why error, retryAfter time.Duration) {
	f := fault.New(fault.Overloaded, "%v", why)
	f.RetryAfter = retryAfter
	switch {
	case errors.Is(why, guard.ErrBodyTooLarge):
		f = fault.New(fault.TooLarge, "message exceeds %d bytes", MaxMessage)
	case !errors.Is(why, guard.ErrNoBodyRoom) && !errors.Is(why, guard.ErrNoRequestRoom) && !errors.Is(why, clientbudget.ErrYielded):
		f = fault.New(fault.InvalidRequest, "reading the message failed: %v", why)
	}
	if err := connect.NewErrorWriter().Write(w, r, connectError(f)); err != nil {
		klog.V(1).InfoS("writing an error response failed", "client", r.RemoteAddr, "err", err)
	}
}

// Submit implements the RequestService.
func (s *Requests) Submit(ctx context.Context, r *connect.Request[v1.SubmitRequest], stream *connect.ServerStream[v1.SubmitResponse]) error {
	if err := s.Node.CheckReady(); err != nil {
		return connectError(err)
	}
	m := r.Msg
	room := newAnswerRoom(ctx)
	if !room.reserve(ctx, s.answers.Size(m.Service)) {
		return connectError(noRoom(ctx, "no room for the answer"))
	}
	req, err := s.Owner.Submit(owner.Submission{
		Customer:      m.Customer,
		ID:            m.RequestId,
		Service:       m.Service,
		Body:          m.Body,
		MaxTokens:     int(m.MaxTokens),
		Timeout:       time.Duration(m.TimeoutMs) * time.Millisecond,
		NotRepeatable: m.NotRepeatable,
		Hold: func() (release func()) {
			return guard.ConnOf(ctx).Account().Detach(requestCost * int64(len(m.Body)))
		},
	})
	if err != nil {
		return connectError(err)
	}
	if err := stream.Send(&v1.SubmitResponse{RequestId: req.Key.ID}); err != nil {
		return err
	}
	for pos := int64(0); ; {
		parts, outcome, err := req.Next(ctx, pos)
		if errors.Is(err, requests.ErrAnswerDropped) {
			return interrupted(fault.New(fault.NotFound, "%v", err))
		}
		if err != nil {
			return err // the caller disconnected; the request continues
		}
		if outcome.Final() {
			return stream.Send(&v1.SubmitResponse{Position: pos, Outcome: outcomeMessage(outcome)})
		}
		parts = firstParts(parts)
		size := sizeOf(parts)
		s.answers.Observe(m.Service, size)
		if room.lacks(size) {
			parts = nil // not held while it waits; they may be dropped then
			if !room.reserve(ctx, size) {
				return interrupted(noRoom(ctx, "no room for the answer; it can be requested again under the same id"))
			}
			continue
		}
		if err := stream.Send(&v1.SubmitResponse{Position: pos, Data: join(parts)}); err != nil {
			return err
		}
		pos += int64(len(parts))
	}
}

func join(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	var out []byte
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

var states = map[model.State]v1.OutcomeState{
	model.InProgress: v1.OutcomeState_OUTCOME_STATE_IN_PROGRESS,
	model.Ran:        v1.OutcomeState_OUTCOME_STATE_RAN,
	model.NotRun:     v1.OutcomeState_OUTCOME_STATE_NOT_RUN,
	model.CutOff:     v1.OutcomeState_OUTCOME_STATE_CUT_OFF,
}

func outcomeMessage(o model.Outcome) *v1.Outcome {
	return &v1.Outcome{
		State:        states[o.State],
		MayHaveRun:   o.MayHaveRun,
		Kind:         o.Kind,
		Cause:        o.Cause,
		RetryAfterMs: o.RetryAfter.Milliseconds(),
		Evidence:     o.Evidence,
		Entry:        o.Entry,
	}
}

// GetOutcome implements the RequestService.
func (s *Requests) GetOutcome(ctx context.Context, r *connect.Request[v1.GetOutcomeRequest]) (*connect.Response[v1.GetOutcomeResponse], error) {
	key := model.RequestKey{Customer: r.Msg.Customer, ID: r.Msg.RequestId}
	o, unreachable, err := s.Owner.Outcome(ctx, key)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&v1.GetOutcomeResponse{Outcome: outcomeMessage(o), Unreachable: unreachable}), nil
}

// timelineTimeout is the timeout for querying the events of one process.
const timelineTimeout = time.Second

// GetTimeline implements the RequestService.
func (s *Requests) GetTimeline(ctx context.Context, r *connect.Request[v1.GetTimelineRequest]) (*connect.Response[v1.GetTimelineResponse], error) {
	key := model.RequestKey{Customer: r.Msg.Customer, ID: r.Msg.RequestId}
	all := s.Node.Events.ForRequest(key)
	out := &v1.GetTimelineResponse{}
	for _, m := range s.Node.Table.All() {
		var rep wire.EventsReply
		ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
		err := s.Node.Pool.Call(ctx, m.Instance.Address, wire.MethodEvents, wire.EventsQuery{Key: key}, &rep)
		cancel()
		if err != nil {
			out.Unreachable = append(out.Unreachable, nameOf(m.Instance))
			continue
		}
		all = append(all, rep.Events...)
	}
	events.Sort(all)
	for _, e := range all {
		out.Events = append(out.Events, &v1.Event{
			WallMs:      e.At.Wall,
			Logical:     e.At.Logical,
			Instance:    e.Instance,
			Role:        string(e.Role),
			Incarnation: e.Incarnation,
			Kind:        string(e.Kind),
			Detail:      e.Detail,
		})
	}
	return connect.NewResponse(out), nil
}

func nameOf(in model.Instance) string {
	if in.ID != "" {
		return in.ID
	}
	return in.Address
}

package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// Plain is a plain service that counts how often each call runs. It does not deduplicate
// calls.
type Plain struct {
	// CallDuration is the duration of a call.
	CallDuration time.Duration
	// AnswerBytes is the size of each answer; 0 means that the answer repeats the body.
	AnswerBytes int

	mu    sync.Mutex
	calls map[string]int
}

// NewPlain returns a plain service whose calls take t.
func NewPlain(t time.Duration) *Plain {
	return &Plain{CallDuration: t, calls: map[string]int{}}
}

// Call implements platform.Plain.
func (p *Plain) Call(ctx context.Context, id string, body []byte) ([]byte, error) {
	p.mu.Lock()
	p.calls[id]++
	p.mu.Unlock()
	select {
	case <-time.After(p.CallDuration):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.AnswerBytes > 0 {
		return make([]byte, p.AnswerBytes), nil
	}
	return fmt.Appendf(nil, "confirmed: %s", body), nil
}

// Count returns how often a call was executed.
func (p *Plain) Count(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[id]
}

// Counts returns how often each call was executed, by id.
func (p *Plain) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

type plainServer struct{ p *Plain }

func (s plainServer) Call(ctx context.Context, r *connect.Request[platformv1.CallRequest]) (*connect.Response[platformv1.CallResponse], error) {
	body, err := s.p.Call(ctx, r.Msg.CallId, r.Msg.Body)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&platformv1.CallResponse{Body: body}), nil
}

// Instances is an instance list that shows changes with a delay.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	history []listing
}

type listing struct {
	at   time.Time
	list []model.Instance
}

// NewInstances returns an empty list that shows changes after lag.
func NewInstances(lag time.Duration) *Instances {
	return &Instances{lag: lag, history: []listing{{}}}
}

// Set replaces the list.
func (i *Instances) Set(list []model.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history = append(i.history, listing{time.Now(), list})
}

// List implements platform.Instances.
func (i *Instances) List(context.Context) ([]model.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	seen := time.Now().Add(-i.lag)
	for len(i.history) > 1 && !i.history[1].at.After(seen) {
		i.history = i.history[1:]
	}
	return append([]model.Instance(nil), i.history[0].list...), nil
}

type instancesServer struct{ i platform.Instances }

func (s instancesServer) List(ctx context.Context, _ *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	list, err := s.i.List(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := &platformv1.ListResponse{}
	for _, in := range list {
		out.Instances = append(out.Instances, &platformv1.Instance{
			Id:            in.ID,
			Role:          string(in.Role),
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Region:        in.Region,
			Leaving:       in.Leaving,
		})
	}
	return connect.NewResponse(out), nil
}

package api

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/mesh"
)

// Limits on templates and on the calls of operators.
const (
	maxPriority       = 9
	maxRules          = 64
	maxParameters     = 64
	maxConfirmTimeout = time.Minute
	setTimeout        = 5 * time.Second
	confirmInterval   = 50 * time.Millisecond
)

// listingFactor times the size of a listing is the memory that it takes until its reader has it.
const listingFactor = 3

// Operators implements the OperatorService.
type Operators struct {
	Node *mesh.Node

	listing sync.Mutex // held while a listing is composed, whose size is not known before
}

// GetTemplate implements the OperatorService.
func (s *Operators) GetTemplate(ctx context.Context, r *connect.Request[v1.GetTemplateRequest]) (*connect.Response[v1.GetTemplateResponse], error) {
	rec, ok := s.Node.Config.Current().Record(r.Msg.Customer)
	if !ok {
		return nil, connectError(fault.New(fault.NotFound, "customer %q has no template", r.Msg.Customer))
	}
	out := &v1.GetTemplateResponse{Change: changeMessage(rec.Current)}
	if err := takeListing(ctx, out); err != nil {
		return nil, err
	}
	return connect.NewResponse(out), nil
}

// ListTemplates implements the OperatorService.
func (s *Operators) ListTemplates(ctx context.Context, _ *connect.Request[v1.ListTemplatesRequest]) (*connect.Response[v1.ListTemplatesResponse], error) {
	s.listing.Lock()
	defer s.listing.Unlock()
	out := s.templates()
	if err := takeListing(ctx, out); err != nil {
		return nil, err
	}
	return connect.NewResponse(out), nil
}

// takeListing takes the memory of a listing, which is given back with the end of the call.
func takeListing(ctx context.Context, m proto.Message) error {
	if guard.ConnOf(ctx).Account().Take(listingFactor * int64(proto.Size(m))) {
		return nil
	}
	return connectError(noRoom(ctx, "no room for the response"))
}

// templates returns the templates of all customers, sorted by customer.
func (s *Operators) templates() *v1.ListTemplatesResponse {
	cur := s.Node.Config.Current()
	out := &v1.ListTemplatesResponse{ConfigRevision: cur.Head.Revision}
	for _, b := range cur.Buckets {
		for _, rec := range b {
			out.Changes = append(out.Changes, changeMessage(rec.Current))
		}
	}
	sort.Slice(out.Changes, func(i, j int) bool {
		return out.Changes[i].Template.Customer < out.Changes[j].Template.Customer
	})
	return out
}

// GetTemplateHistory implements the OperatorService.
func (s *Operators) GetTemplateHistory(ctx context.Context, r *connect.Request[v1.GetTemplateHistoryRequest]) (*connect.Response[v1.GetTemplateHistoryResponse], error) {
	rec, ok := s.Node.Config.Current().Record(r.Msg.Customer)
	if !ok {
		return nil, connectError(fault.New(fault.NotFound, "customer %q has no template", r.Msg.Customer))
	}
	s.listing.Lock()
	defer s.listing.Unlock()
	out := &v1.GetTemplateHistoryResponse{Changes: []*v1.TemplateChange{changeMessage(rec.Current)}}
	for _, c := range rec.Earlier {
		out.Changes = append(out.Changes, changeMessage(c))
	}
	if err := takeListing(ctx, out); err != nil {
		return nil, err
	}
	return connect.NewResponse(out), nil
}

// SetTemplate implements the OperatorService. The response reports whether the change is
// in force everywhere and otherwise names the instances that have not confirmed it.
func (s *Operators) SetTemplate(ctx context.Context, r *connect.Request[v1.SetTemplateRequest]) (*connect.Response[v1.SetTemplateResponse], error) {
	t, err := templateOf(r.Msg.Template)
	if err != nil {
		return nil, connectError(err)
	}
	setCtx, cancel := context.WithTimeout(ctx, setTimeout)
	defer cancel()
	change, err := s.Node.Config.Set(setCtx, t, r.Msg.ExpectedRevision, r.Msg.Author)
	if fault.Is(err, fault.RevisionConflict) {
		return nil, conflictError(err, change)
	}
	if err != nil {
		return nil, connectError(err)
	}
	wait := min(time.Duration(r.Msg.WaitMs)*time.Millisecond, maxConfirmTimeout)
	missing := s.confirm(ctx, change.ConfigRevision, wait)
	return connect.NewResponse(&v1.SetTemplateResponse{
		Change:            changeMessage(change),
		InForceEverywhere: len(missing) == 0,
		Missing:           missing,
	}), nil
}

// conflictError returns an error whose details contain the conflicting change.
func conflictError(err error, other config.Change) error {
	out := connectError(err)
	ce, _ := out.(*connect.Error)
	if d, derr := connect.NewErrorDetail(changeMessage(other)); derr == nil && other.Revision > 0 {
		ce.AddDetail(d)
	}
	return ce
}

// confirm waits until every member has applied a revision. It returns the names of those
// that have not. A member that is down counts while the platform lists it, because it may
// be suspended and resume.
func (s *Operators) confirm(ctx context.Context, revision int64, wait time.Duration) []string {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		var missing []string
		for _, m := range s.Node.Table.All() {
			if confirmed(m, revision) || !m.Listed {
				continue
			}
			missing = append(missing, nameOf(m.Instance))
		}
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-deadline.C:
			return missing
		case <-ctx.Done():
			return missing
		case <-time.After(confirmInterval):
			s.probeOutdated(ctx, revision)
		}
	}
}

func confirmed(m membership.Member, revision int64) bool { return m.Revision >= revision }

func (s *Operators) probeOutdated(ctx context.Context, revision int64) {
	for _, m := range s.Node.Table.All() {
		if !confirmed(m, revision) && !m.Down() {
			s.Node.Probe(ctx, m.Instance.Address)
		}
	}
}

// GetStatus implements the OperatorService.
func (s *Operators) GetStatus(context.Context, *connect.Request[v1.GetStatusRequest]) (*connect.Response[v1.GetStatusResponse], error) {
	n := s.Node
	out := &v1.GetStatusResponse{ConfigRevision: n.Config.Revision()}
	out.Instances = append(out.Instances, &v1.InstanceStatus{
		Instance:       n.Self.ID,
		Role:           string(n.Self.Role),
		FailureDomain:  n.Self.FailureDomain,
		Address:        n.Self.Address,
		Incarnation:    n.Incarnation,
		Reachable:      true,
		ConfigRevision: n.Config.Revision(),
	})
	for _, m := range n.Table.All() {
		out.Instances = append(out.Instances, &v1.InstanceStatus{
			Instance:       m.Instance.ID,
			Role:           string(m.Instance.Role),
			FailureDomain:  m.Instance.FailureDomain,
			Address:        m.Instance.Address,
			Incarnation:    m.Incarnation,
			Service:        m.Backend.Service,
			FromLayer:      int32(m.Backend.Range.From),
			ToLayer:        int32(m.Backend.Range.To),
			Leaving:        m.Leaving(),
			Reachable:      !m.Down() && !m.LastContact.IsZero(),
			ConfigRevision: m.Revision,
			Active:         int32(m.Backend.Active),
			Capacity:       int32(m.Backend.Capacity),
		})
	}
	return connect.NewResponse(out), nil
}

func changeMessage(c config.Change) *v1.TemplateChange {
	t := &v1.Template{Customer: c.Template.Customer, Parameters: c.Template.Parameters}
	for _, r := range c.Template.Rules {
		t.Rules = append(t.Rules, &v1.ServiceRule{
			Service:          r.Service,
			Priority:         int32(r.Priority),
			NotRepeatable:    r.NotRepeatable,
			Rate:             r.Rate,
			Burst:            int32(r.Burst),
			DefaultTimeoutMs: r.DefaultTimeout.Milliseconds(),
		})
	}
	return &v1.TemplateChange{
		Template:       t,
		Revision:       c.Revision,
		Author:         c.Author,
		ChangedAtMs:    c.At.UnixMilli(),
		ConfigRevision: c.ConfigRevision,
	}
}

func templateOf(m *v1.Template) (config.Template, error) {
	if m == nil || m.Customer == "" {
		return config.Template{}, fault.New(fault.InvalidRequest, "template.customer is missing")
	}
	if len(m.Rules) > maxRules || len(m.Parameters) > maxParameters {
		return config.Template{}, fault.New(fault.InvalidRequest, "a template has at most %d rules and %d parameters", maxRules, maxParameters)
	}
	t := config.Template{Customer: m.Customer, Parameters: m.Parameters}
	for _, r := range m.Rules {
		if err := checkRule(r); err != nil {
			return t, err
		}
		t.Rules = append(t.Rules, config.Rule{
			Service:        r.Service,
			Priority:       int(r.Priority),
			NotRepeatable:  r.NotRepeatable,
			Rate:           r.Rate,
			Burst:          int(r.Burst),
			DefaultTimeout: time.Duration(r.DefaultTimeoutMs) * time.Millisecond,
		})
	}
	return t, nil
}

func checkRule(r *v1.ServiceRule) error {
	switch {
	case r.Service == "":
		return fault.New(fault.InvalidRequest, "rule has no service")
	case r.Priority < 0 || r.Priority > maxPriority:
		return fault.New(fault.InvalidRequest, "priority of %s must be between 0 and %d", r.Service, maxPriority)
	case !(r.Rate >= 0) || r.Burst < 0 || r.DefaultTimeoutMs < 0:
		return fault.New(fault.InvalidRequest, "rate, burst and timeout of %s must not be negative", r.Service)
	}
	return nil
}

// Package owner is an entry's part in a request: from acceptance to the one
// final outcome. It admits the request by its customer's template, hands it to
// gates, collects the answer and repairs the pipeline under it.
package owner

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ledger"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/state/requests"
	"github.com/skylarkwood/skylarkwood/internal/state/shard"
)

// Limits on what a caller may send.
const (
	MaxBody     = 1 << 20
	MaxTokens   = 8192
	MaxIDLength = 64
	maxTimeout  = 10 * time.Minute
	// MaxNonRepeatableTimeout bounds the time of a request that is not repeatable, as
	// gates must remember it that much longer than its id is accepted.
	MaxNonRepeatableTimeout = 2 * time.Minute
)

// Peers sends messages to other processes. A link.Pool is one.
type Peers interface {
	Call(ctx context.Context, addr string, m wire.Method, req, rep any) error
	Notify(ctx context.Context, addr string, m wire.Method, msg any) error
	Reset(addr string)
}

// Feeder sends inputs to a chain's first stage.
type Feeder interface {
	Forward(ctx context.Context, to wire.Stage, f wire.Forward) error
}

// Router chooses where work goes; see package routing.
type Router interface {
	// Chain covers layers with stages.
	Chain(ask routing.ChainRequest) ([]routing.Stage, error)
	// PlainServer chooses a backend server of a plain service.
	PlainServer(service string, avoid map[string]bool) (membership.Member, error)
	// Describe tells a service's kind and the layers of its model.
	Describe(service string) (model.ServiceKind, int, bool)
}

// RecordIntent asks the ledger for the one hand-over of a request; see package
// ledger.
type RecordIntent func(ctx context.Context, in ledger.Intent, id string) (ledger.Intent, error)

// Deps is what an Owner works with.
type Deps struct {
	Instance string // id of this entry
	// Incarnation names this start of it, for logs.
	Incarnation      string
	Address          string // its link address
	Data             string // where its data streams end
	Peers            Peers
	Feeder           Feeder
	Table            *membership.Table
	Router           Router
	Config           *config.Store
	RateLimiter      *limits.RateLimiter
	RetryBudget      *limits.RetryBudget
	AdmissionLimiter *admission.Limiter
	RecordIntent     RecordIntent
	Requests         *requests.Store
	Events           *events.Log
	Now              func() time.Time
	// Refresh brings the configuration up to that of the peer at addr.
	Refresh func(ctx context.Context, addr string) error
	// Observe is told of each final outcome.
	Observe func(service string, o model.Outcome, took time.Duration)
	Timing  Timing
}

// Timing is how long the owner waits before it looks into a request.
type Timing struct {
	// CallTimeout bounds one control message.
	CallTimeout time.Duration
	// StallTimeout is how long a pipeline may bring no token before it is resynchronised.
	StallTimeout time.Duration
	// PollInterval is how often an outcome elsewhere is asked for.
	PollInterval time.Duration
}

// DefaultTiming suits instances of one region.
func DefaultTiming() Timing {
	return Timing{
		CallTimeout:  500 * time.Millisecond,
		StallTimeout: time.Second,
		PollInterval: 50 * time.Millisecond,
	}
}

// Owner owns the requests of one entry.
type Owner struct {
	Deps
	started time.Time
	runs    *shard.Map[string, *run]
	intake  *intake
}

// New makes an owner.
func New(d Deps) *Owner {
	return &Owner{Deps: d, started: d.Now(), runs: shard.New[string, *run](), intake: newIntake()}
}

// Submission is a caller's request.
type Submission struct {
	Customer      string
	ID            string
	Service       string
	Body          []byte
	MaxTokens     int
	Timeout       time.Duration
	NotRepeatable bool
}

// job is an accepted request on its way.
type job struct {
	ask           Submission
	req           *requests.Request
	rule          config.Rule
	revision      int64 // of the configuration that gave the rule
	kind          model.ServiceKind
	layers        int
	notRepeatable bool
	began         time.Time
	run           string    // empty for a request that is not repeatable
	made          time.Time // time in the id of a request that is not repeatable
	// remember is until when gates must know what became of the request: past
	// its deadline, and for one that is not repeatable as long as the same id
	// may still be sent to another entry and settled there.
	remember time.Time
}

// positions is how many a pipeline request runs.
func (j *job) positions() int {
	return len(splitPrompt(j.ask.Body)) + j.ask.MaxTokens - 1
}

func (j *job) key() model.RequestKey { return j.req.Key }

// runKey names the job's run at the gates.
func (j *job) runKey() wire.RunKey { return wire.RunKey{RequestKey: j.req.Key, Run: j.run} }

// Submit accepts a request or joins it to the same one sent before. An error
// means that nothing was accepted and nothing ran.
func (o *Owner) Submit(ask Submission) (*requests.Request, error) {
	if ask.ID == "" {
		ask.ID = ulid.MustNew(ulid.Timestamp(o.Now()), rand.Reader).String()
	}
	if err := validate(ask); err != nil {
		return nil, o.reject(ask, err)
	}
	revision, rule, err := o.rule(ask)
	if err != nil {
		return nil, o.reject(ask, err)
	}
	j := &job{ask: ask, rule: rule, revision: revision, began: o.Now(), notRepeatable: ask.NotRepeatable || rule.NotRepeatable}
	key := model.RequestKey{Customer: ask.Customer, ID: ask.ID}
	if r, ok := o.Requests.Get(key); ok {
		return r, o.join(ask, r)
	}
	if err := o.admit(j); err != nil {
		return nil, o.reject(ask, err)
	}
	if !o.intake.enter() {
		return nil, o.reject(ask, fault.New(fault.Leaving, "entry is leaving"))
	}
	r, joined := o.Requests.GetOrCreate(key, content(ask), j.began.Add(j.timeout()))
	if joined {
		o.intake.leave()
		return r, o.join(ask, r)
	}
	j.req = r
	j.remember = r.Deadline
	if j.notRepeatable {
		j.remember = j.made.Add(ledger.MaxIDAge + MaxNonRepeatableTimeout)
	} else {
		j.run = ulid.MustNew(ulid.Timestamp(j.began), rand.Reader).String()
	}
	o.Events.Add(key, events.Accepted, ask.Service)
	go o.serve(j)
	return r, nil
}

func validate(ask Submission) error {
	switch {
	case ask.Customer == "":
		return fault.New(fault.InvalidRequest, "customer is missing")
	case ask.Service == "":
		return fault.New(fault.InvalidRequest, "service is missing")
	case len(ask.Customer) > MaxIDLength:
		return fault.New(fault.InvalidRequest, "customer is longer than %d bytes", MaxIDLength)
	case len(ask.ID) > MaxIDLength:
		return fault.New(fault.InvalidRequest, "request id is longer than %d bytes", MaxIDLength)
	case len(ask.Body) > MaxBody:
		return fault.New(fault.TooLarge, "body of %d bytes exceeds %d", len(ask.Body), MaxBody)
	case ask.MaxTokens < 0 || ask.MaxTokens > MaxTokens:
		return fault.New(fault.InvalidRequest, "max_tokens must be between 0 and %d", MaxTokens)
	case ask.Timeout < 0 || ask.Timeout > maxTimeout:
		return fault.New(fault.InvalidRequest, "timeout must be between 0 and %v", maxTimeout)
	}
	return nil
}

// rule gives what the customer's template says, and the revision it is of.
func (o *Owner) rule(ask Submission) (int64, config.Rule, error) {
	current := o.Config.Current()
	t, ok := current.Template(ask.Customer)
	if !ok {
		return 0, config.Rule{}, fault.New(fault.UnknownCustomer, "customer %q has no template", ask.Customer)
	}
	rule, ok := t.Rule(ask.Service)
	if !ok {
		return 0, rule, fault.New(fault.Forbidden, "customer %q may not reach service %q", ask.Customer, ask.Service)
	}
	return current.Head.Revision, rule, nil
}

// readmit checks a call once more if the configuration changed since it was
// admitted. An entry thawed after a freeze admits by the old template and takes
// in the new one before it calls the gate: the message then carries the new
// revision, and the gate could not tell.
func (o *Owner) readmit(j *job) error {
	if o.Config.Revision() == j.revision {
		return nil
	}
	revision, rule, err := o.rule(j.ask)
	if err != nil {
		return err
	}
	j.revision = revision
	j.rule = rule
	return nil
}

// admit checks what does not depend on the request's id being new.
func (o *Owner) admit(j *job) error {
	var known bool
	if j.kind, j.layers, known = o.Router.Describe(j.ask.Service); !known {
		return fault.New(fault.UnknownService, "no backend server offers service %q", j.ask.Service)
	}
	if j.kind == model.KindPipeline && j.ask.MaxTokens == 0 {
		return fault.New(fault.InvalidRequest, "max_tokens is missing for pipeline service %q", j.ask.Service)
	}
	if j.kind == model.KindPipeline && len(j.ask.Body) == 0 {
		return fault.New(fault.InvalidRequest, "prompt is empty")
	}
	if j.notRepeatable {
		var err error
		if j.made, err = ledger.CheckID(j.ask.ID, o.Now()); err != nil {
			return err
		}
	}
	ok, wait := o.RateLimiter.Allow(j.ask.Customer, j.ask.Service, j.rule.Rate, j.rule.Burst, o.Now())
	if !ok {
		e := fault.New(fault.RateLimited, "rate of %g a second for service %q is used up", j.rule.Rate, j.ask.Service)
		e.RetryAfter = limits.Jitter(wait)
		return e
	}
	return nil
}

func (j *job) timeout() time.Duration {
	const fallback = 30 * time.Second
	d := fallback
	if j.rule.DefaultTimeout > 0 {
		d = j.rule.DefaultTimeout
	}
	if j.ask.Timeout > 0 {
		d = j.ask.Timeout
	}
	if j.notRepeatable {
		d = min(d, MaxNonRepeatableTimeout)
	}
	return d
}

func (o *Owner) join(ask Submission, r *requests.Request) error {
	if r.Content != content(ask) {
		err := fault.New(fault.ConflictingID, "request id %q was used for another request", ask.ID)
		o.Events.Add(r.Key, events.Rejected, err.Error())
		return err
	}
	o.Events.Add(r.Key, events.Joined, "")
	return nil
}

func (o *Owner) reject(ask Submission, err error) error {
	o.Events.Add(model.RequestKey{Customer: ask.Customer, ID: ask.ID}, events.Rejected, err.Error())
	klog.V(1).InfoS("Submission refused", "request", ask.ID, "customer", ask.Customer, "service", ask.Service,
		"err", err, "instance", o.Instance, "incarnation", o.Incarnation)
	return err
}

func content(ask Submission) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(ask.Service)
	_, _ = d.Write([]byte{0, byte(ask.MaxTokens), byte(ask.MaxTokens >> 8)})
	_, _ = d.Write(ask.Body)
	return d.Sum64()
}

// serve carries a request to its outcome. It does not end with the caller's
// connection: the caller may come back for the answer.
func (o *Owner) serve(j *job) {
	defer o.intake.leave()
	ctx, cancel := context.WithDeadline(context.Background(), j.req.Deadline)
	defer cancel()
	o.RetryBudget.RecordRequest()
	var out model.Outcome
	switch {
	case j.notRepeatable:
		out = o.serveOnce(ctx, j)
	case j.kind == model.KindPipeline:
		out = o.serveAdmitted(ctx, j)
	default:
		out = o.servePlain(ctx, j)
	}
	out.Entry = o.Instance
	o.Events.Add(j.key(), events.OutcomeRecorded, string(out.State)+" "+out.Kind)
	o.log(j, out)
	j.req.Finish(out)
	o.Observe(j.ask.Service, out, o.Now().Sub(j.began))
	o.copyOutcome(j.key(), out)
}

// log writes a line for each request that ended, so that it can be found without
// asking: always where it was cut off, which an engineer will be asked about;
// with -v=1 where it did not run, as a burst refuses thousands; with -v=2 all.
func (o *Owner) log(j *job, out model.Outcome) {
	level := klog.Level(2)
	switch out.State {
	case model.CutOff:
		level = 0
	case model.NotRun:
		level = 1
	}
	klog.V(level).InfoS("Request ended", "request", j.ask.ID, "customer", j.ask.Customer, "service", j.ask.Service,
		"outcome", out.State, "kind", out.Kind, "cause", out.Cause, "evidence", out.Evidence,
		"instance", o.Instance, "incarnation", o.Incarnation)
}

// serveAdmitted runs a pipeline request once there is room for it.
func (o *Owner) serveAdmitted(ctx context.Context, j *job) model.Outcome {
	err := o.AdmissionLimiter.Acquire(ctx, admission.Request{
		Customer: j.ask.Customer,
		Priority: j.rule.Priority,
		Deadline: j.req.Deadline,
	})
	if err != nil {
		return fault.NotRun(fault.From(err), "never handed over: refused at admission")
	}
	out := o.servePipeline(ctx, j, nil)
	o.AdmissionLimiter.Release(j.ask.Customer, out.State == model.NotRun)
	return out
}

// outcomeCopies is at how many other entries a final outcome is left, so that
// it can be told after this entry is gone.
const outcomeCopies = 2

func (o *Owner) copyOutcome(key model.RequestKey, out model.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timing.CallTimeout)
	defer cancel()
	for _, addr := range o.copyHolders(key) {
		_ = o.Peers.Notify(ctx, addr, wire.MethodOutcomeCopy, wire.OutcomeCopy{Key: key, Outcome: out})
	}
}

func (o *Owner) copyHolders(key model.RequestKey) []string {
	var addrs []string
	for _, m := range o.Table.Entries() {
		addrs = append(addrs, m.Instance.Address)
	}
	ranked := membership.Rendezvous(key.String(), addrs)
	return ranked[:min(outcomeCopies, len(ranked))]
}

// KnownOutcome answers what this entry knows of a request.
func (o *Owner) KnownOutcome(key model.RequestKey) wire.OutcomeReply {
	rep := wire.OutcomeReply{Started: o.started}
	if r, ok := o.Requests.Get(key); ok {
		rep.Known = true
		rep.Outcome = r.Outcome()
		rep.Answer = r.Answer()
		return rep
	}
	rep.Outcome, rep.Known = o.Requests.OutcomeCopy(key)
	return rep
}

// certainty orders what entries tell of one request: that it ran outweighs that
// it did not, as it may have been sent through several.
var certainty = map[model.State]int{
	model.NotRun:     1,
	model.InProgress: 2,
	model.CutOff:     3,
	model.Ran:        4,
}

// Outcome finds what became of a request, over all entries.
func (o *Owner) Outcome(ctx context.Context, key model.RequestKey) (model.Outcome, []string, error) {
	best := o.KnownOutcome(key)
	var unreachable []string
	for _, m := range o.Table.All() {
		if m.Instance.Role != model.RoleEntry {
			continue
		}
		rep, err := o.askEntry(ctx, m.Instance.Address, key)
		if err != nil {
			unreachable = append(unreachable, m.Instance.ID)
			continue
		}
		if rep.Known && certainty[rep.Outcome.State] > certainty[best.Outcome.State] {
			best = rep
		}
	}
	if !best.Known {
		return model.Outcome{}, unreachable, fault.New(fault.NotFound,
			"no reachable entry knows request %s; its record may be lost with an instance that is gone", key)
	}
	return best.Outcome, unreachable, nil
}

func (o *Owner) call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timing.CallTimeout)
	defer cancel()
	return o.Peers.Call(ctx, addr, m, req, rep)
}

// callTwice calls again over a new connection where the first is silent: an
// open connection can go dead while new ones work. Only for idempotent messages.
func (o *Owner) callTwice(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	err := o.call(ctx, addr, m, req, rep)
	if !fault.Is(err, fault.Unreachable) || ctx.Err() != nil {
		return err
	}
	o.Peers.Reset(addr)
	return o.call(ctx, addr, m, req, rep)
}

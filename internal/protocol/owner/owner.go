// Package owner implements an entry's handling of a request from acceptance to its
// final outcome. It admits the request under its customer's template, hands it to
// gates, collects the answer and repairs the chain of engines.
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

// Limits on callers' requests.
const (
	MaxBody     = 1 << 20
	MaxTokens   = 8192
	MaxIDLength = 64
	maxTimeout  = 10 * time.Minute
	// MaxNonRepeatableTimeout is the maximum timeout of a request that is not
	// repeatable. Gates retain its record that much longer than its id is accepted.
	MaxNonRepeatableTimeout = 2 * time.Minute
)

// Peers sends messages to other processes. link.Pool implements it.
type Peers interface {
	Call(ctx context.Context, addr string, m wire.Method, req, rep any) error
	Notify(ctx context.Context, addr string, m wire.Method, msg any) error
	Reset(addr string)
}

// Feeder sends inputs to the first stage of a chain.
type Feeder interface {
	Forward(ctx context.Context, to wire.Stage, f wire.Forward) error
}

// Router selects chains and backend servers; see package routing.
type Router interface {
	// Chain returns stages that cover the requested layers.
	Chain(req routing.ChainRequest) ([]routing.Stage, error)
	// PlainServer returns a backend server of a plain service.
	PlainServer(service string, avoid map[string]bool) (membership.Member, error)
	// Describe returns a service's kind and the number of layers of its model, or false
	// if the service is unknown.
	Describe(service string) (model.ServiceKind, int, bool)
}

// RecordIntent stores the intent to hand over a non-repeatable request; see
// ledger.Ledger.Record.
type RecordIntent func(ctx context.Context, in ledger.Intent, id string) (ledger.Intent, error)

// Deps are the dependencies of an Owner.
type Deps struct {
	Instance string // id of this entry
	// Incarnation identifies this start of the entry, for logs.
	Incarnation      string
	Address          string // link address of this entry
	Data             string // address for its data streams
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
	// Refresh updates the configuration to the revision of the peer at addr.
	Refresh func(ctx context.Context, addr string) error
	// Observe is called with each final outcome.
	Observe func(service string, o model.Outcome, elapsed time.Duration)
	Timing  Timing
}

// Timing configures the owner's timeouts and intervals.
type Timing struct {
	// CallTimeout is the timeout of one control message.
	CallTimeout time.Duration
	// StallTimeout is how long a pipeline may return no token before its stages are
	// checked.
	StallTimeout time.Duration
	// PollInterval is the interval at which another process is polled for an outcome.
	PollInterval time.Duration
}

// DefaultTiming returns the timing for instances in one region.
func DefaultTiming() Timing {
	return Timing{
		CallTimeout:  500 * time.Millisecond,
		StallTimeout: time.Second,
		PollInterval: 50 * time.Millisecond,
	}
}

// Owner handles the requests of one entry.
type Owner struct {
	Deps
	started time.Time
	runs    *shard.Map[string, *run]
	intake  *intake
}

// New returns an owner.
func New(d Deps) *Owner {
	return &Owner{Deps: d, started: d.Now(), runs: shard.New[string, *run](), intake: newIntake()}
}

// Submission is a request as submitted by a caller.
type Submission struct {
	Customer      string
	ID            string
	Service       string
	Body          []byte
	MaxTokens     int
	Timeout       time.Duration
	NotRepeatable bool
	// Hold is called once the request is accepted, which may outlast the call that submitted it. It
	// returns a function that is called when the request ends. It may be nil.
	Hold func() (release func())
}

// job is an accepted request in progress.
type job struct {
	submission    Submission
	req           *requests.Request
	rule          config.Rule
	revision      int64 // of the configuration that contains the rule
	kind          model.ServiceKind
	layers        int
	notRepeatable bool
	acceptedAt    time.Time
	run           string    // empty for a non-repeatable request
	createdAt     time.Time // time in the id of a non-repeatable request
	// retainUntil is the time until which gates must retain the record of the request. It
	// is past the deadline. For a non-repeatable request it covers the time in which the
	// same id may still be sent to another entry.
	retainUntil time.Time
	release     func() // of the submission's Hold
}

// positions returns the number of positions that a pipeline request runs.
func (j *job) positions() int {
	return len(splitPrompt(j.submission.Body)) + j.submission.MaxTokens - 1
}

func (j *job) key() model.RequestKey { return j.req.Key }

// runKey identifies the job's run at the gates.
func (j *job) runKey() wire.RunKey { return wire.RunKey{RequestKey: j.req.Key, Run: j.run} }

// Submit accepts a request or joins it to an earlier one with the same id and contents.
// On an error the request was not accepted and nothing ran.
func (o *Owner) Submit(sub Submission) (*requests.Request, error) {
	if sub.ID == "" {
		sub.ID = ulid.MustNew(ulid.Timestamp(o.Now()), rand.Reader).String()
	}
	if err := validate(sub); err != nil {
		return nil, o.reject(sub, err)
	}
	revision, rule, err := o.rule(sub)
	if err != nil {
		return nil, o.reject(sub, err)
	}
	j := &job{submission: sub, rule: rule, revision: revision, acceptedAt: o.Now(), notRepeatable: sub.NotRepeatable || rule.NotRepeatable}
	key := model.RequestKey{Customer: sub.Customer, ID: sub.ID}
	if r, ok := o.Requests.Get(key); ok {
		return r, o.join(sub, r)
	}
	if err := o.admit(j); err != nil {
		return nil, o.reject(sub, err)
	}
	if !o.intake.enter() {
		return nil, o.reject(sub, fault.New(fault.Leaving, "entry is leaving"))
	}
	r, joined := o.Requests.GetOrCreate(key, contentHash(sub), j.acceptedAt.Add(j.timeout()))
	if joined {
		o.intake.leave()
		return r, o.join(sub, r)
	}
	j.req = r
	j.release = func() {}
	if sub.Hold != nil {
		j.release = sub.Hold()
	}
	j.retainUntil = r.Deadline
	if j.notRepeatable {
		j.retainUntil = j.createdAt.Add(ledger.MaxIDAge + MaxNonRepeatableTimeout)
	} else {
		j.run = ulid.MustNew(ulid.Timestamp(j.acceptedAt), rand.Reader).String()
	}
	o.Events.Add(key, events.Accepted, sub.Service)
	go o.serve(j)
	return r, nil
}

func validate(sub Submission) error {
	switch {
	case sub.Customer == "":
		return fault.New(fault.InvalidRequest, "customer is missing")
	case sub.Service == "":
		return fault.New(fault.InvalidRequest, "service is missing")
	case len(sub.Customer) > MaxIDLength:
		return fault.New(fault.InvalidRequest, "customer is longer than %d bytes", MaxIDLength)
	case len(sub.ID) > MaxIDLength:
		return fault.New(fault.InvalidRequest, "request id is longer than %d bytes", MaxIDLength)
	case len(sub.Body) > MaxBody:
		return fault.New(fault.TooLarge, "body of %d bytes exceeds %d", len(sub.Body), MaxBody)
	case sub.MaxTokens < 0 || sub.MaxTokens > MaxTokens:
		return fault.New(fault.InvalidRequest, "max_tokens must be between 0 and %d", MaxTokens)
	case sub.Timeout < 0 || sub.Timeout > maxTimeout:
		return fault.New(fault.InvalidRequest, "timeout must be between 0 and %v", maxTimeout)
	}
	return nil
}

// rule returns the configuration revision and the rule of the customer's template for
// the service.
func (o *Owner) rule(sub Submission) (int64, config.Rule, error) {
	current := o.Config.Current()
	t, ok := current.Template(sub.Customer)
	if !ok {
		return 0, config.Rule{}, fault.New(fault.UnknownCustomer, "customer %q has no template", sub.Customer)
	}
	rule, ok := t.Rule(sub.Service)
	if !ok {
		return 0, rule, fault.New(fault.Forbidden, "customer %q may not reach service %q", sub.Customer, sub.Service)
	}
	return current.Head.Revision, rule, nil
}

// readmit checks the request again if the configuration has changed since it was
// admitted. A suspended entry may admit by the old template and apply the new
// configuration before it calls the gate. The gate cannot detect this from the revision
// in the message.
func (o *Owner) readmit(j *job) error {
	if o.Config.Revision() == j.revision {
		return nil
	}
	revision, rule, err := o.rule(j.submission)
	if err != nil {
		return err
	}
	j.revision = revision
	j.rule = rule
	return nil
}

// admit checks a new request and sets the job's kind, layers and creation time. The
// result does not depend on whether the id is new.
func (o *Owner) admit(j *job) error {
	var known bool
	if j.kind, j.layers, known = o.Router.Describe(j.submission.Service); !known {
		return fault.New(fault.UnknownService, "no backend server offers service %q", j.submission.Service)
	}
	if j.kind == model.KindPipeline && j.submission.MaxTokens == 0 {
		return fault.New(fault.InvalidRequest, "max_tokens is missing for pipeline service %q", j.submission.Service)
	}
	if j.kind == model.KindPipeline && len(j.submission.Body) == 0 {
		return fault.New(fault.InvalidRequest, "prompt is empty")
	}
	if j.notRepeatable {
		var err error
		if j.createdAt, err = ledger.CheckID(j.submission.ID, o.Now()); err != nil {
			return err
		}
	}
	ok, wait := o.RateLimiter.Allow(j.submission.Customer, j.submission.Service, j.rule.Rate, j.rule.Burst, o.Now())
	if !ok {
		e := fault.New(fault.RateLimited, "rate limit of %g requests per second for service %q exceeded", j.rule.Rate, j.submission.Service)
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
	if j.submission.Timeout > 0 {
		d = j.submission.Timeout
	}
	if j.notRepeatable {
		d = min(d, MaxNonRepeatableTimeout)
	}
	return d
}

func (o *Owner) join(sub Submission, r *requests.Request) error {
	if r.Content != contentHash(sub) {
		err := fault.New(fault.ConflictingID, "request id %q was used for another request", sub.ID)
		o.Events.Add(r.Key, events.Rejected, err.Error())
		return err
	}
	o.Events.Add(r.Key, events.Joined, "")
	return nil
}

func (o *Owner) reject(sub Submission, err error) error {
	o.Events.Add(model.RequestKey{Customer: sub.Customer, ID: sub.ID}, events.Rejected, err.Error())
	klog.V(1).InfoS("submission refused", "request", sub.ID, "customer", sub.Customer, "service", sub.Service,
		"err", err, "instance", o.Instance, "incarnation", o.Incarnation)
	return err
}

func contentHash(sub Submission) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(sub.Service)
	_, _ = d.Write([]byte{0, byte(sub.MaxTokens), byte(sub.MaxTokens >> 8)})
	_, _ = d.Write(sub.Body)
	return d.Sum64()
}

// serve executes a request until its outcome. It continues if the caller disconnects,
// because the caller may reconnect for the answer.
func (o *Owner) serve(j *job) {
	defer o.intake.leave()
	defer j.release()
	ctx, cancel := context.WithDeadline(context.Background(), j.req.Deadline)
	defer cancel()
	o.RetryBudget.RecordRequest()
	var out model.Outcome
	switch {
	case j.notRepeatable:
		out = o.serveNonRepeatable(ctx, j)
	case j.kind == model.KindPipeline:
		out = o.serveAdmitted(ctx, j)
	default:
		out = o.servePlain(ctx, j)
	}
	out.Entry = o.Instance
	o.Events.Add(j.key(), events.OutcomeRecorded, string(out.State)+" "+out.Kind)
	o.log(j, out)
	j.req.Finish(out)
	o.Observe(j.submission.Service, out, o.Now().Sub(j.acceptedAt))
	o.copyOutcome(j.key(), out)
}

// log logs the outcome of a request: always if it was cut off, with -v=1 if it did not
// run, because a burst may refuse thousands, and with -v=2 otherwise.
func (o *Owner) log(j *job, out model.Outcome) {
	level := klog.Level(2)
	switch out.State {
	case model.CutOff:
		level = 0
	case model.NotRun:
		level = 1
	}
	klog.V(level).InfoS("request ended", "request", j.submission.ID, "customer", j.submission.Customer, "service", j.submission.Service,
		"outcome", out.State, "kind", out.Kind, "cause", out.Cause, "evidence", out.Evidence,
		"instance", o.Instance, "incarnation", o.Incarnation)
}

// serveAdmitted runs a pipeline request after the admission limiter admits it.
func (o *Owner) serveAdmitted(ctx context.Context, j *job) model.Outcome {
	err := o.AdmissionLimiter.Acquire(ctx, admission.Request{
		Customer: j.submission.Customer,
		Priority: j.rule.Priority,
		Deadline: j.req.Deadline,
	})
	if err != nil {
		return fault.NotRun(fault.From(err), "never handed over: refused at admission")
	}
	out := o.servePipeline(ctx, j, nil)
	o.AdmissionLimiter.Release(j.submission.Customer, out.State == model.NotRun)
	return out
}

// outcomeCopies is the number of other entries that get a copy of a final outcome, so
// that it stays available after this entry exits.
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

// KnownOutcome returns this entry's record of a request.
func (o *Owner) KnownOutcome(key model.RequestKey) wire.OutcomeReply {
	rep := wire.OutcomeReply{Started: o.started}
	if r, ok := o.Requests.Get(key); ok {
		rep.Known = true
		rep.Outcome = r.Outcome()
		rep.Answer, rep.Dropped = r.Answer(), r.AnswerDropped()
		return rep
	}
	rep.Outcome, rep.Known = o.Requests.OutcomeCopy(key)
	return rep
}

// statePrecedence ranks the states that entries report for one request. The request may
// have been sent through several entries, so a report that it ran outweighs one that it
// did not.
var statePrecedence = map[model.State]int{
	model.NotRun:     1,
	model.InProgress: 2,
	model.CutOff:     3,
	model.Ran:        4,
}

// Outcome queries all entries for the outcome of a request. It returns the outcome of
// highest precedence and the ids of the entries that could not be reached.
func (o *Owner) Outcome(ctx context.Context, key model.RequestKey) (model.Outcome, []string, error) {
	best := o.KnownOutcome(key)
	var unreachable []string
	for _, m := range o.Table.All() {
		if m.Instance.Role != model.RoleEntry {
			continue
		}
		rep, err := o.queryOutcome(ctx, m.Instance.Address, key)
		if err != nil {
			unreachable = append(unreachable, m.Instance.ID)
			continue
		}
		if rep.Known && statePrecedence[rep.Outcome.State] > statePrecedence[best.Outcome.State] {
			best = rep
		}
	}
	if !best.Known {
		return model.Outcome{}, unreachable, fault.New(fault.NotFound,
			"no reachable entry has a record of request %s; an instance that exited may have had it", key)
	}
	return best.Outcome, unreachable, nil
}

func (o *Owner) call(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timing.CallTimeout)
	defer cancel()
	return o.Peers.Call(ctx, addr, m, req, rep)
}

// callWithRetry retries an unreachable peer over a new connection, because an open
// connection may be broken while new ones work. It must be used for idempotent messages
// only.
func (o *Owner) callWithRetry(ctx context.Context, addr string, m wire.Method, req, rep any) error {
	err := o.call(ctx, addr, m, req, rep)
	if !fault.Is(err, fault.Unreachable) || ctx.Err() != nil {
		return err
	}
	o.Peers.Reset(addr)
	return o.call(ctx, addr, m, req, rep)
}

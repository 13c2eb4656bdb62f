// Package relay is the life of one caller's request on the users' platform:
// what it is granted, which backend server or chain of engines runs it, what is
// done when that fails, and what its caller is told. It answers each request
// once, and says "not run" only of what surely did not run.
package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// ErrRefused says that no process listens at an address.
var ErrRefused = errors.New("connection refused")

// ErrNotSent says that no byte of a request went out: there was no connection, or
// the context had ended.
var ErrNotSent = errors.New("not sent")

// Request is what is sent to a backend server.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a backend server's answer while its body is read.
type Response struct {
	Status int
	Header http.Header
	Body   ResponseBody
}

// ResponseBody reads an answer's body. Read gives io.EOF only where the answer is
// whole. Done must be called; further calls do nothing.
type ResponseBody interface {
	io.Reader
	// Discard marks the connection as unfit for another request.
	Discard()
	Close()
}

// BackendClient sends requests to backend servers, each once. ErrNotSent is proof
// that nothing was sent; after any other error the request may have run.
type BackendClient interface {
	Do(ctx context.Context, addr string, r *Request) (*Response, error)
	// CloseIdle closes the idle connections to an address, whose process has ended:
	// one that is silent would take another request.
	CloseIdle(addr string)
}

// ResponseWriter is who waits for the answer.
type ResponseWriter interface {
	// WriteHeader sends the head. length is -1 where the body's end is not known.
	WriteHeader(status int, header http.Header, length int64)
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// Observer counts what happens to requests.
type Observer interface {
	Request(route, service, outcome, kind string, took time.Duration)
	FirstEvent(service string, took time.Duration)
	Retry(service, reason string)
}

// SuspectTracker takes in evidence that an engine does not answer. It gets nothing
// until it has answered again.
type SuspectTracker interface {
	Unreachable(b *model.BackendServer, request string, err error)
	// Refused takes in that an engine answered and refused its work.
	Refused(b *model.BackendServer, request string, status int)
	// Exited takes in that an engine's process ended.
	Exited(engine model.Incarnation)
	// Responded takes in that this incarnation answered what it was asked at some
	// time.
	Responded(engine model.Incarnation, asked time.Time)
	// Lost tells whether an engine's process ended or has long been silent.
	Lost(engine model.Incarnation) bool
}

// Relay serves callers' requests.
type Relay struct {
	Config  *routes.ActiveConfig
	Catalog *catalog.Catalog
	Health  *catalog.Health
	Chooser *chains.Chooser
	Memory  *chains.UsageTracker
	// RetryBorrower holds the budget for repeated sends, and what is borrowed for it.
	RetryBorrower *limits.RetryBorrower
	WaitQueue     *admission.WaitQueue
	BackendClient BackendClient
	Observer      Observer
	// OnPanic counts a fault of the code that ended a request or one run of it, by
	// where it was; nil for nobody.
	OnPanic func(where string)
	// ActiveRuns is the work in progress at backend servers.
	ActiveRuns *ActiveRuns
	// Suspects is told of engines that do not answer.
	Suspects        SuspectTracker
	SlowdownMonitor *SlowdownMonitor
	// Detector relates the progress of streams to the engines they run through.
	Detector *detector.Detector
	// Quarantine knows the requests under which servers end. Trial asks whether one of
	// them may run at servers, alone among its kind.
	Quarantine   *quarantine.Tracker
	RequestTrial func(ctx context.Context, work model.Fingerprint, servers []model.Incarnation) quarantine.Grant
	// CheckListening asks whether a process takes connections at an address; an error other than
	// ErrRefused leaves that open.
	CheckListening func(ctx context.Context, addr string) error
	FailureDomain  string
	// MaxConfigAge is how long ago the configuration may have been confirmed
	// for a refusal that rests on it.
	MaxConfigAge time.Duration
	// Clock goes on while the instance is suspended.
	Clock func() time.Duration
	Now   func() time.Time
	// Started is when the process began to take requests.
	Started time.Time
}

// request is one request on its way.
type request struct {
	*Relay
	call   *model.Call
	ticket routes.Admission
	out    *begun
	since  time.Time
	// runs counts the sends that may have run; sends counts all.
	runs, sends int
	// unsent counts the tries of which nothing went out.
	unsent  int
	waiting bool // for room at the engines
	// granted says that the next repeated send was taken from the budget already.
	granted bool
	avoid   map[model.Incarnation]bool
	// fingerprint is the request's, made when it is first asked for: by the request, or by
	// whoever tells of a server's end.
	fingerprint     model.Fingerprint
	fingerprintOnce sync.Once
	// barred is where the request may not run now though others may.
	barred barred
	chain  string // for the log
	// firstEvent and longestGap describe a stream as its caller saw it; 0
	// where there was none.
	firstEvent, longestGap time.Duration
}

// Serve answers one request. whole is false where the caller's connection must
// be broken off, because the answer cannot be completed.
func (r *Relay) Serve(ctx context.Context, c *model.Call, caller ResponseWriter) (whole bool) {
	q := &request{Relay: r, call: c, out: &begun{ResponseWriter: caller}, since: r.Now(), avoid: map[model.Incarnation]bool{}}
	defer q.contain(&whole)
	table := r.table(ctx)
	if table == nil {
		return q.refuse(fault.New(fault.NotReady, "no configuration yet"))
	}
	ticket, denied := table.Admit(c, q.since)
	q.ticket = ticket
	if denied != nil {
		return q.deny(denied)
	}
	r.RetryBorrower.Budget.RecordRequest(ticket.Service.Name)
	if !ticket.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, ticket.Deadline)
		defer cancel()
	}
	if ticket.Service.Engine != nil {
		return q.generate(ctx)
	}
	return q.dispatch(ctx)
}

// startWait is for how long after its start a router lets requests wait for the
// first configuration. It comes within milliseconds from the store, within half
// a second from a peer, and within the store's first reads after an outage;
// callers of a site that restarts have one retry, which a refusal would use up.
const startWait = 2 * time.Second

// table gives the configuration in force. Right after the start it waits for
// the first one.
func (r *Relay) table(ctx context.Context) *routes.Table {
	table := r.Config.Load()
	left := startWait - r.Now().Sub(r.Started)
	if table != nil || left <= 0 {
		return table
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.Config.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.Config.Load()
}

// left is how much time the request has; 0 where it has no bound.
func (q *request) left() time.Duration {
	if q.ticket.Deadline.IsZero() {
		return 0
	}
	return max(q.ticket.Deadline.Sub(q.Now()), time.Millisecond)
}

func (q *request) outbound(s platform.ForwardOptions) *Request {
	s.Customer = q.ticket.Customer
	s.Timeout = q.left()
	s.Priority = min(q.ticket.Priority, 9)
	return &Request{
		Method: q.call.Method,
		Target: q.call.Target,
		Host:   q.call.Host,
		Header: platform.EncodeCall(q.call, s),
		Body:   q.call.Body,
	}
}

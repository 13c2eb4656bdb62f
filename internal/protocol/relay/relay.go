// Package relay serves one caller's request from admission to response: it
// chooses a backend server or a chain of engines, retries on failure and writes the
// response. Each request gets exactly one response. A status that promises that the
// request did not run is sent only where that is certain.
package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/admission"
	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/detector"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/pause"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// ErrRefused reports that no process listens at an address.
var ErrRefused = errors.New("connection refused")

// ErrNotSent reports that no byte of a request was sent: there was no connection, or
// the context had ended.
var ErrNotSent = errors.New("not sent")

// ErrWithheld reports that a request was not sent because its Permitted returned false. It is
// wrapped together with ErrNotSent.
var ErrWithheld = errors.New("withheld")

// ErrNoDescriptor reports that this process has no descriptor left for a connection to a backend server.
// It is wrapped together with ErrNotSent.
var ErrNoDescriptor = errors.New("no descriptor left for a connection")

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   model.Body
	// Permitted is called right before the first byte is sent, as a connection may take long
	// to open. If it returns false, nothing is sent. It may be nil.
	Permitted func() bool
}

// Response is a backend server's response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	Body   ResponseBody
	Length int64 // of the body in bytes; -1 if it is not announced
	// EndsWithConnection is set if the response has neither a length nor chunks, so that only
	// the end of its connection shows that it is complete.
	EndsWithConnection bool
}

// ResponseBody reads the body of a response. Read returns io.EOF only after the
// complete body. The caller must call Close. Further calls have no effect.
type ResponseBody interface {
	io.Reader
	// Discard prevents the connection from being reused for another request.
	Discard()
	Close()
}

// BackendClient sends requests to backend servers, each exactly once. ErrNotSent
// proves that nothing was sent. After any other error the request may have run.
type BackendClient interface {
	Do(ctx context.Context, addr string, r *Request) (*Response, error)
	// CloseIdle closes the idle connections to an address whose process has exited.
	// A connection that was not reset would otherwise be reused.
	CloseIdle(addr string)
}

// ResponseWriter writes the response to the caller.
type ResponseWriter interface {
	// WriteHeader sends the status and the headers. length is -1 if the length of the
	// body is not known.
	WriteHeader(status int, header http.Header, length int64)
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}

// Observer records request metrics.
type Observer interface {
	Request(route, service, outcome, kind string, elapsed time.Duration)
	FirstEvent(service string, elapsed time.Duration)
	Retry(service, reason string)
	// Refusal records that a backend server refused a request, and whether it asked for a
	// pause.
	Refusal(service string, pauseRequested bool)
	// CapacityRefused records that a request was refused for lack of capacity. urgency is 0
	// for the most urgent requests.
	CapacityRefused(service, reason string, urgency int)
	// ForecastError records by how much the wait of a request that got capacity was longer
	// than forecast; negative if it was shorter.
	ForecastError(service string, late time.Duration)
}

// SuspectTracker collects evidence that engines do not respond. A suspected engine
// gets no requests until it has responded again.
type SuspectTracker interface {
	Unreachable(b *model.BackendServer, request string, err error)
	// Refused records that an engine responded but refused a request. pause is how long it
	// asked for no requests, 0 if it did not.
	Refused(b *model.BackendServer, request string, status int, pause time.Duration)
	// Exited records that an engine's process has exited.
	Exited(engine model.Incarnation)
	// Responded records that an incarnation responded to a report request sent at the
	// given time.
	Responded(engine model.Incarnation, requestedAt time.Time)
	// Lost reports whether an engine's process has exited or has not responded for a
	// long time.
	Lost(engine model.Incarnation) bool
}

// Relay serves callers' requests. Its fields must be set before the first call.
type Relay struct {
	Config  *routes.ActiveConfig
	Catalog *catalog.Catalog
	Health  *catalog.Health
	Chooser *chains.Chooser
	Usage   *chains.UsageTracker
	// RetryBorrower holds the retry budget and borrows retry tokens from peers.
	RetryBorrower *limits.RetryBorrower
	WaitQueue     *admission.WaitQueue
	// Shortages records since when requests meet each shortage.
	Shortages admission.Shortages
	// Limits holds the rate limits that backend servers advertise. It may be nil.
	Limits *ratelimit.Tracker
	// Pauses holds the pauses that backend servers asked for. It may be nil.
	Pauses *pause.Tracker
	// AnnounceLeaving tells the other routers that a backend server said that it leaves. It may
	// be nil.
	AnnounceLeaving func(server model.Incarnation)
	BackendClient   BackendClient
	Observer        Observer
	// OnPanic counts a recovered panic by the place where it was recovered; may be nil.
	OnPanic func(where string)
	// ActiveRuns holds the runs in progress at backend servers.
	ActiveRuns *ActiveRuns
	// Suspects collects evidence about engines that do not respond.
	Suspects        SuspectTracker
	SlowdownMonitor *SlowdownMonitor
	// Detector infers failed engines from the progress of the streams that use them.
	Detector *detector.Detector
	// Quarantine tracks requests under which backend servers exit. RequestTrial asks for
	// permission to run such a request at servers that run no other suspect.
	Quarantine   *quarantine.Tracker
	RequestTrial func(ctx context.Context, subject quarantine.Subject, servers []model.Incarnation) quarantine.Grant
	// CheckListening returns nil if a process accepts connections at an address and
	// ErrRefused if none does. Any other error is inconclusive.
	CheckListening func(ctx context.Context, addr string) error
	FailureDomain  string
	// MaxConfigAge is the greatest age of the configuration's last confirmation at which
	// it may justify a permanent refusal.
	MaxConfigAge time.Duration
	// Processor keeps the wait for the processor out of the timeouts by which others are
	// judged. It may be nil.
	Processor *processor.Monitor
	// Clock keeps running while the instance is suspended.
	Clock func() time.Duration
	Now   func() time.Time
	// Started is when the process began to accept requests.
	Started time.Time
}

// request is the state of one request.
type request struct {
	*Relay
	call     *model.Call
	account  *clientbudget.Account // of the caller's connection; nil if it has none
	admitted routes.Admission
	// configAge and configOrigin are the time since the configuration that admitted the request
	// was last confirmed, and from where it came; for the log.
	configAge    time.Duration
	configOrigin string
	out          *headerTracker
	startTime    time.Time
	// runs counts the sends that may have run; sends counts all sends.
	runs, sends int
	// unsentAttempts counts the attempts of which nothing was sent.
	unsentAttempts     int
	waitingForCapacity bool
	// waited is the time that the request has waited in the line of a prioritized service.
	waited time.Duration
	// chosenAt is when the server or the chain of the current attempt was chosen.
	chosenAt time.Time
	// unmetAt is when the request was last recorded as unmet demand for the interconnect.
	unmetAt time.Time
	// capacityRefusalRecorded is set once a refusal for lack of capacity was logged and counted.
	// A request that waits for a trial is refused a chain many times.
	capacityRefusalRecorded bool
	// withheld is set if the last choice of a server failed because of rate limits or pauses.
	withheld bool
	// lacksDescriptor is set once no descriptor was left for a connection to a server.
	lacksDescriptor bool
	// retryGranted is set if a token for the next retry was already taken.
	retryGranted bool
	avoid        map[model.Incarnation]bool
	// cachedFingerprint is computed on first use, possibly by the goroutine that reports
	// a server's exit.
	cachedFingerprint model.Fingerprint
	fingerprintOnce   sync.Once
	// excluded lists the servers and domains that are excluded for this request only.
	excluded exclusions
	chain    string // for the log
	// timeToFirstEvent and longestGap describe the stream as its caller received it;
	// 0 if there was none.
	timeToFirstEvent, longestGap time.Duration
}

// Serve handles one request. It returns false if the response is incomplete and the
// caller's connection must be aborted.
func (r *Relay) Serve(ctx context.Context, c *model.Call, out ResponseWriter) (complete bool) {
	q := &request{Relay: r, call: c, account: clientbudget.FromContext(ctx), out: &headerTracker{ResponseWriter: out}, startTime: r.Now(), avoid: map[model.Incarnation]bool{}}
	if !c.Received.IsZero() {
		q.startTime = c.Received
	}
	defer q.recoverPanic(&complete)
	table := r.table(ctx)
	if table == nil {
		return q.respondError(fault.New(fault.NotReady, "no configuration loaded yet"))
	}
	if caller.Check(ctx, caller.Handling) != nil {
		return q.respondError(q.contextError(ctx))
	}
	admitted, denied := table.Admit(c, q.startTime)
	q.admitted = admitted
	q.configAge, q.configOrigin = r.Config.Age(r.Clock()), table.Origin
	if denied != nil {
		return q.reject(denied)
	}
	r.RetryBorrower.Budget.RecordRequest(admitted.Service.Name)
	if !admitted.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, admitted.Deadline)
		defer cancel()
	}
	if admitted.Service.Engine != nil {
		return q.serveStream(ctx)
	}
	return q.servePlain(ctx)
}

// remaining returns the time left until the request's deadline; 0 if it has none.
func (q *request) remaining() time.Duration {
	if q.admitted.Deadline.IsZero() {
		return 0
	}
	return max(q.admitted.Deadline.Sub(q.Now()), time.Millisecond)
}

// newRequest returns the request to send to a server. A server that asks for a pause while the
// connection is opened does not get it.
func (q *request) newRequest(b *model.BackendServer, s platform.ForwardOptions) *Request {
	s.Instance = b.ID
	s.Customer = q.admitted.Customer
	s.Timeout = q.remaining()
	s.Priority = min(q.admitted.Urgency, 9)
	return &Request{
		Permitted: func() bool { return !q.Pauses.Paused(b.Incarnation()) },
		Method:    q.call.Method,
		Target:    q.call.Target,
		Host:      q.call.Host,
		Header:    platform.EncodeCall(q.call, s),
		Body:      q.call.Body,
	}
}

// Package fault is the closed list of error kinds and the one table that says
// how each is answered. No layer makes up an answer of its own.
package fault

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Kind names one way in which a request can fail.
type Kind string

// The error kinds. A new one needs a row in the table below.
const (
	InvalidRequest   Kind = "invalid_request"
	TooLarge         Kind = "too_large"
	ConflictingID    Kind = "conflicting_request_id"
	ExpiredID        Kind = "expired_request_id"
	UnknownCustomer  Kind = "unknown_customer"
	UnknownService   Kind = "unknown_service"
	Forbidden        Kind = "forbidden"
	RateLimited      Kind = "rate_limited"
	Overloaded       Kind = "overloaded"
	NoCapacity       Kind = "no_capacity"
	Leaving          Kind = "leaving"
	NotReady         Kind = "not_ready"
	StoreUnavailable Kind = "store_unavailable"
	Deadline         Kind = "deadline"
	BackendLost      Kind = "backend_lost"
	BackendFailed    Kind = "backend_failed"
	Cancelled        Kind = "cancelled"
	// CancelledUnsent says that the caller left before anything was sent.
	CancelledUnsent Kind = "cancelled_unsent"
	// CancelledSent says that the caller left after its request was sent. One that
	// only closed its sending side still reads the answer.
	CancelledSent    Kind = "cancelled_sent"
	WrongIncarnation Kind = "wrong_incarnation"
	AlreadyHandedOff Kind = "already_handed_over"
	RevisionConflict Kind = "revision_conflict"
	NotFound         Kind = "not_found"
	// Unreachable leaves open whether the peer acted on a message.
	Unreachable Kind = "unreachable"
	// NotConnected is proof that nothing was sent: there was no connection.
	NotConnected Kind = "not_connected"
	// TimedOutUnsent says that the time was over before anything was sent.
	TimedOutUnsent Kind = "timed_out_unsent"
	StaleConfig    Kind = "stale_configuration"
	// Quarantined says that servers end under this very request, whoever sends it on:
	// it goes to none any more, and coming back unchanged will not help.
	Quarantined Kind = "quarantined"
	// OnTrial says that servers ended under the request and that it runs alone for now,
	// which it cannot at this moment. It was not sent.
	OnTrial  Kind = "on_trial"
	Internal Kind = "internal"
)

// Response is a row of the table from kind to answer.
type Response struct {
	Code connect.Code
	// Status answers callers of plain HTTP. 408, 421, 429 and 503 promise that
	// the request did not run and never will; 502 and 504 promise nothing.
	Status int
	// RetryAfter is the usual time after which coming back is worth it; zero
	// means coming back unchanged will not help.
	RetryAfter time.Duration
	// Retryable says that another backend server may be tried, provided the
	// gate proved that nothing ran or the request is repeatable.
	Retryable bool
}

var table = map[Kind]Response{
	InvalidRequest:   {Code: connect.CodeInvalidArgument, Status: 400},
	TooLarge:         {Code: connect.CodeInvalidArgument, Status: 413},
	ConflictingID:    {Code: connect.CodeAlreadyExists, Status: 409},
	ExpiredID:        {Code: connect.CodeFailedPrecondition, Status: 400},
	UnknownCustomer:  {Code: connect.CodePermissionDenied, Status: 401},
	UnknownService:   {Code: connect.CodeNotFound, Status: 404},
	Forbidden:        {Code: connect.CodePermissionDenied, Status: 403},
	RateLimited:      {Code: connect.CodeResourceExhausted, Status: 429, RetryAfter: time.Second},
	Overloaded:       {Code: connect.CodeResourceExhausted, Status: 503, RetryAfter: time.Second, Retryable: true},
	NoCapacity:       {Code: connect.CodeUnavailable, Status: 503, RetryAfter: 2 * time.Second, Retryable: true},
	Leaving:          {Code: connect.CodeUnavailable, Status: 503, RetryAfter: 200 * time.Millisecond, Retryable: true},
	NotReady:         {Code: connect.CodeUnavailable, Status: 503, RetryAfter: time.Second, Retryable: true},
	StoreUnavailable: {Code: connect.CodeUnavailable, Status: 503, RetryAfter: 5 * time.Second},
	Deadline:         {Code: connect.CodeDeadlineExceeded, Status: 504, RetryAfter: time.Second},
	BackendLost:      {Code: connect.CodeUnavailable, Status: 502, RetryAfter: time.Second, Retryable: true},
	BackendFailed:    {Code: connect.CodeInternal, Status: 502, Retryable: true},
	Cancelled:        {Code: connect.CodeCanceled, Status: 499},
	CancelledSent:    {Code: connect.CodeCanceled, Status: 502, RetryAfter: time.Second},
	CancelledUnsent:  {Code: connect.CodeCanceled, Status: 503, RetryAfter: time.Second},
	WrongIncarnation: {Code: connect.CodeUnavailable, Status: 503, RetryAfter: 200 * time.Millisecond, Retryable: true},
	AlreadyHandedOff: {Code: connect.CodeAlreadyExists, Status: 409},
	RevisionConflict: {Code: connect.CodeAborted, Status: 409},
	NotFound:         {Code: connect.CodeNotFound, Status: 404},
	Unreachable:      {Code: connect.CodeUnavailable, Status: 502, RetryAfter: time.Second, Retryable: true},
	StaleConfig:      {Code: connect.CodeUnavailable, Status: 503, RetryAfter: time.Second, Retryable: true},
	NotConnected:     {Code: connect.CodeUnavailable, Status: 503, RetryAfter: time.Second, Retryable: true},
	TimedOutUnsent:   {Code: connect.CodeDeadlineExceeded, Status: 503, RetryAfter: time.Second},
	Quarantined:      {Code: connect.CodeFailedPrecondition, Status: 400},
	OnTrial:          {Code: connect.CodeUnavailable, Status: 503, RetryAfter: 2 * time.Second},
	Internal:         {Code: connect.CodeInternal, Status: 500},
}

// Kinds lists every kind that has an answer.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response gives the row for a kind; an unknown kind is answered as Internal.
func (k Kind) Response() Response {
	row, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return row
}

// Error is a failure of a known kind.
type Error struct {
	Kind Kind
	// Msg is written for the caller.
	Msg string
	// RetryAfter overrides the table's time when not zero.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Msg
}

// RetryDelay gives the time after which the caller may come back; zero means never.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// WithKind gives the same message under another kind.
func (e *Error) WithKind(k Kind) *Error {
	return &Error{Kind: k, Msg: e.Msg, RetryAfter: e.RetryAfter}
}

// New makes an error of a kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Msg: fmt.Sprintf(format, args...)}
}

// From finds the Error in err's chain; an error of no known kind is Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Msg: err.Error()}
}

// Is tells whether err is of kind k.
func Is(err error, k Kind) bool {
	return err != nil && From(err).Kind == k
}

// NotRun is the outcome of a request that provably never ran.
func NotRun(e *Error, evidence string) model.Outcome {
	return outcome(model.NotRun, e, evidence)
}

// CutOff is the outcome of a request that may have run.
func CutOff(e *Error, evidence string) model.Outcome {
	o := outcome(model.CutOff, e, evidence)
	o.MayHaveRun = true
	return o
}

func outcome(s model.State, e *Error, evidence string) model.Outcome {
	return model.Outcome{
		State:      s,
		Kind:       string(e.Kind),
		Cause:      e.Msg,
		RetryAfter: e.RetryDelay(),
		Evidence:   evidence,
	}
}

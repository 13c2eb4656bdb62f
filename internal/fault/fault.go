// Package fault defines the kinds of errors and the response to each kind. Every error
// response is built from its table.
package fault

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Kind identifies a way in which a request can fail.
type Kind string

// The error kinds. Each kind needs an entry in table.
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
	// CancelledUnsent means that the caller disconnected before anything was sent.
	CancelledUnsent Kind = "cancelled_unsent"
	// CancelledSent means that the caller disconnected after its request was sent. A
	// caller that only closed its sending side still reads the response.
	CancelledSent    Kind = "cancelled_sent"
	WrongIncarnation Kind = "wrong_incarnation"
	AlreadyHandedOff Kind = "already_handed_over"
	RevisionConflict Kind = "revision_conflict"
	NotFound         Kind = "not_found"
	// Unreachable means that the peer may or may not have acted on a message.
	Unreachable Kind = "unreachable"
	// NotConnected means that nothing was sent because there was no connection.
	NotConnected Kind = "not_connected"
	// TimedOutUnsent means that the deadline passed before anything was sent.
	TimedOutUnsent Kind = "timed_out_unsent"
	StaleConfig    Kind = "stale_configuration"
	// Quarantined means that servers exited while they ran this request. It is not sent
	// to any server, and a retry without changes does not help.
	Quarantined Kind = "quarantined"
	// OnTrial means that servers exited while they ran this request. It may only run in
	// a trial, which is not possible at the moment. It was not sent.
	OnTrial  Kind = "on_trial"
	Internal Kind = "internal"
)

// Response describes how an error of a kind is reported to the caller.
type Response struct {
	Code connect.Code
	// Status is the HTTP status. 408, 421, 429 and 503 guarantee that the request did
	// not run and will not run. 502 and 504 guarantee nothing.
	Status int
	// RetryAfter is the usual delay after which a retry may succeed. Zero means that a
	// retry without changes does not help.
	RetryAfter time.Duration
	// Retryable reports whether another backend server may be tried. This also requires
	// that the gate proved that nothing ran or that the request is repeatable.
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

// Kinds returns all kinds that have a response, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response to errors of kind k. An unknown kind is treated as
// Internal.
func (k Kind) Response() Response {
	row, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return row
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Msg is shown to the caller.
	Msg string
	// RetryAfter replaces the delay of the kind's response unless it is zero.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Msg
}

// RetryDelay returns the delay after which the caller may retry. Zero means that a retry
// does not help.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// WithKind returns a copy of e with another kind.
func (e *Error) WithKind(k Kind) *Error {
	return &Error{Kind: k, Msg: e.Msg, RetryAfter: e.RetryAfter}
}

// New returns an error of a kind with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Msg: fmt.Sprintf(format, args...)}
}

// From returns the Error that err wraps. If there is none, it returns an error of kind
// Internal with the text of err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Msg: err.Error()}
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool {
	return err != nil && From(err).Kind == k
}

// NotRun returns the outcome of a request that provably did not run.
func NotRun(e *Error, evidence string) model.Outcome {
	return outcome(model.NotRun, e, evidence)
}

// CutOff returns the outcome of a request that may have run.
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

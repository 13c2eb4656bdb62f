// Package wire defines the messages that processes exchange over links, and the methods
// under which they are sent.
package wire

import (
	"encoding/json"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

// Method identifies a call or notification on a link.
type Method string

// Methods that every process handles.
const (
	MethodHello       Method = "hello"
	MethodEvents      Method = "events"
	MethodConfigFetch Method = "config.fetch"
	MethodConfigPush  Method = "config.push"
)

// Methods that sidecars handle.
const (
	MethodOpen    Method = "stage.open"
	MethodResume  Method = "stage.resume"
	MethodNoStage Method = "stage.none" // notification; entries handle it too
	MethodClose   Method = "stage.close"
	MethodCall    Method = "plain.call"
	MethodCancel  Method = "gate.cancel"
	MethodQuery   Method = "gate.query"
)

// Methods that entries handle.
const (
	MethodStageFailed Method = "owner.stage_failed" // notification
	MethodIntent      Method = "ledger.intent"
	MethodOutcome     Method = "owner.outcome"
	MethodOutcomeCopy Method = "owner.outcome_copy" // notification
)

// Envelope wraps every message and every reply. The clock reading keeps events in
// causal order. A configuration revision higher than the receiver's shows that the
// sender has newer templates.
type Envelope struct {
	Clock    hlc.Timestamp   `json:"h"`
	Revision int64           `json:"v"`
	From     string          `json:"f,omitempty"` // link address of the sender
	Body     json.RawMessage `json:"b,omitempty"`
}

// Fault is an error as encoded on a link.
type Fault struct {
	Kind       string        `json:"kind"`
	Msg        string        `json:"msg"`
	RetryAfter time.Duration `json:"after,omitempty"`
}

// Hello requests a process's identity and serves as the heartbeat. If Known is the
// present incarnation, the reply carries only the load.
type Hello struct {
	Known string `json:"k,omitempty"`
}

// HelloReply describes a process and its load.
type HelloReply struct {
	Instance    *model.Instance   `json:"instance,omitempty"` // nil if the sender knows it
	Incarnation string            `json:"inc"`
	Data        string            `json:"data,omitempty"` // address for its data streams
	Service     string            `json:"service,omitempty"`
	Kind        model.ServiceKind `json:"kind,omitempty"`
	Range       model.LayerRange  `json:"range,omitzero"`
	Layers      int               `json:"layers,omitempty"` // of the complete model
	StepMicros  int64             `json:"step,omitempty"`   // per layer and position
	Rate        float64           `json:"rate,omitempty"`   // positions per second with full batches
	Load        Load              `json:"load"`
}

// Backend returns the reply's description of a backend server as package membership
// represents it.
func (r HelloReply) Backend() membership.Backend {
	return membership.Backend{
		Data:     r.Data,
		Service:  r.Service,
		Kind:     r.Kind,
		Range:    r.Range,
		Layers:   r.Layers,
		StepTime: time.Duration(r.StepMicros) * time.Microsecond,
		Rate:     r.Rate,
		Active:   r.Load.Active,
		Queued:   r.Load.Queued,
		Capacity: r.Load.Capacity,
		Leaving:  r.Load.Leaving,
	}
}

// Load is the load of a gate. Most replies of a gate carry it.
type Load struct {
	Active   int  `json:"a"`
	Queued   int  `json:"q,omitempty"`
	Capacity int  `json:"c"`
	Leaving  bool `json:"l,omitempty"`
}

// RunKey identifies one run of a request. A caller may retry at another entry while
// gates still have the first entry's run. The two runs must stay separate. A request
// that is not repeatable has a single run with an empty Run, so that every gate
// recognizes it regardless of the sender.
type RunKey struct {
	model.RequestKey
	Run string `json:"run,omitempty"`
}

// String returns the key for logs, maps and engine sessions.
func (k RunKey) String() string {
	return k.RequestKey.String() + "#" + k.Run
}

// Stage is one stage of a chain: an engine and its layers.
type Stage struct {
	Address     string           `json:"addr"`
	Data        string           `json:"data,omitempty"` // address for its data streams
	Incarnation string           `json:"inc"`
	Range       model.LayerRange `json:"range"`
}

// Open requests a slot at a gate for a stage of a chain, or moves an open stage to a
// higher epoch.
type Open struct {
	Key   RunKey  `json:"key"`
	Epoch int64   `json:"epoch"`
	Chain []Stage `json:"chain"`
	Index int     `json:"i"`
	Owner string  `json:"owner"` // link address of the entry
	// OwnerData is the address for the entry's data streams.
	OwnerData string    `json:"odata"`
	Prompt    int64     `json:"prompt"`
	Tokens    int64     `json:"tokens"` // number to generate
	Deadline  time.Time `json:"deadline"`
	// RetainUntil is until when the gate must retain the record of the request.
	RetainUntil time.Time `json:"keep"`
	Priority    int       `json:"prio"`
}

// OpenReply returns the next position that the stage accepts and the number of
// positions that it has run.
type OpenReply struct {
	Next int64 `json:"next"`
	Ran  int64 `json:"ran"`
	Load Load  `json:"load"`
}

// Resume lets a stage send under its epoch, starting at what each receiver is missing.
type Resume struct {
	Key       RunKey `json:"key"`
	Epoch     int64  `json:"epoch"`
	NextInput int64  `json:"next"`  // next position of the stage after this one
	NextToken int64  `json:"token"` // last stage only: next token of the owner
	FirstNext int64  `json:"first"` // last stage only: next position of the first stage
}

// Forward carries the inputs of consecutive positions to a stage.
type Forward struct {
	Key      RunKey   `json:"key"`
	Epoch    int64    `json:"epoch"`
	Position int64    `json:"pos"`
	Data     [][]byte `json:"data"`
}

// NoStage notifies the sender of a Forward that the receiver has no open stage for it
// because the sidecar was replaced.
type NoStage struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
}

// Tokens carries generated tokens to the owner. Position is the index of the first
// token, counted from 0.
type Tokens struct {
	Key      RunKey   `json:"key"`
	Epoch    int64    `json:"epoch"`
	Position int64    `json:"pos"`
	Data     [][]byte `json:"data"`
}

// StageFailed notifies the owner that a stage cannot continue.
type StageFailed struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
	// Address is that of the lost stage: the sender if its own engine failed, or the
	// next stage if that is unreachable.
	Address string `json:"addr"`
	Cause   string `json:"cause"`
}

// Close closes a stage of a request.
type Close struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
}

// CloseReply carries the gate's load after the stage is closed.
type CloseReply struct {
	Load Load `json:"load"`
}

// Call requests one call of a plain service.
type Call struct {
	Key         RunKey    `json:"key"`
	Attempt     int64     `json:"attempt"`
	Incarnation string    `json:"inc"`
	Body        []byte    `json:"body"`
	Deadline    time.Time `json:"deadline"`
	Priority    int       `json:"prio"`
	// RetainUntil is until when the gate must retain the record of the request.
	RetainUntil time.Time `json:"keep"`
	// NotRepeatable allows at most one handover to a backend server.
	NotRepeatable bool `json:"nr,omitempty"`
	// Revision is the configuration revision under which the call was admitted. The
	// envelope's revision may be newer.
	Revision int64 `json:"rev,omitempty"`
}

// AdmittedBy returns the configuration revision under which the call was admitted.
func (c Call) AdmittedBy() int64 { return c.Revision }

// Cancel prevents a request from starting at a gate and requests its execution state.
// The gate keeps the tombstone until RetainUntil.
type Cancel struct {
	Key         RunKey    `json:"key"`
	Incarnation string    `json:"inc"`
	RetainUntil time.Time `json:"keep"`
}

// ExecutionState is a gate's record of whether a request was executed. It applies to
// the gate's own incarnation only.
type ExecutionState string

// The execution states. NeverStarted is proof: the gate has a tombstone that prevents a
// later start.
const (
	NeverStarted ExecutionState = "never_started"
	WasStarted   ExecutionState = "started"
	WasFinished  ExecutionState = "finished"
)

// Intent requests the single handover of a request that is not repeatable from the
// owner of its ledger shard.
type Intent struct {
	Key     model.RequestKey `json:"key"`
	Content uint64           `json:"hash"`
	Expires time.Time        `json:"exp"`
	// Grant is the requester's write id. The requester may hand over the request only if
	// the stored intent has this id.
	Grant string  `json:"grant"`
	Owner string  `json:"owner"` // link address of the requesting entry
	Gates []Stage `json:"gates"` // the only gates that may hand the request over
}

// IntentReply returns the stored intent: the requester's or an earlier one.
type IntentReply struct {
	Granted bool   `json:"granted"`
	Stored  Intent `json:"stored"`
}

// EventsQuery requests the events of one request.
type EventsQuery struct {
	Key model.RequestKey `json:"key"`
}

// EventsReply returns the events of one request.
type EventsReply struct {
	Events []events.Event `json:"events"`
}

// OutcomeQuery requests an entry's record of a request.
type OutcomeQuery struct {
	Key model.RequestKey `json:"key"`
}

// OutcomeCopy stores a copy of a final outcome at another entry.
type OutcomeCopy struct {
	Key     model.RequestKey `json:"key"`
	Outcome model.Outcome    `json:"outcome"`
}

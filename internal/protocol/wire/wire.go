// Package wire holds the typed messages that processes of the system send each
// other over their links, and the methods that carry them.
package wire

import (
	"encoding/json"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

// Method names a message that is called or notified over a link.
type Method string

// Methods answered by every process.
const (
	MethodHello       Method = "hello"
	MethodEvents      Method = "events"
	MethodConfigFetch Method = "config.fetch"
	MethodConfigPush  Method = "config.push"
)

// Methods answered by sidecars.
const (
	MethodOpen    Method = "stage.open"
	MethodResume  Method = "stage.resume"
	MethodNoStage Method = "stage.none" // notification, answered by entries too
	MethodClose   Method = "stage.close"
	MethodCall    Method = "plain.call"
	MethodCancel  Method = "gate.cancel"
	MethodQuery   Method = "gate.query"
)

// Methods answered by entries.
const (
	MethodStageFailed Method = "owner.stage_failed" // notification
	MethodIntent      Method = "ledger.intent"
	MethodOutcome     Method = "owner.outcome"
	MethodOutcomeCopy Method = "owner.outcome_copy" // notification
)

// Envelope goes around every message and every reply. The clock reading keeps
// events in causal order; the configuration revision tells a process that a
// peer has newer templates than its own.
type Envelope struct {
	Clock    hlc.Timestamp   `json:"h"`
	Revision int64           `json:"v"`
	From     string          `json:"f,omitempty"` // link address of the sender
	Body     json.RawMessage `json:"b,omitempty"`
}

// Fault is an error as it crosses a link.
type Fault struct {
	Kind       string        `json:"kind"`
	Msg        string        `json:"msg"`
	RetryAfter time.Duration `json:"after,omitempty"`
}

// Hello asks a process who it is; it doubles as the heartbeat. Known is the
// incarnation that the asker has met; to it only the load is told again.
type Hello struct {
	Known string `json:"k,omitempty"`
}

// HelloReply tells who a process is and how loaded.
type HelloReply struct {
	Instance    *model.Instance   `json:"instance,omitempty"` // nil where known
	Incarnation string            `json:"inc"`
	Data        string            `json:"data,omitempty"` // where its data streams end
	Service     string            `json:"service,omitempty"`
	Kind        model.ServiceKind `json:"kind,omitempty"`
	Range       model.LayerRange  `json:"range,omitzero"`
	Layers      int               `json:"layers,omitempty"` // of the whole model
	StepMicros  int64             `json:"step,omitempty"`   // per layer and position
	Rate        float64           `json:"rate,omitempty"`   // positions a second, full batches
	Load        Load              `json:"load"`
}

// Backend gives what the reply tells of a backend server in membership's terms.
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

// Load is what a gate says of itself on every reply.
type Load struct {
	Active   int  `json:"a"`
	Queued   int  `json:"q,omitempty"`
	Capacity int  `json:"c"`
	Leaving  bool `json:"l,omitempty"`
}

// RunKey names one run of a request. A caller may come back to another entry
// while the first one's run still stands at the gates; the runs must not mix. A
// request that is not repeatable has one run, with an empty Run, so that every
// gate recognises it whoever sends it.
type RunKey struct {
	model.RequestKey
	Run string `json:"run,omitempty"`
}

// String gives the key for logs, maps and engine sessions.
func (k RunKey) String() string {
	return k.RequestKey.String() + "#" + k.Run
}

// Stage is one stage of a chain.
type Stage struct {
	Address     string           `json:"addr"`
	Data        string           `json:"data,omitempty"` // where its data streams end
	Incarnation string           `json:"inc"`
	Range       model.LayerRange `json:"range"`
}

// Open asks a gate for a place in a chain, or moves an open stage to a higher
// epoch.
type Open struct {
	Key   RunKey  `json:"key"`
	Epoch int64   `json:"epoch"`
	Chain []Stage `json:"chain"`
	Index int     `json:"i"`
	Owner string  `json:"owner"` // link address of the entry
	// OwnerData is where the entry's data streams end.
	OwnerData string    `json:"odata"`
	Prompt    int64     `json:"prompt"`
	Tokens    int64     `json:"tokens"` // to generate
	Deadline  time.Time `json:"deadline"`
	// RetainUntil is until when the gate must know what became of the request.
	RetainUntil time.Time `json:"keep"`
	Priority    int       `json:"prio"`
}

// OpenReply tells which position the stage takes next, and how many it ran.
type OpenReply struct {
	Next int64 `json:"next"`
	Ran  int64 `json:"ran"`
	Load Load  `json:"load"`
}

// Resume lets a stage send under its epoch, from what its receivers lack.
type Resume struct {
	Key       RunKey `json:"key"`
	Epoch     int64  `json:"epoch"`
	NextInput int64  `json:"next"`  // next position of the stage after this one
	NextToken int64  `json:"token"` // last stage only: next token of the owner
	FirstNext int64  `json:"first"` // last stage only: next position of the first stage
}

// Forward carries inputs of consecutive positions to a stage.
type Forward struct {
	Key      RunKey   `json:"key"`
	Epoch    int64    `json:"epoch"`
	Position int64    `json:"pos"`
	Data     [][]byte `json:"data"`
}

// NoStage tells the sender of a Forward that no stage is open here for it: the
// sidecar was replaced meanwhile.
type NoStage struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
}

// Tokens carries generated tokens to the owner. Position counts tokens from 0.
type Tokens struct {
	Key      RunKey   `json:"key"`
	Epoch    int64    `json:"epoch"`
	Position int64    `json:"pos"`
	Data     [][]byte `json:"data"`
}

// StageFailed tells the owner that a stage cannot go on.
type StageFailed struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
	// Address of the stage that is lost: the reporter's own if its engine
	// failed, the next one's if that cannot be reached.
	Address string `json:"addr"`
	Cause   string `json:"cause"`
}

// Close ends a stage's part in a request.
type Close struct {
	Key   RunKey `json:"key"`
	Epoch int64  `json:"epoch"`
}

// CloseReply tells the load after it.
type CloseReply struct {
	Load Load `json:"load"`
}

// Call asks a gate to carry out one call of a plain service.
type Call struct {
	Key         RunKey    `json:"key"`
	Attempt     int64     `json:"attempt"`
	Incarnation string    `json:"inc"`
	Body        []byte    `json:"body"`
	Deadline    time.Time `json:"deadline"`
	Priority    int       `json:"prio"`
	// RetainUntil is until when the gate must know what became of the request.
	RetainUntil time.Time `json:"keep"`
	// NotRepeatable allows one hand-over to the backend server, ever.
	NotRepeatable bool `json:"nr,omitempty"`
	// Revision is that of the configuration by which the call was admitted. The
	// sender may have a newer one by now, which rides on the message.
	Revision int64 `json:"rev,omitempty"`
}

// AdmittedBy gives the revision by which the call was admitted.
func (c Call) AdmittedBy() int64 { return c.Revision }

// CallReply is the backend server's answer.
type CallReply struct {
	Body []byte `json:"body"`
	Load Load   `json:"load"`
}

// Cancel asks a gate to let a request not start; it also asks what the gate
// remembers of it. The tombstone stands until Remember.
type Cancel struct {
	Key         RunKey    `json:"key"`
	Incarnation string    `json:"inc"`
	RetainUntil time.Time `json:"keep"`
}

// ExecutionState is what a gate knows of a request. It is the gate's word for its own
// incarnation only.
type ExecutionState string

// The verdicts. NeverStarted is proof: the gate holds a tombstone.
const (
	NeverStarted ExecutionState = "never_started"
	WasStarted   ExecutionState = "started"
	WasFinished  ExecutionState = "finished"
)

// CancelReply is the gate's word and, if it still has it, the answer.
type CancelReply struct {
	State ExecutionState `json:"verdict"`
	Body  []byte         `json:"body,omitempty"`
}

// Intent asks the owner of a ledger shard to grant the one hand-over of a
// request that is not repeatable.
type Intent struct {
	Key     model.RequestKey `json:"key"`
	Content uint64           `json:"hash"`
	Expires time.Time        `json:"exp"`
	// Grant is the asker's own write id: who finds it stored owns the hand-over.
	Grant string  `json:"grant"`
	Owner string  `json:"owner"` // link address of the asking entry
	Gates []Stage `json:"gates"` // the only gates that may hand it over
}

// IntentReply gives the stored intent: the asker's own, or an earlier one.
type IntentReply struct {
	Granted bool   `json:"granted"`
	Stored  Intent `json:"stored"`
}

// EventsQuery asks for the events of one request.
type EventsQuery struct {
	Key model.RequestKey `json:"key"`
}

// EventsReply gives them.
type EventsReply struct {
	Events []events.Event `json:"events"`
}

// OutcomeQuery asks an entry what it knows of a request.
type OutcomeQuery struct {
	Key model.RequestKey `json:"key"`
}

// OutcomeReply gives it; Known is false where nothing is remembered.
type OutcomeReply struct {
	Known   bool          `json:"known"`
	Outcome model.Outcome `json:"outcome"`
	Answer  [][]byte      `json:"answer,omitempty"`
	// Started tells when the entry came up: about requests before that it
	// cannot know.
	Started time.Time `json:"started"`
}

// OutcomeCopy leaves a final outcome with another entry.
type OutcomeCopy struct {
	Key     model.RequestKey `json:"key"`
	Outcome model.Outcome    `json:"outcome"`
}

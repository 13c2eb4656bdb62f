// Package model defines the types that all layers share: identities, layer ranges and
// outcomes. It imports no other package of this project.
package model

import (
	"fmt"
	"time"
)

// Role is the role of a process of the system.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
	// RoleRouter forwards callers' requests to the users' own engines.
	RoleRouter Role = "router"
)

// ServiceKind is the way in which a service executes requests.
type ServiceKind string

// A pipeline service uses a chain of engines; a plain service makes one call to one
// backend server.
const (
	KindPipeline ServiceKind = "pipeline"
	KindPlain    ServiceKind = "plain"
)

// RequestKey identifies a request. Callers choose the ids, so only the pair is unique.
type RequestKey struct {
	Customer string `json:"c"`
	ID       string `json:"r"`
}

// String returns customer/id, for logs and engine sessions.
func (k RequestKey) String() string {
	return k.Customer + "/" + k.ID
}

// MaxLayers limits the number of layers of a model, because routers allocate memory for each
// layer.
const MaxLayers = 1 << 12

// LayerRange is the half-open range of layers [From, To).
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

func (r LayerRange) Len() int {
	return r.To - r.From
}

// Contains reports whether every layer of o is in r.
func (r LayerRange) Contains(o LayerRange) bool {
	return r.From <= o.From && o.To <= r.To
}

func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.From, r.To)
}

// Instance is one process of the system as listed by the platform.
type Instance struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	Address       string `json:"addr"` // host:port of its link listener
	FailureDomain string `json:"domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// State is the state of a request.
type State string

// The states of a request. NotRun requires proof that the backend server never received
// the request. Without proof the state is CutOff.
const (
	InProgress State = "in_progress"
	Ran        State = "ran"
	NotRun     State = "not_run"
	CutOff     State = "cut_off"
)

// Outcome is the outcome of a request and the evidence for it.
type Outcome struct {
	State      State         `json:"state"`
	MayHaveRun bool          `json:"may,omitempty"`
	Kind       string        `json:"kind,omitempty"` // name of a fault.Kind
	Cause      string        `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Evidence   string        `json:"evidence,omitempty"`
	Entry      string        `json:"entry,omitempty"` // id of the instance that owned the request
}

// Final reports whether the outcome is final.
func (o Outcome) Final() bool {
	return o.State != InProgress && o.State != ""
}

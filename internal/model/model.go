// Package model holds the words that every layer shares: identities, layer
// ranges, positions and outcomes. It imports nothing of this project.
package model

import (
	"fmt"
	"time"
)

// Role says what a process of the system does.
type Role string

// The roles of the daemon.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
	// RoleRouter serves callers in front of the users' own engines.
	RoleRouter Role = "router"
)

// ServiceKind says how a service's work is carried out.
type ServiceKind string

// Kinds of service: a chain of engines, or one call to one backend server.
const (
	KindPipeline ServiceKind = "pipeline"
	KindPlain    ServiceKind = "plain"
)

// RequestKey names a request. Ids are the callers' own, so two customers may
// use the same one; only the pair is unique.
type RequestKey struct {
	Customer string `json:"c"`
	ID       string `json:"r"`
}

// String gives the key as customer/id, for logs and for engine sessions.
func (k RequestKey) String() string {
	return k.Customer + "/" + k.ID
}

// LayerRange is the half-open range of layers [From, To).
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len is the number of layers in the range.
func (r LayerRange) Len() int {
	return r.To - r.From
}

// Contains tells whether every layer of o is in r.
func (r LayerRange) Contains(o LayerRange) bool {
	return r.From <= o.From && o.To <= r.To
}

func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.From, r.To)
}

// Instance is one process of the system as the platform's list gives it.
type Instance struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	Address       string `json:"addr"` // host:port of its link listener
	FailureDomain string `json:"domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// State is the closed set of what can be said of a request.
type State string

// The states of a request. NotRun is said only with proof that the backend
// server never saw the work; without proof the state is CutOff.
const (
	InProgress State = "in_progress"
	Ran        State = "ran"
	NotRun     State = "not_run"
	CutOff     State = "cut_off"
)

// Outcome is what became of a request and what that rests on.
type Outcome struct {
	State      State         `json:"state"`
	MayHaveRun bool          `json:"may,omitempty"`
	Kind       string        `json:"kind,omitempty"` // name of a fault.Kind
	Cause      string        `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Evidence   string        `json:"evidence,omitempty"`
	Entry      string        `json:"entry,omitempty"` // instance that owned the request
}

// Final tells whether the outcome can still change.
func (o Outcome) Final() bool {
	return o.State != InProgress && o.State != ""
}

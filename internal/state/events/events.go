// Package events keeps what one process did lately: a bounded ring of typed
// events that an engineer can read per request, merged over all processes.
package events

import (
	"sort"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Kind is the closed list of event kinds.
type Kind string

// What can happen to a request, and to the process around it.
const (
	Accepted        Kind = "accepted"
	Rejected        Kind = "rejected"
	Joined          Kind = "joined"
	IntentStored    Kind = "intent_stored"
	GateOpened      Kind = "gate_opened"
	GateRefused     Kind = "gate_refused"
	Tombstoned      Kind = "tombstoned"
	Started         Kind = "started"
	Finished        Kind = "finished"
	EpochRaised     Kind = "epoch_raised"
	StageLost       Kind = "stage_lost"
	Replayed        Kind = "replayed"
	FirstToken      Kind = "first_token"
	OutcomeRecorded Kind = "outcome"
	SessionEnded    Kind = "session_ended"
	ConfigApplied   Kind = "config_applied"
	ProcessStart    Kind = "process_start"
	DrainStarted    Kind = "drain_started"
)

// Event is one thing that happened in one process.
type Event struct {
	At          hlc.Timestamp    `json:"at"`
	Instance    string           `json:"inst"`
	Role        model.Role       `json:"role"`
	Incarnation string           `json:"inc"`
	Request     model.RequestKey `json:"req"`
	Kind        Kind             `json:"kind"`
	Detail      string           `json:"detail,omitempty"`
}

// Log is the ring of one process.
type Log struct {
	instance    string
	role        model.Role
	incarnation string
	clock       *hlc.Clock

	mu   sync.Mutex
	ring []Event
	next int
}

// New makes a ring for at most size events.
func New(instance string, role model.Role, incarnation string, clock *hlc.Clock, size int) *Log {
	return &Log{
		instance:    instance,
		role:        role,
		incarnation: incarnation,
		clock:       clock,
		ring:        make([]Event, 0, size),
	}
}

// Add records an event; the oldest one makes room when the ring is full.
func (l *Log) Add(req model.RequestKey, kind Kind, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Event{
		At:          l.clock.Now(),
		Instance:    l.instance,
		Role:        l.role,
		Incarnation: l.incarnation,
		Request:     req,
		Kind:        kind,
		Detail:      detail,
	}
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest gives the events of one request in order.
func (l *Log) ForRequest(req model.RequestKey) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for _, e := range l.ring {
		if e.Request == req {
			out = append(out, e)
		}
	}
	Sort(out)
	return out
}

// Sort puts events of several processes in causal order.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		if a.At != b.At {
			return a.At.Before(b.At)
		}
		return a.Instance < b.Instance
	})
}

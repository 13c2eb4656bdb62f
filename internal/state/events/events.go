// Package events keeps the recent events of one process in a ring buffer. The events of
// a request can be merged over all processes.
package events

import (
	"sort"
	"strings"
	"sync"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
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

// Event is one event in one process.
type Event struct {
	At          hlc.Timestamp    `json:"at"`
	Instance    string           `json:"inst"`
	Role        model.Role       `json:"role"`
	Incarnation string           `json:"inc"`
	Request     model.RequestKey `json:"req"`
	Kind        Kind             `json:"kind"`
	Detail      string           `json:"detail,omitempty"`
}

// maxText is the size in bytes of the longest customer, request id and detail that are recorded. Callers
// choose their length before it is checked.
const maxText = 256

func clip(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.Clone(s[:maxText])
}

func clipKey(k model.RequestKey) model.RequestKey {
	return model.RequestKey{Customer: clip(k.Customer), ID: clip(k.ID)}
}

// Log is the ring buffer of one process. It is safe for concurrent use.
type Log struct {
	instance    string
	role        model.Role
	incarnation string
	clock       *hlc.Clock

	mu   sync.Mutex
	ring []Event
	next int
}

// New returns a log that holds at most size events.
func New(instance string, role model.Role, incarnation string, clock *hlc.Clock, size int) *Log {
	return &Log{
		instance:    instance,
		role:        role,
		incarnation: incarnation,
		clock:       clock,
		ring:        make([]Event, 0, size),
	}
}

// Add records an event. If the log is full, it overwrites the oldest one. Long texts are cut.
func (l *Log) Add(req model.RequestKey, kind Kind, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := Event{
		At:          l.clock.Now(),
		Instance:    l.instance,
		Role:        l.role,
		Incarnation: l.incarnation,
		Request:     clipKey(req),
		Kind:        kind,
		Detail:      clip(detail),
	}
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest returns the events of one request in causal order.
func (l *Log) ForRequest(req model.RequestKey) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	req = clipKey(req)
	var out []Event
	for _, e := range l.ring {
		if e.Request == req {
			out = append(out, e)
		}
	}
	Sort(out)
	return out
}

// Sort orders events of several processes by their clock readings, which respect
// causality.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		if a.At != b.At {
			return a.At.Before(b.At)
		}
		return a.Instance < b.Instance
	})
}

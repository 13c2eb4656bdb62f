package gossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// relayRounds is the number of rounds in which a router passes a rumor on. With the
	// heartbeats of one round each router informs some twenty others, so a few rounds reach
	// thousands; the second one makes up for lost heartbeats.
	relayRounds = 2
	// maxRelayed is the maximum number of rumors in one heartbeat. The newest go first, and
	// the others are repeated by the router that found them out.
	maxRelayed = 64
	// retention is how long a rumor is remembered after it expired, so that a delayed copy is
	// not taken for a new one. No heartbeat is delayed by as much.
	retention = time.Minute
)

// Kind is what a rumor says of an engine.
type Kind int

// Kinds of rumors.
const (
	Refusal  Kind = iota // the engine refuses requests
	Slowdown             // the engine is slower than its accelerator type
	Leaving              // the engine said that it leaves
)

// Rumor is what a router found out about an engine.
type Rumor struct {
	Engine model.Incarnation
	Kind   Kind
	// At orders the rumors of one kind on an engine. It is set by the router that found it out
	// and never changed.
	At    hlc.Timestamp
	Until time.Time
	// Factor is the slowdown, 1 if it ended; 0 for rumors of other kinds.
	Factor float64
}

type subject struct {
	engine model.Incarnation
	kind   Kind
}

type entry struct {
	Rumor
	rounds int // in which it is still to be passed on
}

// Board holds the newest rumor of each kind on each engine, its own and those of peers, and
// decides which ones to pass on. Rumors may arrive in any order and any number of times. A
// nil Board holds none. It is safe for concurrent use.
type Board struct {
	now func() time.Time

	mu     sync.Mutex
	rumors map[subject]*entry
}

// NewBoard returns a Board without rumors.
func NewBoard(now func() time.Time) *Board {
	return &Board{now: now, rumors: map[subject]*entry{}}
}

// Add adds a rumor and returns whether it is newer than the known one. Copies are not newer,
// so a rumor never travels in a circle. One of a clock that is far ahead is ignored, as it
// would outdate all later ones.
func (b *Board) Add(r Rumor) (isNew bool) {
	if b == nil || r.At.Wall > b.now().Add(hlc.MaxAhead).UnixMilli() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := subject{r.Engine, r.Kind}
	known, ok := b.rumors[id]
	if ok && !known.At.Before(r.At) {
		return false
	}
	next := &entry{Rumor: r, rounds: relayRounds}
	if ok && known.covers(r, b.now()) {
		next.rounds = known.rounds
		next.Until = known.Until
	}
	b.rumors[id] = next
	return true
}

// covers reports whether a newer rumor adds so little to this one that it is not passed on:
// many routers may find out the same thing at about the same moment.
func (r Rumor) covers(newer Rumor, now time.Time) bool {
	return r.Factor == newer.Factor && newer.Until.Sub(r.Until) < newer.Until.Sub(now)/2
}

// NextRound returns the rumors to pass on with the heartbeats of the next round.
func (b *Board) NextRound() []Rumor {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	maps.DeleteFunc(b.rumors, func(_ subject, e *entry) bool { return now.Sub(e.Until) > retention })
	var due []*entry
	for _, e := range b.rumors {
		if e.rounds > 0 && e.Until.After(now) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return newestFirst(a.Rumor, b.Rumor) })
	due = due[:min(len(due), maxRelayed)]
	out := make([]Rumor, len(due))
	for i, e := range due {
		e.rounds--
		out[i] = e.Rumor
	}
	return out
}

func newestFirst(a, b Rumor) int {
	return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Engine.ID, b.Engine.ID), cmp.Compare(a.Kind, b.Kind))
}

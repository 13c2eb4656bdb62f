package quarantine

import (
	"strings"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxTraits bounds the traits kept, at some 200 bytes each.
	maxTraits = 8192
	// maxTraitsAtExits bounds the sum over all exits of the traits present there, at some 100
	// bytes each.
	maxTraitsAtExits = 32768
	// maxExitsPerTrait bounds the exits kept for one trait, the newest.
	maxExitsPerTrait = 16
	// evictionSample is how many traits are compared to find one to evict.
	evictionSample = 16
	// maxTraitsPerVerdict bounds the traits of one verdict. With fewer traits than were found
	// it concerns more requests.
	maxTraitsPerVerdict = 16
	// successWeight is the factor by which one success of a trait reduces the odds that it makes
	// servers exit: it is that of a cause which spares one server in ten.
	successWeight = 10
	// maxExitsPerSuccess bounds the exits that one success outweighs. While a cause ends most
	// servers, each of them seems to prove little.
	maxExitsPerSuccess = 3
	// announceInterval is how often a success is announced that is older than the exits at
	// which its trait was present.
	announceInterval = evidenceRetention / 2
)

// Trait is a property that different requests share and that may be why servers exit: a part of
// the prompt, that part in prompts of one customer, or the customer and the route. The fields
// that do not apply are empty.
type Trait struct {
	Part     string `json:"part,omitempty"`
	Customer string `json:"customer,omitempty"`
	Route    string `json:"route,omitempty"`
}

// String returns the trait for logs.
func (tr Trait) String() string {
	var b strings.Builder
	for _, field := range []struct{ name, value string }{{"part", tr.Part}, {"customer", tr.Customer}, {"route", tr.Route}} {
		if field.value == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(field.name + "=" + field.value)
	}
	return b.String()
}

// Subject describes a request to the tracker.
type Subject struct {
	// Fingerprint returns the fingerprint of the request. It is called only while it is
	// needed, because it reads the whole body.
	Fingerprint func() model.Fingerprint
	Customer    string
	Route       string
	// Parts holds the ids of the prompt's parts that other requests may share.
	Parts []string
	// Service is the service that the request is sent to.
	Service string
}

// traits returns the traits of a request.
func (s Subject) traits() []Trait { return traitsOf(s.Customer, s.Route, s.Parts) }

func traitsOf(customer, route string, parts []string) []Trait {
	out := make([]Trait, 0, 2*len(parts)+1)
	for _, part := range parts {
		out = append(out, Trait{Part: part}, Trait{Part: part, Customer: customer})
	}
	if route != "" {
		out = append(out, Trait{Customer: customer, Route: route})
	}
	return out
}

// traitRecord is the evidence about a trait.
type traitRecord struct {
	// exits holds when servers exited while they ran a request with the trait whose response
	// had not proceeded, since the trait's last success.
	exits map[model.Incarnation]time.Duration
	// succeeded is set if a response to a request with the trait was complete or proceeded,
	// at succeededAt.
	succeeded   bool
	succeededAt time.Duration
	// local reports that this router ran a request with the trait at a server that exited.
	local bool
	// announced is set if the other routers know of a success, of announcedAt or later.
	announced   bool
	announcedAt time.Duration
}

// established reports whether requests with the trait are known to be served.
func (r *traitRecord) established() bool { return r.succeeded }

// traitFor returns the record of a trait and creates it if there is none. The caller must hold
// t.mu.
func (t *Tracker) traitFor(tr Trait) *traitRecord {
	r := t.traits[tr]
	if r == nil {
		if len(t.traits) >= maxTraits {
			t.evictTrait()
		}
		r = &traitRecord{exits: map[model.Incarnation]time.Duration{}}
		t.traits[tr] = r
	}
	return r
}

// evictTrait removes one of the traits with the fewest exits and the oldest success among some.
func (t *Tracker) evictTrait() {
	var victim Trait
	var found *traitRecord
	seen := 0
	for tr, r := range t.traits {
		if found == nil || len(r.exits) < len(found.exits) || len(r.exits) == len(found.exits) && r.succeededAt < found.succeededAt {
			victim, found = tr, r
		}
		if seen++; seen >= evictionSample {
			break
		}
	}
	t.removeTrait(victim)
}

func (t *Tracker) removeTrait(tr Trait) {
	delete(t.traits, tr)
	delete(t.suspectTraits, tr)
	delete(t.suspiciousTraits, tr)
	delete(t.outbox.successes, tr)
}

// recordTraits records that requests with traits ran at a server that exited. The caller must
// hold t.mu.
func (t *Tracker) recordTraits(server model.Incarnation, e *serverExit, traits []Trait) {
	e.explanation = explanation{}
	for _, tr := range traits {
		r := t.traitFor(tr)
		if e.traits[tr]++; e.traits[tr] == 1 {
			t.traitsAtExits++
		}
		if _, known := r.exits[server]; known || r.succeeded && r.succeededAt > e.at {
			continue
		}
		r.exits[server] = e.at
		if len(r.exits) > maxExitsPerTrait {
			oldest, _ := oldestExit(r.exits)
			delete(r.exits, oldest)
		}
		t.traitChanged(tr, r)
		if r.succeeded && (!r.announced || t.clock()-r.announcedAt > announceInterval) {
			t.outbox.addSuccess(tr, t.clock())
		}
	}
}

// recordSuccess records that a request with the traits was served: exits before do not count
// against these traits any more. The caller must hold t.mu.
func (t *Tracker) recordSuccess(service string, traits []Trait) {
	now := t.clock()
	t.servedBy(service).add(now)
	for _, tr := range traits {
		r := t.traitFor(tr)
		suspected := len(r.exits) > 0 || t.inVerdict(tr)
		t.clearTrait(tr, r, now)
		if suspected {
			t.outbox.addSuccess(tr, now)
		}
	}
}

// clearTrait records a success of a trait at a time and discards the oldest exits before it that it
// outweighs. A cause that does not make every server exit would otherwise be acquitted again and
// again. The caller must hold t.mu.
func (t *Tracker) clearTrait(tr Trait, r *traitRecord, at time.Duration) {
	if r.isSuspicious() && !tr.isPair() {
		logTraitServed(tr, r)
	}
	r.succeeded, r.succeededAt = true, max(r.succeededAt, at)
	t.discardOldest(r, at)
	t.traitChanged(tr, r)
}

// discardOldest discards the oldest exits before a time, as many as one success outweighs: few that
// other runs survived, more of those at which many runs were lost.
func (t *Tracker) discardOldest(r *traitRecord, before time.Duration) {
	odds := 1.0
	var last moment
	for n := 0; n < maxExitsPerSuccess && odds < successWeight; n++ {
		server, found := oldestExit(r.exits)
		if !found || r.exits[server] > before {
			return
		}
		if e := t.exits[server]; last.probability == 0 || e.at-last.at > simultaneousExits {
			last = t.momentOf(e)
			odds /= last.probability
		}
		delete(r.exits, server)
	}
}

// oldestExit returns the server that exited first, or false if there is none.
func oldestExit(exits map[model.Incarnation]time.Duration) (oldest model.Incarnation, found bool) {
	for server, at := range exits {
		if !found || at < exits[oldest] {
			oldest, found = server, true
		}
	}
	return oldest, found
}

// applySuccess records a success of a trait that a peer has announced. The caller must hold t.mu.
func (t *Tracker) applySuccess(s TraitSuccess) {
	at := t.clock() - max(time.Duration(s.AgeMS)*time.Millisecond, 0)
	if t.clock()-at > evidenceRetention {
		return
	}
	r := t.traitFor(s.Trait)
	r.announced, r.announcedAt = true, max(r.announcedAt, at)
	t.clearTrait(s.Trait, r, at)
	// The peer's announcement stands for the successes that all routers see at the time.
	delete(t.outbox.successes, s.Trait)
}

// forgetTraitExit removes an exit from the evidence about its traits. The caller must hold t.mu.
func (t *Tracker) forgetTraitExit(server model.Incarnation, e *serverExit) {
	t.traitsAtExits -= len(e.traits)
	for tr := range e.traits {
		r := t.traits[tr]
		if r == nil {
			continue
		}
		delete(r.exits, server)
		t.traitChanged(tr, r)
	}
}

// expireTraits removes traits without exits whose last success is past its retention. The caller
// must hold t.mu.
func (t *Tracker) expireTraits() {
	for tr, r := range t.traits {
		if len(r.exits) == 0 && (!r.succeeded || t.clock()-r.succeededAt > evidenceRetention) {
			t.removeTrait(tr)
		}
	}
}

package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxRequestsPerReport bounds the requests that one report names, at about a hundred bytes
// each.
const maxRequestsPerReport = 128

// Report is the message that a router sends to all peers after a server exited under requests.
type Report struct {
	Exits    []ExitReport        `json:"ends,omitempty"`
	Cleared  []model.Fingerprint `json:"cleared,omitempty"`
	Verdicts []Verdict           `json:"sentences,omitempty"`
	// Succeeded holds suspected traits with which requests were served.
	Succeeded []TraitSuccess `json:"succeeded,omitempty"`
}

// TraitSuccess states that a request with a trait was served.
type TraitSuccess struct {
	Trait
	AgeMS int64 `json:"age_ms,omitempty"`
}

// ExitReport names the requests that one router had at a server when its process exited.
type ExitReport struct {
	Server model.Incarnation `json:"server"`
	Domain string            `json:"domain"`
	// Service is that of the requests.
	Service string `json:"service,omitempty"`
	// AgeMS is the time since the exit in milliseconds, in a reminder of one.
	AgeMS    int64           `json:"age_ms,omitempty"`
	Requests []RequestAtExit `json:"present"`
}

// RequestAtExit is a request that ran at a server when its process exited.
type RequestAtExit struct {
	Fingerprint     model.Fingerprint `json:"work"`
	ResponseStarted bool              `json:"answered,omitempty"`
	LaterStage      bool              `json:"later,omitempty"`
	// Proceeded means that the response had proceeded for some time. Customer, Route and
	// Parts are sent only if it had not.
	Proceeded bool     `json:"proceeded,omitempty"`
	Customer  string   `json:"customer,omitempty"`
	Route     string   `json:"route,omitempty"`
	Parts     []string `json:"parts,omitempty"`
}

func newRequestAtExit(fp model.Fingerprint, p participation) RequestAtExit {
	r := RequestAtExit{Fingerprint: fp, ResponseStarted: p.responseStarted, LaterStage: p.laterStage, Proceeded: p.proceeded}
	if !p.proceeded {
		r.Customer, r.Route, r.Parts = p.customer, p.route, p.parts
	}
	return r
}

func (r RequestAtExit) participation() participation {
	return participation{
		responseStarted: r.ResponseStarted, laterStage: r.LaterStage, proceeded: r.Proceeded,
		customer: r.Customer, route: r.Route, parts: r.Parts[:min(len(r.Parts), model.MaxPromptParts)],
	}
}

// outbox holds what is to be reported to the other routers.
type outbox struct {
	exits    map[model.Incarnation]*ExitReport
	cleared  map[model.Fingerprint]bool
	verdicts map[model.Fingerprint]bool
	// successes holds when the success of a trait is to be announced, unless a peer
	// announces one before.
	successes map[Trait]time.Duration
	// due receives a value when there is something to report.
	due chan struct{}
}

func newOutbox() outbox {
	return outbox{
		exits:    map[model.Incarnation]*ExitReport{},
		cleared:  map[model.Fingerprint]bool{},
		verdicts: map[model.Fingerprint]bool{},

		successes: map[Trait]time.Duration{},
		due:       make(chan struct{}, 1),
	}
}

func (o *outbox) signal() {
	select {
	case o.due <- struct{}{}:
	default:
	}
}

func (o *outbox) addExit(server model.Incarnation, domain, service string, requests map[model.Fingerprint]participation) {
	r := o.exits[server]
	if r == nil {
		r = &ExitReport{Server: server, Domain: domain, Service: service}
		o.exits[server] = r
	}
	for fp, p := range requests {
		r.Requests = append(r.Requests, newRequestAtExit(fp, p))
	}
	o.signal()
}

func (o *outbox) addCleared(fp model.Fingerprint) {
	o.cleared[fp] = true
	o.signal()
}

// maxAnnounceDelay is the maximum delay before the success of a trait is announced. Many routers
// observe successes of a popular trait at once, and the first to announce one spares the others.
const maxAnnounceDelay = 150 * time.Millisecond

// addSuccess schedules the announcement of a trait's success.
func (o *outbox) addSuccess(tr Trait, now time.Duration) {
	if _, ok := o.successes[tr]; !ok {
		o.successes[tr] = now + rand.N(maxAnnounceDelay)
	}
}

// successesDue reports whether any success is to be announced now.
func (o *outbox) successesDue(now time.Duration) bool {
	for _, at := range o.successes {
		if at <= now {
			return true
		}
	}
	return false
}

func (o *outbox) addVerdict(fp model.Fingerprint) {
	o.verdicts[fp] = true
	o.signal()
}

// ReportDue returns a channel that receives a value when TakeReport has something to return.
func (t *Tracker) ReportDue() <-chan struct{} { return t.outbox.due }

// TakeReport removes pending items from the outbox, up to the limit of one report, and returns
// them. It returns false if there are none.
func (t *Tracker) TakeReport() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	remaining := maxRequestsPerReport
	for fp := range t.outbox.verdicts {
		if v := t.verdicts[fp]; v != nil {
			r.Verdicts = append(r.Verdicts, t.exportVerdict(fp, v))
			remaining--
		}
		delete(t.outbox.verdicts, fp)
	}
	for fp := range t.outbox.cleared {
		if remaining <= 0 {
			break
		}
		r.Cleared = append(r.Cleared, fp)
		delete(t.outbox.cleared, fp)
		remaining--
	}
	remaining -= t.takeSuccesses(&r, remaining)
	for server, e := range t.outbox.exits {
		if remaining <= 0 {
			break
		}
		n := min(len(e.Requests), remaining)
		r.Exits = append(r.Exits, ExitReport{Server: e.Server, Domain: e.Domain, Service: e.Service, Requests: e.Requests[:n]})
		remaining -= n
		if e.Requests = e.Requests[n:]; len(e.Requests) == 0 {
			delete(t.outbox.exits, server)
		}
	}
	if len(t.outbox.exits)+len(t.outbox.cleared) > 0 {
		t.outbox.signal()
	}
	return r, remaining < maxRequestsPerReport
}

// takeSuccesses moves at most limit successes that are due to a report and returns their number.
// The caller must hold t.mu.
func (t *Tracker) takeSuccesses(r *Report, limit int) int {
	now := t.clock()
	for tr, at := range t.outbox.successes {
		if at > now || len(r.Succeeded) >= limit {
			continue
		}
		delete(t.outbox.successes, tr)
		if rec := t.traits[tr]; rec != nil && rec.succeeded {
			rec.announced, rec.announcedAt = true, rec.succeededAt
			r.Succeeded = append(r.Succeeded, TraitSuccess{Trait: tr, AgeMS: (now - rec.succeededAt).Milliseconds()})
		}
	}
	return len(r.Succeeded)
}

// ApplyReport applies a peer's report. Applying the same report twice has no further effect.
func (t *Tracker) ApplyReport(r Report, peer string) {
	t.mu.Lock()
	for _, fp := range r.Cleared {
		if t.clearSuspect(fp) > 0 {
			logClearedByPeer(fp, peer)
		}
	}
	for _, e := range r.Exits {
		requests := map[model.Fingerprint]participation{}
		for _, p := range e.Requests {
			mergeParticipation(requests, p.Fingerprint, p.participation())
		}
		t.recordExit(e.Server, e.Domain, e.Service, t.clock()-max(time.Duration(e.AgeMS)*time.Millisecond, 0), requests)
	}
	for _, s := range r.Succeeded {
		t.applySuccess(s)
	}
	t.mu.Unlock()
	t.ApplyVerdicts(r.Verdicts, peer)
}

// reportBatchDelay is the delay before a report is sent, so that it includes what happens at
// nearly the same time. reportInterval is the delay after it.
const (
	reportBatchDelay = 5 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
)

// ReportDelays returns the delays to observe before and after each report.
func ReportDelays() (before, after time.Duration) { return reportBatchDelay, reportInterval }

package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxRequestsPerReport bounds the requests that one report names, some hundred bytes each.
const maxRequestsPerReport = 128

// Report is what a router tells all others as soon as a server has ended under requests.
type Report struct {
	Exits    []ExitReport        `json:"ends,omitempty"`
	Cleared  []model.Fingerprint `json:"cleared,omitempty"`
	Verdicts []Verdict           `json:"sentences,omitempty"`
}

// ExitReport names the requests that one router had at a server whose process ended.
type ExitReport struct {
	Server   model.Incarnation `json:"server"`
	Domain   string            `json:"domain"`
	Requests []RequestAtExit   `json:"present"`
}

// RequestAtExit is one of them.
type RequestAtExit struct {
	Fingerprint     model.Fingerprint `json:"work"`
	ResponseStarted bool              `json:"answered,omitempty"`
	LaterStage      bool              `json:"later,omitempty"`
}

// outbox is what the other routers are to be told.
type outbox struct {
	exits    map[model.Incarnation]*ExitReport
	cleared  map[model.Fingerprint]bool
	verdicts map[model.Fingerprint]bool
	// due says, once, that there is something.
	due chan struct{}
}

func newOutbox() outbox {
	return outbox{
		exits:    map[model.Incarnation]*ExitReport{},
		cleared:  map[model.Fingerprint]bool{},
		verdicts: map[model.Fingerprint]bool{},
		due:      make(chan struct{}, 1),
	}
}

func (o *outbox) signal() {
	select {
	case o.due <- struct{}{}:
	default:
	}
}

func (o *outbox) addExit(server model.Incarnation, domain string, present map[model.Fingerprint]participation) {
	r := o.exits[server]
	if r == nil {
		r = &ExitReport{Server: server, Domain: domain}
		o.exits[server] = r
	}
	for work, p := range present {
		r.Requests = append(r.Requests, RequestAtExit{Fingerprint: work, ResponseStarted: p.responseStarted, LaterStage: p.laterStage})
	}
	o.signal()
}

func (o *outbox) addCleared(work model.Fingerprint) {
	o.cleared[work] = true
	o.signal()
}

func (o *outbox) addVerdict(work model.Fingerprint) {
	o.verdicts[work] = true
	o.signal()
}

// ReportDue tells when there is something to report.
func (t *Tracker) ReportDue() <-chan struct{} { return t.outbox.due }

// TakeReport takes what the other routers are to be told, as much as one message may hold;
// false if there is nothing.
func (t *Tracker) TakeReport() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	room := maxRequestsPerReport
	for work := range t.outbox.verdicts {
		if v := t.verdicts[work]; v != nil {
			r.Verdicts = append(r.Verdicts, t.exportVerdict(work, v))
			room--
		}
		delete(t.outbox.verdicts, work)
	}
	for work := range t.outbox.cleared {
		if room <= 0 {
			break
		}
		r.Cleared = append(r.Cleared, work)
		delete(t.outbox.cleared, work)
		room--
	}
	for server, e := range t.outbox.exits {
		if room <= 0 {
			break
		}
		n := min(len(e.Requests), room)
		r.Exits = append(r.Exits, ExitReport{Server: e.Server, Domain: e.Domain, Requests: e.Requests[:n]})
		room -= n
		if e.Requests = e.Requests[n:]; len(e.Requests) == 0 {
			delete(t.outbox.exits, server)
		}
	}
	if len(t.outbox.exits)+len(t.outbox.cleared) > 0 {
		t.outbox.signal()
	}
	return r, room < maxRequestsPerReport
}

// ApplyReport takes in a peer's report. The same one may come twice.
func (t *Tracker) ApplyReport(r Report, peer string) {
	t.mu.Lock()
	for _, work := range r.Cleared {
		if t.clearSuspect(work) > 0 {
			logClearedByPeer(work, peer)
		}
	}
	for _, e := range r.Exits {
		present := map[model.Fingerprint]participation{}
		for _, p := range e.Requests {
			mergeParticipation(present, p.Fingerprint, participation{responseStarted: p.ResponseStarted, laterStage: p.LaterStage})
		}
		t.recordExit(e.Server, e.Domain, present)
	}
	t.mu.Unlock()
	t.ApplyVerdicts(r.Verdicts, peer)
}

// reportInterval is between two reports of one router. The first one after a rest is told
// nearly at once, and what comes with it within reportBatchDelay.
const (
	reportBatchDelay = 5 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
)

// ReportDelays gives how long to wait before a report and after it.
func ReportDelays() (before, after time.Duration) { return reportBatchDelay, reportInterval }

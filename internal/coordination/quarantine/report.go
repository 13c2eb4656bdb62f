package quarantine

import (
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
}

// ExitReport names the requests that one router had at a server when its process exited.
type ExitReport struct {
	Server   model.Incarnation `json:"server"`
	Domain   string            `json:"domain"`
	Requests []RequestAtExit   `json:"present"`
}

// RequestAtExit is a request that ran at a server when its process exited.
type RequestAtExit struct {
	Fingerprint     model.Fingerprint `json:"work"`
	ResponseStarted bool              `json:"answered,omitempty"`
	LaterStage      bool              `json:"later,omitempty"`
}

// outbox holds what is to be reported to the other routers.
type outbox struct {
	exits    map[model.Incarnation]*ExitReport
	cleared  map[model.Fingerprint]bool
	verdicts map[model.Fingerprint]bool
	// due receives a value when there is something to report.
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

func (o *outbox) addExit(server model.Incarnation, domain string, requests map[model.Fingerprint]participation) {
	r := o.exits[server]
	if r == nil {
		r = &ExitReport{Server: server, Domain: domain}
		o.exits[server] = r
	}
	for fp, p := range requests {
		r.Requests = append(r.Requests, RequestAtExit{Fingerprint: fp, ResponseStarted: p.responseStarted, LaterStage: p.laterStage})
	}
	o.signal()
}

func (o *outbox) addCleared(fp model.Fingerprint) {
	o.cleared[fp] = true
	o.signal()
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
	for server, e := range t.outbox.exits {
		if remaining <= 0 {
			break
		}
		n := min(len(e.Requests), remaining)
		r.Exits = append(r.Exits, ExitReport{Server: e.Server, Domain: e.Domain, Requests: e.Requests[:n]})
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
			mergeParticipation(requests, p.Fingerprint, participation{responseStarted: p.ResponseStarted, laterStage: p.LaterStage})
		}
		t.recordExit(e.Server, e.Domain, requests)
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

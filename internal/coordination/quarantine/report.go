package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// mostInReport bounds the requests that one report names, some hundred bytes each.
const mostInReport = 128

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
	Fingerprint   model.Fingerprint `json:"work"`
	AnswerStarted bool              `json:"answered,omitempty"`
	LaterStage    bool              `json:"later,omitempty"`
}

// outbox is what the other routers are to be told.
type outbox struct {
	ends     map[model.Incarnation]*ExitReport
	cleared  map[model.Fingerprint]bool
	verdicts map[model.Fingerprint]bool
	// due says, once, that there is something.
	due chan struct{}
}

func newOutbox() outbox {
	return outbox{
		ends:     map[model.Incarnation]*ExitReport{},
		cleared:  map[model.Fingerprint]bool{},
		verdicts: map[model.Fingerprint]bool{},
		due:      make(chan struct{}, 1),
	}
}

func (o *outbox) wake() {
	select {
	case o.due <- struct{}{}:
	default:
	}
}

func (o *outbox) end(server model.Incarnation, domain string, present map[model.Fingerprint]presence) {
	r := o.ends[server]
	if r == nil {
		r = &ExitReport{Server: server, Domain: domain}
		o.ends[server] = r
	}
	for work, p := range present {
		r.Requests = append(r.Requests, RequestAtExit{Fingerprint: work, AnswerStarted: p.answered, LaterStage: p.later})
	}
	o.wake()
}

func (o *outbox) clear(work model.Fingerprint) {
	o.cleared[work] = true
	o.wake()
}

func (o *outbox) verdict(work model.Fingerprint) {
	o.verdicts[work] = true
	o.wake()
}

// ReportDue tells when there is something to report.
func (t *Tracker) ReportDue() <-chan struct{} { return t.out.due }

// TakeReport takes what the other routers are to be told, as much as one message may hold;
// false if there is nothing.
func (t *Tracker) TakeReport() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	room := mostInReport
	for work := range t.out.verdicts {
		if v := t.verdicts[work]; v != nil {
			r.Verdicts = append(r.Verdicts, t.sentence(work, v))
			room--
		}
		delete(t.out.verdicts, work)
	}
	for work := range t.out.cleared {
		if room <= 0 {
			break
		}
		r.Cleared = append(r.Cleared, work)
		delete(t.out.cleared, work)
		room--
	}
	for server, e := range t.out.ends {
		if room <= 0 {
			break
		}
		n := min(len(e.Requests), room)
		r.Exits = append(r.Exits, ExitReport{Server: e.Server, Domain: e.Domain, Requests: e.Requests[:n]})
		room -= n
		if e.Requests = e.Requests[n:]; len(e.Requests) == 0 {
			delete(t.out.ends, server)
		}
	}
	if len(t.out.ends)+len(t.out.cleared) > 0 {
		t.out.wake()
	}
	return r, room < mostInReport
}

// ApplyReport takes in a peer's report. The same one may come twice.
func (t *Tracker) ApplyReport(r Report, peer string) {
	t.mu.Lock()
	for _, work := range r.Cleared {
		if t.clear(work) > 0 {
			logClearedBy(work, peer)
		}
	}
	for _, e := range r.Exits {
		present := map[model.Fingerprint]presence{}
		for _, p := range e.Requests {
			add(present, p.Fingerprint, presence{answered: p.AnswerStarted, later: p.LaterStage})
		}
		t.note(e.Server, e.Domain, present)
	}
	t.mu.Unlock()
	t.ApplyVerdicts(r.Verdicts, peer)
}

// reportPause is between two reports of one router. The first one after a rest is told
// nearly at once, and what comes with it within reportGather.
const (
	reportGather = 5 * time.Millisecond
	reportPause  = 50 * time.Millisecond
)

// ReportDelays gives how long to wait before a report and after it.
func ReportDelays() (before, after time.Duration) { return reportGather, reportPause }

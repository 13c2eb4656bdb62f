package quarantine

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// mostNamed bounds the requests that a line names.
const mostNamed = 8

// logEnd tells which requests were at a server that ended, those first that were at other
// ends too.
func (t *Tracker) logEnd(server model.Incarnation, domain string, present map[model.Fingerprint]presence, source string) {
	var again []string
	for work := range present {
		if s := t.suspects[work]; s != nil && len(s.ends) > 1 && len(again) < mostNamed {
			again = append(again, work.String())
		}
	}
	klog.InfoS("server ended under requests", "server", server, "failureDomain", domain, "requests", len(present), "seenBefore", again, "source", source)
}

func (t *Tracker) logAlone(work model.Fingerprint, s *suspect, c charge) {
	if s == nil || s.warned {
		return
	}
	s.warned = true
	klog.InfoS("request runs alone from now on", "work", work, "ends", names(c.ends), "unconfirmed", len(s.broken))
}

func logQuarantined(work model.Fingerprint, c charge, source string) {
	klog.InfoS("request quarantined: servers end under it", "work", work, "ends", names(c.ends), "weight", c.weight, "wide", c.wide, "term", firstTerm, "source", source)
}

func names(servers []model.Incarnation) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = s.String()
	}
	return out
}

func logRelapsed(work model.Fingerprint, ends int) {
	klog.InfoS("request quarantined again: a server ended under it after its term", "work", work, "ends", ends)
}

func logLearnt(s Verdict, source string) {
	klog.InfoS("request quarantined: servers end under it", "work", s.Fingerprint, "ends", s.Exits, "termMs", s.TermMS, "ageMs", s.AgeMS, "source", source)
}

func logCleared(work model.Fingerprint, ends int) {
	klog.InfoS("request cleared: a server answered it", "work", work, "ends", ends)
}

func logClearedBy(work model.Fingerprint, peer string) {
	klog.V(1).InfoS("request cleared by a peer", "work", work, "peer", peer)
}

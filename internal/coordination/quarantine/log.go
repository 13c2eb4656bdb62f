package quarantine

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxLoggedRequests bounds the requests that a line names.
const maxLoggedRequests = 8

// logExit tells which requests were at a server that ended, those first that were at other
// ends too.
func (t *Tracker) logExit(server model.Incarnation, domain string, present map[model.Fingerprint]participation, source string) {
	var again []string
	for work := range present {
		if s := t.suspects[work]; s != nil && len(s.exits) > 1 && len(again) < maxLoggedRequests {
			again = append(again, work.String())
		}
	}
	klog.InfoS("server ended under requests", "server", server, "failureDomain", domain, "requests", len(present), "seenBefore", again, "source", source)
}

func (t *Tracker) logTrialOnly(work model.Fingerprint, s *suspect, c evidence) {
	if s == nil || s.trialOnlyLogged {
		return
	}
	s.trialOnlyLogged = true
	klog.InfoS("request runs alone from now on", "work", work, "ends", incarnationNames(c.attributed), "unconfirmed", len(s.lostConnections))
}

func logQuarantined(work model.Fingerprint, c evidence, source string) {
	klog.InfoS("request quarantined: servers end under it", "work", work, "ends", incarnationNames(c.attributed), "weight", c.weight, "wide", c.laterStage, "term", minTerm, "source", source)
}

func incarnationNames(servers []model.Incarnation) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = s.String()
	}
	return out
}

func logRenewed(work model.Fingerprint, ends int) {
	klog.InfoS("request quarantined again: a server ended under it after its term", "work", work, "ends", ends)
}

func logVerdictReceived(s Verdict, source string) {
	klog.InfoS("request quarantined: servers end under it", "work", s.Fingerprint, "ends", s.Exits, "termMs", s.TermMS, "ageMs", s.AgeMS, "source", source)
}

func logCleared(work model.Fingerprint, ends int) {
	klog.InfoS("request cleared: a server answered it", "work", work, "ends", ends)
}

func logClearedByPeer(work model.Fingerprint, peer string) {
	klog.V(1).InfoS("request cleared by a peer", "work", work, "peer", peer)
}

package quarantine

import (
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxLoggedRequests bounds the requests that one log line lists.
const maxLoggedRequests = 8

// logExit logs the exit of a server under requests and lists those that were present at other
// exits too.
func (t *Tracker) logExit(server model.Incarnation, domain string, requests map[model.Fingerprint]participation, source string) {
	var seenBefore []string
	for fp := range requests {
		if s := t.suspects[fp]; s != nil && len(s.exits) > 1 && len(seenBefore) < maxLoggedRequests {
			seenBefore = append(seenBefore, fp.String())
		}
	}
	klog.InfoS("server exited while it ran requests", "server", server, "failureDomain", domain, "requests", len(requests), "seenBefore", seenBefore, "source", source)
}

func (t *Tracker) logTrialOnly(fp model.Fingerprint, s *suspect, ev evidence) {
	if s == nil || s.trialOnlyLogged {
		return
	}
	s.trialOnlyLogged = true
	klog.InfoS("request restricted to trials: servers exited while they ran it", "work", fp, "ends", incarnationNames(ev.attributed), "unconfirmed", len(s.lostConnections))
}

func logQuarantined(fp model.Fingerprint, ev evidence, source string) {
	klog.InfoS("request quarantined: servers exited while they ran it", "work", fp, "ends", incarnationNames(ev.attributed), "weight", ev.weight, "wide", ev.laterStage, "term", minTerm, "source", source)
}

func incarnationNames(servers []model.Incarnation) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = s.String()
	}
	return out
}

func logRenewed(fp model.Fingerprint, exits int) {
	klog.InfoS("request quarantined again: a server exited while it ran the request after its term", "work", fp, "ends", exits)
}

func logVerdictReceived(v Verdict, source string) {
	klog.InfoS("request quarantined: servers exited while they ran it", "work", v.Fingerprint, "ends", v.Exits, "termMs", v.TermMS, "ageMs", v.AgeMS, "source", source)
}

func logCleared(fp model.Fingerprint, exits int) {
	klog.InfoS("request cleared: a server completed it", "work", fp, "ends", exits)
}

func logClearedByPeer(fp model.Fingerprint, peer string) {
	klog.V(1).InfoS("request cleared by a peer", "work", fp, "peer", peer)
}

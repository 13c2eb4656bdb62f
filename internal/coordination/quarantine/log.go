package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// maxLoggedRequests bounds the requests that one log line lists.
const maxLoggedRequests = 8

// logExit logs the exit of a server under requests and lists those that were present at other
// exits too, and the traits that were, since their last success.
func (t *Tracker) logExit(server model.Incarnation, domain string, requests map[model.Fingerprint]participation, source string) {
	var seenBefore []string
	for fp := range requests {
		if s := t.suspects[fp]; s != nil && len(s.exits) > 1 && len(seenBefore) < maxLoggedRequests {
			seenBefore = append(seenBefore, fp.String())
		}
	}
	klog.InfoS("server exited while it ran requests", "server", server, "failureDomain", domain, "requests", len(requests), "seenBefore", seenBefore, "sharedTraits", t.describeTraits(requests), "source", source)
}

// describeTraits lists the traits of requests that were present at several exits, with the
// number of these exits and whether requests with the trait are known to be served. Those that
// are not come first.
func (t *Tracker) describeTraits(requests map[model.Fingerprint]participation) []string {
	found := map[Trait]*traitRecord{}
	for _, p := range requests {
		for _, tr := range p.traits() {
			if r := t.traits[tr]; r != nil && len(r.exits) > 1 {
				found[tr] = r
			}
		}
	}
	traits := slices.SortedFunc(maps.Keys(found), func(a, b Trait) int {
		ra, rb := found[a], found[b]
		return cmp.Or(establishedLast(ra, rb), cmp.Compare(len(rb.exits), len(ra.exits)), compareTraits(a, b))
	})
	out := make([]string, min(len(traits), maxLoggedRequests))
	for i := range out {
		r := found[traits[i]]
		out[i] = fmt.Sprintf("%s exits=%d served=%t", traits[i], len(r.exits), r.established())
	}
	return out
}

func establishedLast(a, b *traitRecord) int {
	switch {
	case a.established() == b.established():
		return 0
	case b.established():
		return -1
	}
	return 1
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

func logTraitsQuarantined(c traitCause, moments []moment) {
	klog.InfoS("requests quarantined: servers exited while they ran requests with these traits", "traits", c.traits, "ends", incarnationNames(c.exits), "moments", len(moments), "chance", formatChance(moments), "runsLost", lossesOf(moments), "term", minTerm, "source", "this router")
}

func formatChance(moments []moment) string { return fmt.Sprintf("%.1e", chance(moments)) }

// lossesOf lists, for each moment, the runs that this router lost of all that it lost or served
// around it.
func lossesOf(moments []moment) []string {
	out := make([]string, min(len(moments), maxLoggedRequests))
	for i := range out {
		m := moments[len(moments)-len(out)+i]
		out[i] = fmt.Sprintf("%d/%d", m.lost, m.lost+m.served)
	}
	return out
}

func logTraitServed(tr Trait, r *traitRecord) {
	klog.InfoS("requests with trait run without trials again: one was served", "trait", tr.String(), "ends", len(r.exits))
}

func logTraitSuspicious(tr Trait, r *traitRecord) {
	klog.InfoS("requests with trait restricted to trials: servers exited while they ran some and none was served", "trait", tr.String(), "ends", incarnationNames(slices.Collect(maps.Keys(r.exits))))
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
	if len(v.Traits) > 0 {
		klog.InfoS("requests quarantined: servers exited while they ran requests with these traits", "traits", v.Traits, "ends", v.Exits, "termMs", v.TermMS, "ageMs", v.AgeMS, "source", source)
		return
	}
	klog.InfoS("request quarantined: servers exited while they ran it", "work", v.Fingerprint, "ends", v.Exits, "termMs", v.TermMS, "ageMs", v.AgeMS, "source", source)
}

func logCleared(fp model.Fingerprint, exits int) {
	klog.InfoS("request cleared: a server completed it", "work", fp, "ends", exits)
}

func logClearedByPeer(fp model.Fingerprint, peer string) {
	klog.V(1).InfoS("request cleared by a peer", "work", fp, "peer", peer)
}

package follow

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// maxSourceAge is how long no router may have heard from the store before one that polls a
	// watcher looks for another source. Together with the search, a configuration must be in
	// force within two seconds.
	maxSourceAge = 1300 * time.Millisecond
	// turnInterval is the time between the calls of two routers of a failure domain that look for
	// another source. The second one finds the first if the store answered it.
	turnInterval = 50 * time.Millisecond
	// minAskDelay and maxAskDelay bound the time between two searches among the other routers. It
	// doubles with each search.
	minAskDelay = 75 * time.Millisecond
	maxAskDelay = 400 * time.Millisecond
	// askTimeout bounds the question whether a router learns of changes, and substituteTimeout a
	// call to the store in place of the watchers.
	askTimeout        = 200 * time.Millisecond
	substituteTimeout = 500 * time.Millisecond
	// maxSubstitutes is how many routers of a failure domain others ask whether they watch the
	// store in place of the watchers.
	maxSubstitutes = 4
	// detourPeriod is the time, plus up to half of it at random, after which a router on a detour
	// asks whether its watcher learns of changes again.
	detourPeriod = 2 * time.Second
	// minCallDelay and maxCallDelay bound the time between two calls of one router in place of the
	// watchers, plus up to half of it at random. It doubles while the store does not answer: then
	// it is probably away for all.
	minCallDelay = 2 * time.Second
	maxCallDelay = 8 * time.Second
	// compactedDelay is how long a router waits for the watchers to learn of changes before it reads
	// everything in their place.
	compactedDelay = 600 * time.Millisecond
	// minOutdatedPoll is the shortest wait of a poll while the sources are outdated.
	minOutdatedPoll = 50 * time.Millisecond
)

var errSourceOutdated = errors.New("peer no longer learns of changes")

// detour replaces the source that the Picker chose while that one learns of no changes, because
// the store turns it away. Only the goroutine of Run uses it.
type detour struct {
	active bool
	source Source
	until  time.Duration // then the Picker's source is asked again
	// outdatedSince is when the sources were found to be outdated; 0 if they are not.
	outdatedSince time.Duration
	// turn is when this router may call the store in place of the watchers of its failure domain,
	// unless another one does by then. All routers of the domain rank them alike.
	turn      time.Duration
	nextAsk   time.Duration // when the other routers may be asked again
	askDelay  time.Duration // the last one between two searches
	nextCall  time.Duration // when the store may be called again
	callDelay time.Duration // the last one between two calls
	// compacted is set if the store has discarded the history that this router lacks.
	compacted bool
}

// ObservePeerContact records that a peer with contents up to a revision heard from the store at a
// time of Clock. From one that has changes which this router lacks, it does not follow that the
// source of this router learns of changes.
func (f *Follower) ObservePeerContact(revision model.Revision, at time.Duration) {
	if revision > f.Revision() {
		return
	}
	for {
		last := f.peerContact.Load()
		if int64(at) <= last || f.peerContact.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// sinceAnyContact returns the time since this router, or a peer without further changes, heard from
// the store.
func (f *Follower) sinceAnyContact() time.Duration {
	return f.Clock() - time.Duration(max(f.lastContact.Load(), f.peerContact.Load()))
}

// sourceOutdated reports whether the polled watcher is known to learn of no changes: its calls to
// the store fail, or no router heard from the store for too long.
func (f *Follower) sourceOutdated() bool {
	return f.sourceFailing || f.sinceAnyContact() > maxSourceAge
}

// pollTimeout returns how long a polled watcher may wait for updates. The poll ends in time for this
// router to notice that its source is outdated, and to take its turn.
func (f *Follower) pollTimeout() time.Duration {
	if !f.hasContents {
		return peerPollTimeout
	}
	next := maxSourceAge - f.sinceAnyContact()
	if d := &f.detour; d.outdatedSince > 0 {
		next = min(d.nextAsk, max(d.nextCall, d.turn)) - f.Clock()
	}
	return min(max(next, minOutdatedPoll), peerPollTimeout)
}

// turnDelay returns how long this router waits before it calls the store in place of the watchers.
func (f *Follower) turnDelay() time.Duration {
	position := slices.Index(f.Picker.Substitutes(), f.Picker.Self)
	if position < 0 { // a watcher that the store turned away
		return detourPeriod
	}
	return time.Duration(position) * turnInterval
}

// replaceOutdated returns the source to use instead of the Picker's if that one is outdated.
func (f *Follower) replaceOutdated(ctx context.Context, preferred Source) Source {
	d := &f.detour
	now := f.Clock()
	if f.finishCall() {
		return f.beginDetour(Source{Reason: "no watcher learns of changes"})
	}
	switch {
	case !f.hasContents, preferred.IsStore() && !(d.active && preferred.Fallback):
		*d = detour{}
		return preferred
	case d.active && !d.source.IsStore() && f.sourceOutdated():
		f.endDetour() // it does not learn either
	case d.active && now < d.until:
		return d.source
	case d.active && (preferred.Fallback || !f.sourceLearns(ctx, preferred)):
		d.until = now + limits.Jitter(detourPeriod)
		return d.source
	case d.active:
		klog.InfoS("source learns of changes again", "source", preferred.Address, "detour", d.source.Address, "revision", f.Revision())
		*d = detour{}
		f.sourceFailing = false
		return preferred
	case !f.sourceOutdated():
		*d = detour{nextCall: d.nextCall, nextAsk: d.nextAsk, askDelay: d.askDelay}
		return f.replaceLeft(ctx, preferred)
	}
	f.beginSearch(preferred)
	if f.Clock() >= max(d.turn, d.nextCall) {
		d.nextAsk = 0 // another router may have called the store just now
	}
	if addr := f.findLearning(ctx, preferred.Address); addr != "" {
		return f.beginDetour(Source{Address: addr, Reason: "learns of changes, which the watchers do not"})
	}
	if f.Clock() >= max(d.turn, d.nextCall) {
		f.startCall(ctx)
	}
	return preferred
}

// replaceLeft returns the source to use after a query failed. The Picker's next choice may be silent
// as well, and each that is takes the timeout of a poll, so all are asked at once.
func (f *Follower) replaceLeft(ctx context.Context, preferred Source) Source {
	if !f.sourceLeft || preferred.IsStore() {
		f.sourceLeft = false
		return preferred
	}
	f.sourceLeft = false
	if addr := f.findLearning(ctx, ""); addr != "" && addr != preferred.Address {
		return f.beginDetour(Source{Address: addr, Reason: "answers first after a source was left"})
	}
	return preferred
}

func (f *Follower) beginSearch(outdated Source) {
	d := &f.detour
	if d.outdatedSince > 0 {
		return
	}
	d.outdatedSince = f.Clock()
	d.nextAsk, d.askDelay = 0, 0
	d.turn = d.outdatedSince + f.turnDelay()
	klog.InfoS("source learns of no changes", "source", outdated.Address, "failing", f.sourceFailing, "age", f.SinceLastContact(),
		"anyContact", f.sinceAnyContact(), "revision", f.Revision(), "turn", d.turn-d.outdatedSince)
}

func (f *Follower) beginDetour(s Source) Source {
	f.detour = detour{active: true, source: s, until: f.Clock() + limits.Jitter(detourPeriod)}
	f.sourceFailing = false
	return s
}

// endDetour ends the use of a source that replaces an outdated one.
func (f *Follower) endDetour() {
	if !f.detour.active {
		return
	}
	ended := f.detour.source
	f.detour = detour{}
	if ended.IsStore() {
		f.detour.nextCall = f.Clock() + limits.Jitter(minCallDelay)
	}
}

// isAhead reports whether the router that gave an answer has changes that this router lacks.
func (f *Follower) isAhead(updates Updates) bool { return updates.Revision > f.Revision() }

// sourceLearns asks a source whether it learns of changes.
func (f *Follower) sourceLearns(ctx context.Context, s Source) bool {
	addr, _ := f.askAll(ctx, []string{s.Address}, askTimeout, f.learns)
	return addr != ""
}

// findLearning returns a router that learns of changes, or an empty string. It asks the other
// watchers and the routers that are the first to call the store in their place.
func (f *Follower) findLearning(ctx context.Context, except string) string {
	d := &f.detour
	if f.Clock() < d.nextAsk {
		return ""
	}
	d.askDelay = min(max(2*d.askDelay, minAskDelay), maxAskDelay)
	d.nextAsk = f.Clock() + d.askDelay
	candidates := slices.DeleteFunc(append(f.Picker.Peers(), f.Picker.firstSubstitutes()...), func(addr string) bool {
		return addr == except || addr == f.Picker.Self
	})
	timeout := askTimeout
	if d.outdatedSince > 0 {
		timeout = min(timeout, max(d.turn-f.Clock(), turnInterval))
	}
	accept := f.learns
	if f.isBehind() {
		accept = f.isAhead
	}
	addr, _ := f.askAll(ctx, candidates, timeout, accept)
	return addr
}

// learns reports whether the router that gave an answer learns of changes: it has some that this
// router lacks, or the store answered it lately.
func (f *Follower) learns(updates Updates) bool {
	return !updates.Starting && !updates.Failing &&
		(updates.Age <= maxSourceAge || updates.Revision > f.Revision() || f.sinceAnyContact() <= maxSourceAge)
}

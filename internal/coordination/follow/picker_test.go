package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// site is a set of routers that all know each other.
type site struct {
	routers []Router
	now     time.Duration
}

func newSite(domains, each int) *site {
	st := &site{now: time.Hour}
	for d := range domains {
		for i := range each {
			st.routers = append(st.routers, Router{Address: fmt.Sprintf("r%d.%d", d, i), Domain: fmt.Sprint("d", d)})
		}
	}
	return st
}

func (st *site) picker(r Router) *Picker {
	return &Picker{Self: r.Address, Domain: r.Domain, Routers: func() []Router { return st.routers }, Clock: func() time.Duration { return st.now }}
}

// Two routers per failure domain watch the store and share the others between them. On
// a small site all routers watch.
func TestTwoRoutersPerDomainWatch(t *testing.T) {
	for _, tc := range []struct{ domains, each, watchers int }{{3, 1, 3}, {3, 2, 6}, {5, 20, 10}, {18, 21, 36}} {
		st := newSite(tc.domains, tc.each)
		store := 0
		pollers := map[string]int{}
		for _, r := range st.routers {
			p := st.picker(r)
			assert.Equal(t, p.WatcherCount(), tc.watchers)
			s := p.Pick()
			if s.IsStore() {
				store++
				continue
			}
			pollers[s.Address]++
			assert.Equal(t, s.Address[:len("r0")], r.Address[:len("r0")], "polls another domain")
		}
		assert.Equal(t, store, tc.watchers)
		for addr, n := range pollers {
			assert.Assert(t, n <= tc.each*3/4, "%d of %d poll %s", n, tc.each, addr)
		}
	}
}

// Most instances have narrow links, on which the changes for half of a large domain do not fit.
// The few with wide links must watch.
func TestRoutersWithWideLinksWatch(t *testing.T) {
	st := newSite(5, 94)
	wide := map[string]bool{}
	for i := range st.routers {
		st.routers[i].LinkMbps = 20
		if i%7 == 0 {
			st.routers[i].LinkMbps = 1000
			wide[st.routers[i].Address] = true
		}
	}
	for _, r := range st.routers {
		p := st.picker(r)
		p.LinkMbps = r.LinkMbps
		if s := p.Pick(); s.IsStore() {
			assert.Assert(t, wide[r.Address], "%s watches", r.Address)
		} else {
			assert.Assert(t, wide[s.Address], "%s polls %s", r.Address, s.Address)
		}
	}
}

// Both watchers of a domain fail. The routers that polled them turn to different
// watchers of other domains, and to the store only if none of these answers.
func TestPickerFallsBackToRemoteWatchersThenStore(t *testing.T) {
	st := newSite(5, 20)
	remote := map[string]bool{}
	for _, r := range st.routers[:20] {
		p := st.picker(r)
		if p.Pick().IsStore() {
			continue
		}
		for range watchersPerDomain {
			s := p.Pick()
			assert.Equal(t, s.Reason, "watches for this failure domain")
			p.MarkFailed(s)
		}
		s := p.Pick()
		assert.Equal(t, s.Reason, "watches for another failure domain")
		remote[s.Address] = true
		for range maxRemoteWatchers {
			p.MarkFailed(p.Pick())
		}
		assert.Equal(t, p.Pick().Reason, "no watcher answers")
		st.now += 2 * failedSourceDelay
		assert.Equal(t, p.Pick().Reason, "watches for this failure domain", "it goes back to its own domain")
		st.now -= 2 * failedSourceDelay
	}
	assert.Assert(t, len(remote) > 3, "polled: %v", remote)
}

// When watchers are no longer known, the next two of their domain take over. The
// choices in other domains do not change.
func TestNextRoutersTakeOverFromExitedWatchers(t *testing.T) {
	st := newSite(5, 20)
	before := map[string]Source{}
	exited := map[string]bool{}
	for _, r := range st.routers {
		before[r.Address] = st.picker(r).Pick()
		if r.Domain == "d0" && before[r.Address].IsStore() {
			exited[r.Address] = true
		}
	}
	all := st.routers
	st.routers = nil
	for _, r := range all {
		if !exited[r.Address] {
			st.routers = append(st.routers, r)
		}
	}
	store := 0
	for _, r := range st.routers {
		s := st.picker(r).Pick()
		if r.Domain != "d0" {
			assert.Equal(t, s, before[r.Address])
		} else if s.IsStore() {
			store++
		}
	}
	assert.Equal(t, store, watchersPerDomain)
}

// The store rejects a watcher's calls. It polls another watcher and tries the store
// again later.
func TestWatcherRefusedByTheStoreAsksAnotherWatcher(t *testing.T) {
	st := newSite(3, 2)
	p := st.picker(st.routers[0])
	s := p.Pick()
	assert.Assert(t, s.IsStore())
	p.MarkFailed(s)
	assert.Equal(t, p.Pick().Address, st.routers[1].Address)
	st.now += 2 * failedSourceDelay
	assert.Assert(t, p.Pick().IsStore())
}

// A router without known peers watches the store itself.
func TestSingleRouterWatches(t *testing.T) {
	p := newSite(0, 0).picker(Router{Address: "r", Domain: "d"})
	assert.Assert(t, p.Pick().IsStore())
	p.MarkFailed(Source{})
	assert.Assert(t, p.Pick().IsStore())
	assert.Equal(t, p.WatcherCount(), 1)
}

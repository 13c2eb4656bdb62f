package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// applyBound is the time in which a configuration must be in force at routers that the store
	// serves.
	applyBound = 2 * time.Second
	// storeCallsPerSecond is half of the reading calls that the store accepts. The renewals of
	// leases need the rest.
	storeCallsPerSecond = 1000
	// returnTime is when only the watchers may watch again: they return to the store, then the
	// routers on a detour ask them, each at the end of a period of up to one and a half times its
	// length, and a second is left for a call that is in progress.
	returnTime = failedSourceDelay*3/2 + 2*detourPeriod*3/2 + time.Second
)

// storeCalls returns the number of calls of all routers to the store.
func (f *fleet) storeCalls() (calls int) {
	for _, n := range f.nodes {
		n.set(func() { calls += n.storeCalls })
	}
	return calls
}

// busiestSecond lets time pass and returns the largest number of calls to the store in one second.
func (f *fleet) busiestSecond(d time.Duration) (most int) {
	for range int(d / time.Second) {
		before := f.storeCalls()
		time.Sleep(time.Second)
		most = max(most, f.storeCalls()-before)
	}
	return most
}

// The store turns away the routers that watch it and serves the others. These must not stay with
// sources that no longer learn of changes (CONFIG, DRAIN).
func TestRoutersLeaveWatchersThatTheStoreTurnsAway(t *testing.T) {
	for _, how := range turnedAwayHow {
		for _, which := range []string{"all watchers", "one domain"} {
			for _, size := range turnedAwaySizes {
				t.Run(fmt.Sprintf("%s %s %d in %d domains", how, which, size[0]*size[1], size[0]), func(t *testing.T) {
					t.Parallel()
					inFleet(t, size[0], size[1], func(t *testing.T, f *fleet) {
						time.Sleep(12 * time.Second) // long watches are in progress
						away := f.watchers()
						for n := range away {
							if which == "one domain" && n.Domain != "d0" {
								delete(away, n)
							}
						}
						f.turnAway(away, how)
						time.Sleep(50 * time.Millisecond)
						for i := range 3 {
							value := fmt.Sprint(i)
							before := f.storeCalls()
							f.store.Put("op/config", []byte(value))
							time.Sleep(applyBound)
							assert.Check(t, len(f.servedWithout("op/config", value)) == 0, "change %d has not reached %v", i, f.servedWithout("op/config", value))
							calls := f.storeCalls() - before
							assert.Check(t, calls <= 2*storeCallsPerSecond, "%d calls to the store", calls)
							time.Sleep(time.Second)
						}
						f.turnAway(away, "")
						time.Sleep(returnTime)
						for _, n := range f.nodes {
							assert.Check(t, f.differs(n) == "", "%s", f.differs(n))
						}
						assert.Check(t, len(f.watchers()) <= watchersPerDomain*size[0], "%d routers still watch the store", len(f.watchers()))
					})
				})
			}
		}
	}
}

// The store is away for all routers. Those that poll a watcher can't tell that from watchers that
// are turned away. Guards against calls beyond the limits of the store, which would be rejected
// with those that end the outage.
func TestCallsOfHundredsOfRoutersStayLimitedDuringAnOutage(t *testing.T) {
	for _, how := range turnedAwayHow {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			inFleet(t, largestDomains, 20, func(t *testing.T, f *fleet) {
				all := map[*node]bool{}
				for _, n := range f.nodes {
					all[n] = true
				}
				f.turnAway(all, how)
				calls := f.busiestSecond(12 * time.Second)
				assert.Check(t, calls <= storeCallsPerSecond, "%d calls to the store in one second", calls)
				f.store.Put("op/config", []byte("back"))
				f.turnAway(all, "")
				time.Sleep(applyBound)
				assert.Check(t, len(f.without("op/config", "back")) == 0, "%v", f.without("op/config", "back"))
				time.Sleep(returnTime)
				assert.Check(t, len(f.watchers()) <= largestDomains*watchersPerDomain, "%d routers watch the store", len(f.watchers()))
			})
		})
	}
}

// A router watches the store in place of the watchers when another one commits, and the watches are
// silent for a moment. Guards against routers that give the store up for a watch that they
// cancelled themselves, so that those that poll them search again.
func TestSubstituteKeepsTheStoreWhenItsWatchIsCancelled(t *testing.T) {
	inFleet(t, 1, 6, func(t *testing.T, f *fleet) {
		f.turnAway(f.watchers(), "rejected")
		time.Sleep(applyBound)
		substitutes := f.watchers()
		for n := range substitutes {
			if n.isTurnedAway() {
				delete(substitutes, n)
			}
		}
		assert.Equal(t, len(substitutes), 1)
		f.store.SetFaults(silentFaults["answered"])
		for _, n := range f.nodes {
			if !n.isTurnedAway() && !substitutes[n] {
				f.commit(n, "plan", "1")
				break
			}
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for n := range substitutes {
				assert.Assert(t, f.watchers()[n], "%s has left the store", n.Address)
			}
		}
	})
}

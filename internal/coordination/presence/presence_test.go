package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
)

const validity = 2 * time.Second

func sameValidity(bool) time.Duration { return validity }

// fleetMembers returns n routers in five failure domains, by store key.
func fleetMembers(n int) map[string]leader.Member {
	members := map[string]leader.Member{}
	for i := range n {
		name := fmt.Sprint("router", i)
		members[name] = leader.Member{Instance: name, Address: name, Domain: fmt.Sprint("domain", i%5)}
	}
	return members
}

// Hundreds of routers start at once, long before each has sent a heartbeat to each other. They
// must agree on a few watchers from the registrations, or all of them watch the store.
func TestRoutersThatStartTogetherAgreeOnFewWatchers(t *testing.T) {
	now := time.Now()
	for _, n := range []int{100, 470, 1000} {
		members := fleetMembers(n)
		watching := 0
		for _, m := range members {
			if m.Domain != "domain0" {
				continue // the others differ by their names only
			}
			table := New(m.Address, m.Domain, nil, func() time.Time { return now })
			table.SetMembers(members)
			var reachable []follow.Router
			domains := table.Domains()
			for addr := range table.Reachable(sameValidity) {
				reachable = append(reachable, follow.Router{Address: addr, Domain: domains[addr]})
			}
			picker := follow.Picker{Self: m.Address, Domain: m.Domain, Clock: func() time.Duration { return time.Hour }}
			picker.Routers = func() []follow.Router { return reachable }
			if picker.Pick().IsStore() {
				watching++
			}
		}
		assert.Equal(t, watching, 2, "of %d routers", n)
	}
}

// A registered router that sends no heartbeat must not be polled for longer than a heartbeat
// is valid: its entry outlives it by the time of its lease.
func TestSilentRouterIsReachableOnlyUntilItsHeartbeatIsDue(t *testing.T) {
	now := time.Now()
	table := New("self", "d", nil, func() time.Time { return now })
	members := map[string]leader.Member{"a": {Address: "a", Domain: "d"}, "b": {Address: "b", Domain: "d"}}
	table.SetMembers(members)
	assert.Equal(t, len(table.Reachable(sameValidity)), 2)
	now = now.Add(validity / 2)
	table.Heard("a")
	now = now.Add(validity / 2)
	table.SetMembers(members)
	assert.DeepEqual(t, table.Reachable(sameValidity), map[string]bool{"a": true})
	now = now.Add(validity / 2)
	assert.Equal(t, len(table.Reachable(sameValidity)), 0)
	assert.Equal(t, table.Count(), 3, "registered routers share budgets until their lease ends")
}

// A router that the store does not list, as its history is old, counts by its heartbeats alone.
func TestUnregisteredRouterCountsWhileItSendsHeartbeats(t *testing.T) {
	now := time.Now()
	table := New("self", "d", []string{"self", "seed"}, func() time.Time { return now })
	assert.DeepEqual(t, table.Others(), []string{"seed"})
	table.Heard("a")
	assert.DeepEqual(t, table.Others(), []string{"a"})
	near, far := table.Split(table.Others())
	assert.Equal(t, len(near), 0)
	assert.DeepEqual(t, far, []string{"a"})
	now = now.Add(Timeout)
	assert.DeepEqual(t, table.Others(), []string{"seed"})
}

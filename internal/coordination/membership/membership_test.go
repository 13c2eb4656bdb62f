package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func sidecar(addr string) model.Instance {
	return model.Instance{ID: addr, Role: model.RoleSidecar, Address: addr}
}

func offers(service string) Backend {
	return Backend{Service: service, Kind: model.KindPlain, Capacity: 4}
}

// A stale list that shows a leaving member as live must not make it a candidate again.
func TestStaleListDoesNotClearLeaving(t *testing.T) {
	tb := New("self", time.Now)
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	tb.ObserveLeaving("a")
	tb.UpdateList([]model.Instance{sidecar("a")})
	up, doubtful := tb.Candidates("s")
	assert.Equal(t, len(up)+len(doubtful), 0)
}

// A gate said that it leaves, and the reply to an older call, which arrived later, made it a
// candidate again. Only a new incarnation may.
func TestOlderLoadDoesNotClearLeaving(t *testing.T) {
	tb := New("self", time.Now)
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	tb.ObserveLeaving("a")
	tb.ObserveLoad("a", Load{Capacity: 4})
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	up, suspects := tb.Candidates("s")
	assert.Equal(t, len(up)+len(suspects), 0)
	tb.Observe(sidecar("a"), "2", offers("s"), 0)
	up, _ = tb.Candidates("s")
	assert.Equal(t, len(up), 1)
}

// Two refusals arrive in any order. The shorter backoff replaced the longer one.
func TestShorterBackoffDoesNotReplaceALongerOne(t *testing.T) {
	now := time.Now()
	tb := New("self", func() time.Time { return now })
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	tb.SetBackoff("a", 3*time.Second)
	tb.SetBackoff("a", time.Second)
	m, _ := tb.Get("a")
	assert.Equal(t, m.BackoffUntil, now.Add(3*time.Second))
}

// A member that responds must be kept even if the list lacks it.
func TestResponsiveMemberIsKeptWithoutTheList(t *testing.T) {
	now := time.Now()
	tb := New("self", func() time.Time { return now })
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	now = now.Add(time.Hour)
	tb.UpdateList(nil)
	up, _ := tb.Candidates("s")
	assert.Equal(t, len(up), 1)
	tb.RecordFailure("a")
	tb.RecordFailure("a")
	tb.UpdateList(nil)
	_, known := tb.Get("a")
	assert.Assert(t, !known, "a member that is neither responsive nor listed was kept")
}

// A listed member must stop being a candidate after two failed contacts and become one
// again after a response.
func TestFailedContactsOverrideTheList(t *testing.T) {
	tb := New("self", time.Now)
	for _, a := range []string{"a", "b", "c"} {
		tb.Observe(sidecar(a), "1", offers("s"), 0)
	}
	assert.Assert(t, !tb.RecordFailure("a"), "down after one failed contact")
	assert.Assert(t, tb.RecordFailure("a"))
	tb.UpdateList([]model.Instance{sidecar("a"), sidecar("b"), sidecar("c")})
	up, _ := tb.Candidates("s")
	assert.Equal(t, len(up), 2)
	tb.Observe(sidecar("a"), "2", offers("s"), 0)
	up, _ = tb.Candidates("s")
	assert.Equal(t, len(up), 3)
}

// The members of a service must be incomplete until every listed sidecar has been
// contacted.
func TestServiceMembersAreIncompleteUntilAllAreContacted(t *testing.T) {
	tb := New("self", time.Now)
	tb.UpdateList([]model.Instance{sidecar("a"), sidecar("b")})
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	_, complete := tb.ServiceMembers("s")
	assert.Assert(t, !complete)
	tb.Observe(sidecar("b"), "1", offers("other"), 0)
	members, complete := tb.ServiceMembers("s")
	assert.Assert(t, complete && len(members) == 1)
}

// Removing an address must move only the keys of that address.
func TestRendezvousMovesOnlyKeysOfTheRemovedAddress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		addrs := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 8, rapid.ID[string]).Draw(rt, "addrs")
		key := rapid.String().Draw(rt, "key")
		all := Rendezvous(key, addrs)
		without := Rendezvous(key, addrs[1:])
		if all[0] != addrs[0] {
			assert.Equal(rt, without[0], all[0])
		} else {
			assert.Equal(rt, without[0], all[1])
		}
	})
}

// Guards against members without a bound, as anybody can name an address in a message.
func TestMembersThatNobodyConfirmedAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New("self:1", func() time.Time { return now })
	listed := model.Instance{Address: "listed:1", Role: model.RoleEntry}
	table.UpdateList([]model.Instance{listed})
	for i := range 10 * maxUnconfirmed {
		table.ObserveRevision(fmt.Sprintf("unconfirmed:%d", i), 1)
	}
	assert.Equal(t, len(table.All()), 1+maxUnconfirmed)
	table.Observe(model.Instance{Address: "unconfirmed:0", Role: model.RoleEntry}, "incarnation", Backend{}, time.Millisecond)
	table.ObserveRevision("next:1", 1)
	_, known := table.Get("next:1")
	assert.Assert(t, known, "a response makes room for another member")
	now = now.Add(2 * retention)
	table.UpdateList([]model.Instance{listed})
	table.ObserveRevision("later:1", 1)
	_, known = table.Get("later:1")
	assert.Assert(t, known, "members that nobody has confirmed are forgotten")
}

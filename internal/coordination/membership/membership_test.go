package membership

import (
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

// A gate says that it leaves; the instance list, which lags, goes on to show it
// as live. The gate's word stands, and it is no candidate.
func TestLeavingOutlivesAStaleList(t *testing.T) {
	tb := New("self", time.Now)
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	tb.ObserveLeaving("a")
	tb.UpdateList([]model.Instance{sidecar("a")})
	up, doubtful := tb.Candidates("s")
	assert.Equal(t, len(up)+len(doubtful), 0)
}

// The list has not caught up with a new instance, or has lost one that answers:
// direct evidence keeps it.
func TestAnsweringMemberOutlivesTheList(t *testing.T) {
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
	assert.Assert(t, !known, "a member that neither answers nor is listed is forgotten")
}

// A stale list still shows an instance that is dead. Two contacts that fail make
// it no candidate; one answer makes it one again.
func TestMissesGoBeforeTheList(t *testing.T) {
	tb := New("self", time.Now)
	for _, a := range []string{"a", "b", "c"} {
		tb.Observe(sidecar(a), "1", offers("s"), 0)
	}
	assert.Assert(t, !tb.RecordFailure("a"), "one miss may be the connection's fault")
	assert.Assert(t, tb.RecordFailure("a"))
	tb.UpdateList([]model.Instance{sidecar("a"), sidecar("b"), sidecar("c")})
	up, _ := tb.Candidates("s")
	assert.Equal(t, len(up), 2)
	tb.Observe(sidecar("a"), "2", offers("s"), 0)
	up, _ = tb.Candidates("s")
	assert.Equal(t, len(up), 3)
}

// An entry that has not met every listed sidecar does not know who offers a
// service, and must not prove anything from it.
func TestServiceIsIncompleteUntilAllAreMet(t *testing.T) {
	tb := New("self", time.Now)
	tb.UpdateList([]model.Instance{sidecar("a"), sidecar("b")})
	tb.Observe(sidecar("a"), "1", offers("s"), 0)
	_, complete := tb.ServiceMembers("s")
	assert.Assert(t, !complete)
	tb.Observe(sidecar("b"), "1", offers("other"), 0)
	members, complete := tb.ServiceMembers("s")
	assert.Assert(t, complete && len(members) == 1)
}

// One address more or less moves only the keys that it wins or held.
func TestRendezvousMovesLittle(t *testing.T) {
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

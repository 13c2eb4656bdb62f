package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// revision returns a revision of an era.
func revision(t *testing.T, era, count int64) model.Revision {
	r, err := model.NewRevision(era, count)
	assert.NilError(t, err)
	return r
}

// The store is restored from a copy in which a draining server is still ready. It must get no
// requests, and later entries must still be applied.
func TestDrainingServerStaysDrainingAfterRestore(t *testing.T) {
	at, now := clock()
	c := New(now)
	b := server("a", "1:1", revision(t, 1, 90))
	b.HeartbeatCount, b.Draining = 12, true
	c.Put(b)
	restored := server("a", "1:1", revision(t, 2, 40))
	restored.HeartbeatCount = 11
	c.Replace([]model.BackendServer{restored}, nil, 2*time.Second)
	assert.Assert(t, c.Load().ByID("a").Draining)
	b.Revision, b.HeartbeatCount = revision(t, 2, 41), 13
	b.Draining = false
	c.Put(b)
	assert.Assert(t, !c.Load().ByID("a").Draining, "its later heartbeat")
	c.Remove("a", revision(t, 2, 42), 0)
	assert.Assert(t, c.Load().ByID("a") == nil)
	_ = at
}

// The restored copy lacks the entries of servers. One that writes its entry again, with a lower
// count, must stay. One that exited must go after its grace.
func TestMissingServersKeepGraceAfterRestore(t *testing.T) {
	at, now := clock()
	c := New(now)
	c.Put(server("lives", "1:1", revision(t, 1, 90)))
	c.Put(server("ended", "2:1", revision(t, 1, 91)))
	c.Replace(nil, nil, 2*time.Second)
	assert.Assert(t, c.Load().ByID("lives") != nil && c.Load().ByID("ended") != nil)
	*at = at.Add(time.Second)
	c.Put(server("lives", "1:1", revision(t, 2, 7)))
	*at = at.Add(2 * time.Second)
	c.Expire()
	assert.Assert(t, c.Load().ByID("lives") != nil)
	assert.Assert(t, c.Load().ByID("ended") == nil)
}

// Guards against an engine that stays out of use at a router that knew it before the store came back from an
// older copy, because the copy has an earlier process at its address.
func TestEarlierProcessInARestoredCopyReplacesNobody(t *testing.T) {
	_, now := clock()
	c := New(now)
	running := server("running", "1:1", revision(t, 0, 70))
	running.Born = 3
	c.Replace([]model.BackendServer{running}, nil, 2*time.Second)
	earlier := server("earlier", "1:1", revision(t, 2, 40))
	earlier.Born = 1
	running.Revision = revision(t, 2, 61)
	conflicts := c.Replace([]model.BackendServer{earlier, running}, nil, 2*time.Second)
	for _, b := range conflicts.Exited {
		assert.Assert(t, b.ID != "running", "the running process counts as exited")
	}
	running.Revision = revision(t, 2, 69)
	c.Put(running)
	assert.Assert(t, c.Load().ByID("running") != nil, "the running process is out of use")
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "running")
}

package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// revision is one of an era.
func revision(t *testing.T, era, count int64) model.Revision {
	r, err := model.NewRevision(era, count)
	assert.NilError(t, err)
	return r
}

// A server says that it drains. The store comes back from a copy of before, in which the
// server is ready, under a lower count of a newer era: the server stays out of use, or
// requests would be sent to it longer after its word than it serves. What it writes itself
// after that counts, and so does its entry's removal.
func TestServerThatDrainsStaysSoOverARestore(t *testing.T) {
	at, now := clock()
	c := New(now)
	b := server("a", "1:1", revision(t, 1, 90))
	b.Beats, b.Draining = 12, true
	c.Put(b)
	old := server("a", "1:1", revision(t, 2, 40))
	old.Beats = 11
	c.Replace([]model.BackendServer{old}, nil, 2*time.Second)
	assert.Assert(t, c.Load().ByID("a").Draining)
	b.Revision, b.Beats = revision(t, 2, 41), 13
	b.Draining = false
	c.Put(b)
	assert.Assert(t, !c.Load().ByID("a").Draining, "its own later word")
	c.Remove("a", revision(t, 2, 42), 0)
	assert.Assert(t, c.Load().ByID("a") == nil)
	_ = at
}

// An engine's entry is newer than the copy and missing for a moment: it is believed in
// until it writes again, under a lower count than it had. One that has truly ended goes.
func TestMissingServersComeBackAfterARestore(t *testing.T) {
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

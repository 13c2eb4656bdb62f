package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Every kind of write (plans, verdicts, membership, leadership) goes through Commit. A
// revision that is not reported would stay unknown while the store's watches are silent, and
// one that was not acknowledged must not be reported.
func TestCountedStoreReportsAcknowledgedRevisions(t *testing.T) {
	store := standin.NewStore()
	c := newCountedStore(store, newMetrics(settings.Default()))
	var reported []model.Revision
	c.onAcknowledged = func(revision model.Revision) { reported = append(reported, revision) }
	put := func(cond ...external.Condition) (model.Revision, error) {
		return c.Commit(t.Context(), external.Txn{If: cond, Put: []external.Item{{Key: "plan", Value: []byte("1")}}})
	}
	committed, err := put()
	assert.NilError(t, err)
	_, err = put(external.Condition{Key: "plan", Revision: committed + 1})
	assert.ErrorIs(t, err, external.ErrConflict)
	store.SetFaults(standin.StoreFaults{DropWriteResponses: 1})
	_, err = put()
	assert.ErrorIs(t, err, external.ErrUnknown)
	it, err := c.Get(t.Context(), "plan")
	assert.NilError(t, err)
	_, err = c.Get(t.Context(), "missing")
	assert.ErrorIs(t, err, external.ErrNotFound)
	_, err = c.Watch(t.Context(), "", it.Revision, time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, reported, []model.Revision{committed, it.Revision})
}

package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform"
)

// Guards against an older removal that removes a newer entry. A range read is paged, so a late
// page may hold an entry that the watch reports as removed afterwards.
func TestOlderRemovalDoesNotRemoveNewerEntry(t *testing.T) {
	const firstPage, removed, back, removedAgain = 10, 11, 14, 15
	key := platform.ServersPrefix + "a"
	entry := []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":9}`)
	r := testRouter(t, &emptyStore{})
	sink := (*routerSink)(r)
	sink.Reset(external.Page{Items: []external.Item{{Key: key, Value: entry, Revision: back}}, Revision: firstPage}, 0)
	sink.Change(external.Item{Key: key, Revision: removed, Removed: true}, 0)
	assert.Equal(t, len(r.catalog.Load().Service("s")), 1)
	sink.Change(external.Item{Key: key, Revision: removedAgain, Removed: true}, 0)
	assert.Equal(t, len(r.catalog.Load().Service("s")), 0)
}

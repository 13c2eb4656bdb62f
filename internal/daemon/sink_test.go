package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	outside "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/platform"
)

// Requests to a service are refused though its backend server is there and registered.
// Its entry is removed and written again while the pages of a range read are fetched:
// a late page brings the new entry, and the watch, which begins at the first page,
// then tells of the removal before it. The removal is the older word, and the next
// answer of the watch may be a second away.
func TestEntryThatCameBackOutlastsItsOlderRemoval(t *testing.T) {
	const firstPage, removed, back, removedAgain = 10, 11, 14, 15
	key := platform.ServersPrefix + "a"
	entry := []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":9}`)
	r := testRouter(t, &emptyStore{})
	sink := (*routerSink)(r)
	sink.Reset(outside.Page{Items: []outside.Item{{Key: key, Value: entry, Revision: back}}, Revision: firstPage}, 0)
	sink.Change(outside.Item{Key: key, Revision: removed, Removed: true}, 0)
	assert.Equal(t, len(r.catalog.Load().Service("s")), 1)
	sink.Change(outside.Item{Key: key, Revision: removedAgain, Removed: true}, 0)
	assert.Equal(t, len(r.catalog.Load().Service("s")), 0)
}

package clientbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an expectation that one large part raises for good, or that small ones lower at once.
func TestExpectedSizeHalvesEachMinute(t *testing.T) {
	now := time.Unix(1000, 0)
	e := Expected{Now: func() time.Time { return now }}
	assert.Equal(t, e.Size("s"), int64(0))
	e.Observe("s", 1024)
	e.Observe("s", 10)
	assert.Equal(t, e.Size("s"), int64(1024))
	assert.Equal(t, e.Size("other"), int64(0))
	now = now.Add(3 * expectationHalfLife)
	assert.Equal(t, e.Size("s"), int64(128))
	e.Observe("s", 200)
	assert.Equal(t, e.Size("s"), int64(200))
}

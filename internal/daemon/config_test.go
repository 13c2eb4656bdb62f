package daemon

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
)

// waitForConfigs returns when no configuration is queued or being applied.
func waitForConfigs(q *configQueue) {
	for {
		q.mu.Lock()
		running := q.running
		q.mu.Unlock()
		if !running {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A confirmation that overtakes the decoding of a configuration would make the older one
// count as the newest, and routes that it lacks would be refused for good.
func TestConfirmationWaitsForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // guards the slices
		var applied []string
		var confirmed []time.Duration
		confirmations := func() []time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(confirmed)
		}
		q := &configQueue{
			apply: func(it external.Item) {
				time.Sleep(time.Second)
				applied = append(applied, string(it.Value))
			},
			confirm: func(at time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				confirmed = append(confirmed, at)
			},
		}
		q.confirmNewest(1)
		assert.DeepEqual(t, confirmations(), []time.Duration{1})
		q.add(external.Item{Value: []byte("a")})
		q.confirmNewest(2)
		time.Sleep(500 * time.Millisecond)
		q.confirmNewest(3)
		assert.DeepEqual(t, confirmations(), []time.Duration{1})
		time.Sleep(time.Second)
		waitForConfigs(q)
		assert.DeepEqual(t, confirmations(), []time.Duration{1, 3})
		assert.DeepEqual(t, applied, []string{"a"})
	})
}

// Versions follow one another faster than a slow processor decodes them. The one in
// progress takes effect and the newest follows; those between are skipped.
func TestVersionsInSeriesTakeEffectInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var applied []int
		q := &configQueue{
			apply: func(it external.Item) {
				time.Sleep(time.Second)
				applied = append(applied, int(it.Revision))
			},
			confirm: func(time.Duration) {},
		}
		for revision := 1; revision <= 20; revision++ {
			q.add(external.Item{Revision: model.Revision(revision)})
			time.Sleep(300 * time.Millisecond)
		}
		waitForConfigs(q)
		assert.Assert(t, slices.IsSorted(applied), "%v", applied)
		assert.Equal(t, applied[len(applied)-1], 20)
		assert.Assert(t, len(applied) >= 6, "%v", applied)
	})
}

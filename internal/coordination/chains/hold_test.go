package chains

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A reservation must stay counted while peer usage expires around it. Release must free
// exactly what was reserved, once, and a later Move must have no effect.
func TestReservationOutlivesPeerUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewUsageTracker(time.Now)
		stage := func(id string) Stage {
			return Stage{Server: &model.BackendServer{ID: id}, Layers: model.LayerRange{To: 4}}
		}
		one, two := model.Incarnation{ID: "one"}, model.Incarnation{ID: "two"}
		r := tracker.Reserve([]Stage{stage("one")}, 100)
		other := tracker.Reserve([]Stage{stage("one")}, 10)
		tracker.SetPeerUsage("peer", map[model.Incarnation]Usage{one: {Streams: 3, TokenLayers: 30}}, time.Second)
		for range 10 {
			time.Sleep(time.Minute)
			tracker.ExpirePeers()
			tracker.OwnUsage()
		}
		assert.Equal(t, tracker.Used(one).TokenLayers, 440.0)
		other.Release()
		tracker.OwnUsage()
		r.Move([]Stage{stage("two")})
		tracker.OwnUsage()
		assert.Equal(t, tracker.Used(one), Usage{})
		assert.Equal(t, tracker.Used(two).TokenLayers, 400.0)
		r.Release()
		r.Release()
		r.Move([]Stage{stage("one")})
		assert.Equal(t, tracker.Used(one), Usage{})
		assert.Equal(t, tracker.Used(two), Usage{})
	})
}

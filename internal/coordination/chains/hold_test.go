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
		m := NewUsageTracker(time.Now)
		part := func(id string) Stage {
			return Stage{Server: &model.BackendServer{ID: id}, Layers: model.LayerRange{To: 4}}
		}
		one, two := model.Incarnation{ID: "one"}, model.Incarnation{ID: "two"}
		h := m.Reserve([]Stage{part("one")}, 100)
		other := m.Reserve([]Stage{part("one")}, 10)
		m.SetPeerUsage("peer", map[model.Incarnation]Usage{one: {Streams: 3, TokenLayers: 30}}, time.Second)
		for range 10 {
			time.Sleep(time.Minute)
			m.ExpirePeers()
			m.OwnUsage()
		}
		assert.Equal(t, m.Used(one).TokenLayers, 440.0)
		other.Release()
		m.OwnUsage()
		h.Move([]Stage{part("two")})
		m.OwnUsage()
		assert.Equal(t, m.Used(one), Usage{})
		assert.Equal(t, m.Used(two).TokenLayers, 400.0)
		h.Release()
		h.Release()
		h.Move([]Stage{part("one")})
		assert.Equal(t, m.Used(one), Usage{})
		assert.Equal(t, m.Used(two), Usage{})
	})
}

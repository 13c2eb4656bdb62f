package chains

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A stream runs for long while counts are told, expire and are forgotten around it,
// then it is moved, ends, and a late move comes after. Its memory is counted all the
// while, given back once, and what it gives back is what it took.
func TestHoldOutlivesWhatIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(time.Now)
		part := func(id string) Part {
			return Part{Server: &model.BackendServer{ID: id}, Layers: model.LayerRange{To: 4}}
		}
		one, two := model.Incarnation{ID: "one"}, model.Incarnation{ID: "two"}
		h := m.Reserve([]Part{part("one")}, 100)
		other := m.Reserve([]Part{part("one")}, 10)
		m.SeenPeer("peer", map[model.Incarnation]Use{one: {Streams: 3, TokenLayers: 30}}, time.Second)
		for range 10 {
			time.Sleep(time.Minute)
			m.Expire()
			m.Own()
		}
		assert.Equal(t, m.Used(one).TokenLayers, 440.0)
		other.Release()
		m.Own()
		h.Move([]Part{part("two")})
		m.Own()
		assert.Equal(t, m.Used(one), Use{})
		assert.Equal(t, m.Used(two).TokenLayers, 400.0)
		h.Release()
		h.Release()
		h.Move([]Part{part("one")})
		assert.Equal(t, m.Used(one), Use{})
		assert.Equal(t, m.Used(two), Use{})
	})
}

package wire

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

func figures[K comparable, V any](t *rapid.T, label string, of *rapid.Generator[K], figure *rapid.Generator[V]) map[K]V {
	m := rapid.MapOfN(of, figure, 0, 6).Draw(t, label)
	if len(m) == 0 {
		return nil
	}
	return m
}

// What a router tells arrives as it was told, to a thousandth.
func TestBeatArrivesAsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, 1<<50)
		fraction := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.Int64Range(0, 1<<30).Draw(t, "n")) / thousandths })
		text := rapid.StringN(0, 20, 60)
		engine := rapid.Custom(func(t *rapid.T) model.Incarnation {
			return model.Incarnation{ID: text.Draw(t, "id"), Born: number.Draw(t, "born")}
		})
		b := RouterHeartbeat{
			IntervalMS: number.Draw(t, "every"), Config: number.Draw(t, "config"), ConfigAgeMS: number.Draw(t, "age"),
			Revision: model.Revision(number.Draw(t, "revision")), HasTraffic: rapid.Bool().Draw(t, "traffic"),
			Usage: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) EngineUsage {
				return EngineUsage{Server: engine.Draw(t, "server"), TokenLayers: number.Draw(t, "tokens"), Streams: number.Draw(t, "streams"),
					FirstStageStreams: number.Draw(t, "firsts"), PrefillLoad: fraction.Draw(t, "reading")}
			}), 0, 60).Draw(t, "uses"),
			Interconnects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) InterconnectRate {
				return InterconnectRate{A: text.Draw(t, "a"), B: text.Draw(t, "b"), Rate: fraction.Draw(t, "rate")}
			}), 0, 6).Draw(t, "pipes"),
			Slow: figures(t, "slow", engine, fraction), Suspects: figures(t, "suspects", engine, number), Refusing: figures(t, "refusing", engine, number),
			SpareTokens: figures(t, "spares", rapid.StringN(0, 12, 40), rapid.IntRange(0, 1<<30)),
		}
		got, err := UnpackRouterHeartbeat(b.Pack())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, b)
	})
}

// A message that stops anywhere is an error, never a shorter truth.
func TestCutBeatIsRefused(t *testing.T) {
	b := RouterHeartbeat{IntervalMS: 250, Config: 300, Usage: []EngineUsage{{Server: model.Incarnation{ID: "i-1", Born: 1700000000000}, TokenLayers: 5000, Streams: 2, PrefillLoad: 0.25}},
		Interconnects: []InterconnectRate{{A: "a", B: "b", Rate: 12}}, SpareTokens: map[string]int{"s": 300}}
	raw := b.Pack()
	for n := range raw {
		_, err := UnpackRouterHeartbeat(raw[:n])
		assert.ErrorIs(t, err, errShort, "cut after %d of %d bytes", n, len(raw))
	}
}

// Whatever bytes come, reading them ends and takes no more memory than they give
// grounds for.
func FuzzBeat(f *testing.F) {
	f.Add((&RouterHeartbeat{Config: 2, SpareTokens: map[string]int{"s": 3}}).Pack())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := UnpackRouterHeartbeat(raw)
		if err == nil {
			again, err := UnpackRouterHeartbeat(b.Pack())
			assert.NilError(t, err)
			assert.Equal(t, len(again.Usage), len(b.Usage))
		}
	})
}

// The load: two dozen routers tell each other four times a second, each of some
// forty engines, so a router reads 80 to 96 heartbeats a second, next to 14 requests
// and 600 events on a seventh of a core. A heartbeat may cost it a string for each
// name and little else, and must fit into one segment: as JSON one took a tenth of
// a millisecond, more than all of its callers' streams together.
func TestBeatIsCheapToRead(t *testing.T) {
	const engines, names = 40, 40 + 4 + 1
	b := RouterHeartbeat{IntervalMS: 250, Config: 300, ConfigAgeMS: 120, Revision: 4711, HasTraffic: true, SpareTokens: map[string]int{"planner": 5},
		Interconnects: []InterconnectRate{{A: "domain-1", B: "domain-2", Rate: 123.456}, {A: "domain-1", B: "domain-3", Rate: 9}}}
	for i := range engines {
		b.Usage = append(b.Usage, EngineUsage{Server: model.Incarnation{ID: fmt.Sprintf("i-%010x", 7919*i), Born: 1700000000000 + int64(i)}, TokenLayers: 12345, Streams: 3, FirstStageStreams: 1, PrefillLoad: 0.02})
	}
	raw := b.Pack()
	const segment = 1400
	assert.Assert(t, len(raw) <= segment, "%d bytes", len(raw))
	const containers = 8 // the lists, the map and what it grows by
	allocated := testing.AllocsPerRun(100, func() {
		if _, err := UnpackRouterHeartbeat(raw); err != nil {
			t.Fatal(err)
		}
	})
	assert.Assert(t, allocated <= names+containers, "%.0f allocations", allocated)
}

package wire

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

func drawMap[K comparable, V any](t *rapid.T, label string, key *rapid.Generator[K], value *rapid.Generator[V]) map[K]V {
	m := rapid.MapOfN(key, value, 0, 6).Draw(t, label)
	if len(m) == 0 {
		return nil
	}
	return m
}

// Encoding and decoding a heartbeat must keep its values to 1/1000.
func TestHeartbeatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, 1<<50)
		fraction := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.Int64Range(0, 1<<30).Draw(t, "n")) / fractionScale })
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
			Slow: drawMap(t, "slow", engine, fraction), Suspects: drawMap(t, "suspects", engine, number), Refusing: drawMap(t, "refusing", engine, number),
			SpareTokens: drawMap(t, "spares", rapid.StringN(0, 12, 40), rapid.IntRange(0, 1<<30)),
			Limits: drawMap(t, "limits", engine, rapid.Custom(func(t *rapid.T) RateLimit {
				return RateLimit{Ended: rapid.Bool().Draw(t, "ended"), Rate: fraction.Draw(t, "limit"), AgeMS: number.Draw(t, "limitAge")}
			})),
		}
		rumors := rapid.Custom(func(t *rapid.T) Rumor {
			return Rumor{Server: engine.Draw(t, "noticed"), At: hlc.Timestamp{Wall: number.Draw(t, "wall"), Logical: number.Draw(t, "logical")},
				RemainingMS: number.Draw(t, "remaining"), Slowdown: fraction.Draw(t, "slowdown")}
		})
		if n := rapid.IntRange(0, 6).Draw(t, "rumors"); n > 0 {
			b.Rumors = rapid.SliceOfN(rumors, n, n).Draw(t, "list")
		}
		if n := rapid.IntRange(0, 6).Draw(t, "leaving"); n > 0 {
			b.Leaving = rapid.SliceOfN(rumors, n, n).Draw(t, "leavingList")
		}
		demands := rapid.Custom(func(t *rapid.T) ResourceDemand {
			return ResourceDemand{A: text.Draw(t, "from"), B: text.Draw(t, "to"), Priority: number.Draw(t, "priority"), Used: fraction.Draw(t, "used"), Unmet: fraction.Draw(t, "unmet")}
		})
		if n := rapid.IntRange(0, 6).Draw(t, "demands"); n > 0 {
			b.Demands = rapid.SliceOfN(demands, n, n).Draw(t, "demandList")
		}
		got, err := UnpackRouterHeartbeat(b.Pack())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, b)
	})
}

// A truncated heartbeat must be an error and not decode to fewer items.
func TestTruncatedHeartbeatIsRejected(t *testing.T) {
	b := RouterHeartbeat{IntervalMS: 250, Config: 300, Usage: []EngineUsage{{Server: model.Incarnation{ID: "i-1", Born: 1700000000000}, TokenLayers: 5000, Streams: 2, PrefillLoad: 0.25}},
		Interconnects: []InterconnectRate{{A: "a", B: "b", Rate: 12}}, SpareTokens: map[string]int{"s": 300}}
	raw := b.Pack()
	for n := range raw {
		_, err := UnpackRouterHeartbeat(raw[:n])
		assert.ErrorIs(t, err, errTruncated, "cut after %d of %d bytes", n, len(raw))
	}
}

// Decoding arbitrary bytes must terminate and allocate no more than the message size
// justifies.
func FuzzHeartbeat(f *testing.F) {
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

// A router decodes up to 96 heartbeats per second. One must fit into a TCP segment and
// cost little more than one allocation for each name.
func TestHeartbeatDecodingAllocations(t *testing.T) {
	const engines, names = 40, 40 + 4 + 1
	b := RouterHeartbeat{IntervalMS: 250, Config: 300, ConfigAgeMS: 120, Revision: 4711, HasTraffic: true, SpareTokens: map[string]int{"planner": 5},
		Interconnects: []InterconnectRate{{A: "domain-1", B: "domain-2", Rate: 123.456}, {A: "domain-1", B: "domain-3", Rate: 9}}}
	for i := range engines {
		b.Usage = append(b.Usage, EngineUsage{Server: model.Incarnation{ID: fmt.Sprintf("i-%010x", 7919*i), Born: 1700000000000 + int64(i)}, TokenLayers: 12345, Streams: 3, FirstStageStreams: 1, PrefillLoad: 0.02})
	}
	raw := b.Pack()
	const segment = 1400
	assert.Assert(t, len(raw) <= segment, "%d bytes", len(raw))
	const containers = 8 // the slices, the map and its growth
	allocated := testing.AllocsPerRun(100, func() {
		if _, err := UnpackRouterHeartbeat(raw); err != nil {
			t.Fatal(err)
		}
	})
	assert.Assert(t, allocated <= names+containers, "%.0f allocations", allocated)
}

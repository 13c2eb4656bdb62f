package wire

import (
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// RouterHeartbeat is the state that a router sends to its peers several times per
// second.
type RouterHeartbeat struct {
	// IntervalMS is the time until the next heartbeat.
	IntervalMS int64
	// Config is the configuration version in force. ConfigAgeMS is the time since it was
	// last confirmed to be the newest.
	Config      int64
	ConfigAgeMS int64
	// Revision is the highest store revision that the router knows to exist: the one up to
	// which its contents are complete, or a later one that the store acknowledged to it.
	Revision model.Revision
	// Usage is the load of its streams on engines.
	Usage []EngineUsage
	// Slow is the slowdown of engines that reported to be slower than their device
	// profile.
	Slow map[model.Incarnation]float64
	// Interconnects are the traffic rates of its streams between failure domains.
	Interconnects []InterconnectRate
	// Suspects are engines suspected to be unresponsive, with the remaining time of the
	// suspicion in milliseconds.
	Suspects map[model.Incarnation]int64
	// Refusing are engines that respond but refuse requests, with the remaining time for
	// which to avoid them in milliseconds.
	Refusing map[model.Incarnation]int64
	// SpareTokens is the number of retry tokens that other routers may borrow, by
	// service.
	SpareTokens map[string]int
	// HasTraffic is set if the router has received requests from callers.
	HasTraffic bool
	// Limits are the rate limits that backend servers advertised to any router.
	Limits map[model.Incarnation]RateLimit
	// Rumors are what this router or others found out about engines lately.
	Rumors []Rumor
	// Leaving are rumors of engines that said that they leave.
	Leaving []Rumor
	// Demands are the use of interconnects by its streams, and what waited or was refused
	// for lack of their capacity, at priorities with demand.
	Demands []ResourceDemand
}

// ResourceDemand is the demand for the interconnect between two failure domains at a
// priority, in Mbit/s.
type ResourceDemand struct {
	A, B     string
	Priority int64
	Used     float64
	Unmet    float64
}

// Rumor is what some router found out about an engine: that it refuses requests, that it is
// slower than its accelerator type, or that it leaves.
type Rumor struct {
	Server model.Incarnation
	// At is when the router found it out. Of two rumors of one kind the later one counts.
	At hlc.Timestamp
	// RemainingMS is for how many milliseconds it is still valid.
	RemainingMS int64
	// Slowdown is the factor, 1 if the engine is no longer slow, or 0 if it refuses requests.
	Slowdown float64
}

// RateLimit is a rate limit of a backend server.
type RateLimit struct {
	// Ended is set if the server advertises a limit no longer.
	Ended bool
	// Rate is in requests per second.
	Rate float64
	// AgeMS is the time since the response that advertised it.
	AgeMS int64
}

// InterconnectRate is the traffic between two failure domains in Mbit/s.
type InterconnectRate struct {
	A, B string
	Rate float64
}

// EngineUsage is the load of a router's streams on one engine.
type EngineUsage struct {
	Server            model.Incarnation
	TokenLayers       int64
	Streams           int64
	FirstStageStreams int64
	// PrefillLoad is the share of the engine's time spent on prefill.
	PrefillLoad float64
}

// Pack encodes the heartbeat as the body of a notification.
func (b *RouterHeartbeat) Pack() []byte {
	p := &packer{}
	p.number(b.IntervalMS)
	p.number(b.Config)
	p.number(b.ConfigAgeMS)
	p.number(int64(b.Revision))
	p.flag(b.HasTraffic)
	p.number(int64(len(b.Usage)))
	for _, u := range b.Usage {
		p.incarnation(u.Server)
		p.number(u.TokenLayers)
		p.number(u.Streams)
		p.number(u.FirstStageStreams)
		p.fraction(u.PrefillLoad)
	}
	p.number(int64(len(b.Interconnects)))
	for _, l := range b.Interconnects {
		p.text(l.A)
		p.text(l.B)
		p.fraction(l.Rate)
	}
	packEach(p, b.Slow, p.incarnation, p.fraction)
	packEach(p, b.Suspects, p.incarnation, p.number)
	packEach(p, b.Refusing, p.incarnation, p.number)
	packEach(p, b.SpareTokens, p.text, func(n int) { p.number(int64(n)) })
	// A list is sent if it or one after it has entries.
	demands := len(b.Demands) > 0
	leaving := len(b.Leaving) > 0 || demands
	rumors := len(b.Rumors) > 0 || leaving
	if len(b.Limits) > 0 || rumors {
		packEach(p, b.Limits, p.incarnation, func(l RateLimit) {
			p.flag(l.Ended)
			p.fraction(l.Rate)
			p.number(l.AgeMS)
		})
	}
	if rumors {
		p.rumors(b.Rumors)
	}
	if leaving {
		p.rumors(b.Leaving)
	}
	if demands {
		p.demands(b.Demands)
	}
	return p.b
}

func (p *packer) demands(demands []ResourceDemand) {
	p.number(int64(len(demands)))
	for _, d := range demands {
		p.text(d.A)
		p.text(d.B)
		p.number(d.Priority)
		p.fraction(d.Used)
		p.fraction(d.Unmet)
	}
}

func (p *packer) rumors(rumors []Rumor) {
	p.number(int64(len(rumors)))
	for _, n := range rumors {
		p.incarnation(n.Server)
		p.number(n.At.Wall)
		p.number(n.At.Logical)
		p.number(n.RemainingMS)
		p.fraction(n.Slowdown)
	}
}

// UnpackRouterHeartbeat decodes the output of Pack. It returns an error if the message
// is truncated.
func UnpackRouterHeartbeat(raw []byte) (RouterHeartbeat, error) {
	u := &unpacker{b: raw}
	b := RouterHeartbeat{
		IntervalMS:  u.number(),
		Config:      u.number(),
		ConfigAgeMS: u.number(),
		Revision:    model.Revision(u.number()),
		HasTraffic:  u.flag(),
	}
	b.Usage = make([]EngineUsage, u.count())
	for i := range b.Usage {
		b.Usage[i] = EngineUsage{Server: u.incarnation(), TokenLayers: u.number(), Streams: u.number(), FirstStageStreams: u.number(), PrefillLoad: u.fraction()}
	}
	b.Interconnects = make([]InterconnectRate, u.count())
	for i := range b.Interconnects {
		b.Interconnects[i] = InterconnectRate{A: u.text(), B: u.text(), Rate: u.fraction()}
	}
	b.Slow = unpackEach(u, u.incarnation, u.fraction)
	b.Suspects = unpackEach(u, u.incarnation, u.number)
	b.Refusing = unpackEach(u, u.incarnation, u.number)
	b.SpareTokens = unpackEach(u, u.text, func() int { return int(u.number()) })
	// Lists at the end are missing in messages of older versions, and if they and all lists after
	// them are empty.
	if len(u.b) > 0 {
		b.Limits = unpackEach(u, u.incarnation, func() RateLimit {
			return RateLimit{Ended: u.flag(), Rate: u.fraction(), AgeMS: u.number()}
		})
	}
	if len(u.b) > 0 {
		b.Rumors = u.rumors()
	}
	if len(u.b) > 0 {
		b.Leaving = u.rumors()
	}
	if len(u.b) > 0 {
		b.Demands = u.demands()
	}
	return b, u.err
}

func (u *unpacker) demands() []ResourceDemand {
	var out []ResourceDemand
	for range u.count() {
		out = append(out, ResourceDemand{A: u.text(), B: u.text(), Priority: u.number(), Used: u.fraction(), Unmet: u.fraction()})
	}
	return out
}

func (u *unpacker) rumors() []Rumor {
	var out []Rumor
	for range u.count() {
		out = append(out, Rumor{
			Server: u.incarnation(), At: hlc.Timestamp{Wall: u.number(), Logical: u.number()},
			RemainingMS: u.number(), Slowdown: u.fraction(),
		})
	}
	return out
}

// packEach encodes a map.
func packEach[K comparable, V any](p *packer, m map[K]V, packKey func(K), packValue func(V)) {
	p.number(int64(len(m)))
	for k, v := range m {
		packKey(k)
		packValue(v)
	}
}

// unpackEach decodes the output of packEach. It returns nil for an empty map.
func unpackEach[K comparable, V any](u *unpacker, unpackKey func() K, unpackValue func() V) map[K]V {
	n := u.count()
	if n == 0 {
		return nil
	}
	out := make(map[K]V, n)
	for range n {
		k := unpackKey()
		out[k] = unpackValue()
	}
	return out
}

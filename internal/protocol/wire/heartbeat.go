package wire

import "github.com/skylarkwood/skylarkwood/internal/model"

// RouterHeartbeat is what a router tells its peers a few times a second.
type RouterHeartbeat struct {
	// IntervalMS is how long until the next message.
	IntervalMS int64
	// Config is the version in force, and ConfigAgeMS how long ago it was known to
	// be the newest.
	Config      int64
	ConfigAgeMS int64
	// Revision is that of the store up to which its picture is complete.
	Revision model.Revision
	// Usage are what its streams take.
	Usage []EngineUsage
	// Slow are engines that said to be slower than their cards, by how much.
	Slow map[model.Incarnation]float64
	// Interconnects is what its streams move between failure domains.
	Interconnects []InterconnectRate
	// Suspects are engines that do not do their work, with the milliseconds
	// for which the suspicion still holds.
	Suspects map[model.Incarnation]int64
	// Refusing are engines that answer but refuse work, with the milliseconds
	// for which they should get none.
	Refusing map[model.Incarnation]int64
	// SpareTokens are repeated sends that it could lend, by service.
	SpareTokens map[string]int
	// HasTraffic says that it has seen callers' requests.
	HasTraffic bool
}

// InterconnectRate is the traffic between two failure domains, in Mbit/s.
type InterconnectRate struct {
	A, B string
	Rate float64
}

// EngineUsage is what a router's streams take of one engine.
type EngineUsage struct {
	Server            model.Incarnation
	TokenLayers       int64
	Streams           int64
	FirstStageStreams int64
	// PrefillLoad is the share of the engine's time that goes into reading prompts.
	PrefillLoad float64
}

// Pack writes the message for Notice.
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
	return p.b
}

// UnpackRouterHeartbeat reads what Pack wrote; an error says that it is cut short.
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
	return b, u.err
}

// packEach writes figures by what they are of.
func packEach[K comparable, V any](p *packer, figures map[K]V, of func(K), write func(V)) {
	p.number(int64(len(figures)))
	for k, v := range figures {
		of(k)
		write(v)
	}
}

// unpackEach reads what packEach wrote; nil if it is empty.
func unpackEach[K comparable, V any](u *unpacker, of func() K, read func() V) map[K]V {
	n := u.count()
	if n == 0 {
		return nil
	}
	out := make(map[K]V, n)
	for range n {
		k := of()
		out[k] = read()
	}
	return out
}

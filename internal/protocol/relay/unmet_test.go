package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
)

// exhaustInterconnect makes the stream's request one of urgency 3 of a prioritized service, and
// the interconnect of domains a and b exhausted for it. It returns the request's traffic in Mbit.
func exhaustInterconnect(s *stream) (mbit float64) {
	spec := s.admitted.Service.Engine
	spec.ActivationBytes, spec.InterconnectMbps, spec.MeanPromptTokens = 40000, 100, 100
	s.admitted.Urgency, s.admitted.Prioritized = 3, true
	interconnect := s.Chooser.Interconnect
	interconnect.SetPeerRates("peer", map[chains.DomainPair]float64{{A: "a", B: "b"}: 1000}, time.Minute)
	s.Chooser.RouterCount = func() int { return 2 }
	mbit = chains.CrossDomainMbit(spec, 100)
	// A request that was served leaves no credit for the next ones.
	interconnect.RecordUnmet("a", "b", 3, 0)
	interconnect.AddSharedTraffic("a", "b", 3, mbit)
	return mbit
}

// A request that is refused for lack of the interconnect must count as unmet demand, and once
// a second however often it asks. Otherwise waiting requests take the shares of others.
func TestUnmetDemandIsRecordedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		holder.FailureDomain = "b"
		s.Catalog.Put(holder)
		one := exhaustInterconnect(s)
		unmet := func() float64 {
			_, _, f := s.reserveChain(t.Context())
			assert.Assert(t, f != nil)
			return s.Chooser.Interconnect.Demands()[0].Unmet
		}
		assert.Equal(t, unmet(), one)
		assert.Equal(t, unmet(), one)
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, unmet(), one)
		assert.Equal(t, s.Chooser.Interconnect.Demands()[0].Priority, 3)
	})
}

// The engine of the own failure domain is full, and the one of another domain can only be reached
// over an exhausted interconnect. The refusal names the interconnect, so it must count as unmet
// demand there. Otherwise less urgent requests of other routers leave it no capacity.
func TestUnmetDemandIsRecordedIfOnlyOneChainLacksTheInterconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder := newIncompleteStream()
		s.Catalog.Put(holder)
		full := chains.Stage{Server: &holder, Layers: holder.Holds}
		defer s.Usage.Reserve([]chains.Stage{full}, 1<<20).Release()
		remote := holder
		remote.ID, remote.Address, remote.FailureDomain = "remote", "remote:1", "b"
		s.Catalog.Put(remote)
		exhaustInterconnect(s)
		_, _, f := s.reserveChain(t.Context())
		assert.Assert(t, f != nil)
		assert.Assert(t, s.Chooser.Interconnect.Demands()[0].Unmet > 0, "%v", f)
	})
}

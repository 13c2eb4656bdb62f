package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
)

// shortageReason is the reason why no chain could be reserved for a request. The log and the
// metric use it, and the error message follows it.
type shortageReason string

const (
	// noChainReason means that no usable engine holds some layer.
	noChainReason      shortageReason = "no_chain"
	interconnectReason shortageReason = "interconnect"
	memoryReason       shortageReason = "token_memory"
	slotsReason        shortageReason = "slots"
	// withheldReason means rate limits or pauses of engines.
	withheldReason shortageReason = "rate_limits"
	// aheadReason means that there is capacity again, but other requests go first.
	aheadReason shortageReason = "requests_ahead"
)

// shortage describes why no chain could be reserved.
type shortage struct {
	reason shortageReason
	// detail names the resource in the error message.
	detail string
	// since is when this router first met the shortage.
	since time.Time
}

// findShortage returns what the last choice of a chain lacked, and records it.
func (c *chainSearch) findShortage() shortage {
	found := shortage{}
	switch c.result {
	case chains.NoChain:
		found.reason = noChainReason
	case chains.InterconnectExhausted:
		found.reason, found.detail = interconnectReason, "interconnect"
	case chains.Withheld:
		found.reason = withheldReason
	default: // with Found, others went first until the wait ended
		found.detail = c.Chooser.ExhaustedResource(c.admitted.Service, c.requirements)
		found.reason = capacityReason(found.detail)
	}
	found.since = c.Shortages.Record(c.Now(), c.admitted.Service.Name, string(found.reason))
	return found
}

// capacityReason returns the reason for a resource that Chooser.ExhaustedResource names.
func capacityReason(resource string) shortageReason {
	switch resource {
	case "pipes":
		return interconnectReason
	case "slots":
		return slotsReason
	case "rate limits or pauses":
		return withheldReason
	case "token memory":
		return memoryReason
	}
	return aheadReason
}

// refusal returns the error for a request that no chain could be reserved for, and reports it.
func (c *chainSearch) refusal() *fault.Error {
	found := c.findShortage()
	if found.reason == interconnectReason {
		c.recordUnmet()
	}
	var f *fault.Error
	switch {
	case c.result == chains.Withheld:
		f = c.withheldError(c.Chooser.WithheldWait(c.admitted.Service, c.requirements))
	case c.endsAsNoChain():
		f = c.noChainError(found)
	default:
		f = fault.New(fault.Overloaded, "no chain has capacity: %d requests waiting, waited %v, admitted %t, exhausted resource: %s, for %v",
			c.WaitQueue.Len(), c.waitTime, c.admittedOnce, found.detail, c.Now().Sub(found.since))
		if c.line != nil && c.runs == 0 { // otherwise it ends without a Retry-After
			f.RetryAfter = c.returnDelay(found.since)
		}
	}
	c.reportRefusal(found, f)
	return f
}

// reportRefusal logs and counts a refusal, once for each request.
func (c *chainSearch) reportRefusal(found shortage, f *fault.Error) {
	if c.capacityRefusalRecorded {
		return
	}
	c.capacityRefusalRecorded = true
	c.Observer.CapacityRefused(c.admitted.Service.Name, string(found.reason), c.admitted.Urgency)
	klog.InfoS("request refused for lack of capacity", "request", c.call.Attempt, "resource", found.reason, "sinceMs", c.Now().Sub(found.since).Milliseconds(),
		"urgency", c.admitted.Urgency, "waitedMs", c.waitTime.Milliseconds(), "limitMs", c.waitLimit.Milliseconds(), "forecast", c.forecast.String(), "retryAfterMs", f.RetryDelay().Milliseconds())
}

func (c *chainSearch) noChainError(found shortage) *fault.Error {
	f := fault.New(fault.NoCapacity, "no chain of available engines holds all layers: %s; for %v", c.Chooser.ExplainNoChain(c.admitted.Service, c.requirements), c.Now().Sub(found.since))
	if _, paused := c.Chooser.WithheldWait(c.admitted.Service, c.requirements); paused > f.RetryDelay() {
		f.RetryAfter = limits.Jitter(paused)
	}
	return f
}

// endsAsNoChain reports whether the request is refused because the usable engines form no chain.
// Without a line, an exhausted interconnect counts as that.
func (c *chainSearch) endsAsNoChain() bool {
	return c.result == chains.NoChain || c.result == chains.InterconnectExhausted && c.line == nil
}

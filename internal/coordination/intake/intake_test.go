package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
)

// instance is a model of an instance in virtual time. Each request is read and then forwards
// events, as an engine makes them, until it is served. Reading, forwarding and probes take their
// turns at the processor, in the order in which they become ready.
type instance struct {
	gate    *Gate[int]
	monitor *processor.Monitor
	admit   func(c int) Decisions[int]
	now     time.Duration

	capacity int // units of work per second
	// quota is the part of each quotaPeriod in which the instance runs, at a speed that gives
	// its capacity.
	quota  float64
	events int // of each request

	ready []func() // work of one unit each, in order
	later map[time.Duration][]func()
	work  float64

	counts   *counts // of the connections that arrive now
	deadline time.Duration
}

// counts are what became of the connections of a span of time.
type counts struct{ refused, read, served int }

const (
	step          = time.Millisecond
	quotaPeriod   = 100 * time.Millisecond
	eventInterval = 10 * time.Millisecond
	requestWork   = 10 // units to read a request
)

// newInstance returns an instance that can serve the given number of requests per second.
func newInstance(requests, events int, quota float64) *instance {
	n := &instance{capacity: requests * (requestWork + events), events: events, quota: quota, later: map[time.Duration][]func(){}}
	n.deadline = 2*time.Second + time.Duration(events)*eventInterval
	n.monitor = processor.New(func() time.Duration { return n.now })
	n.gate = New[int](n.monitor, n.monitor.Now)
	n.admit = n.gate.Arrive
	n.counts = &counts{}
	n.startProbe(0)
	return n
}

func (n *instance) schedule(after time.Duration, f func()) {
	at := n.now + max(after, step)
	n.later[at] = append(n.later[at], f)
}

// startProbe makes a probe that is due now, and the next one after it.
func (n *instance) startProbe(due time.Duration) {
	n.monitor.Begin(due)
	n.ready = append(n.ready, func() {
		pause := time.Duration(0)
		onTime := n.monitor.End()
		d, again := n.gate.Advance()
		n.apply(d)
		if onTime && !again {
			pause = processor.ProbeInterval
		}
		due := n.now + pause
		n.schedule(pause, func() { n.startProbe(due) })
	})
}

func (n *instance) apply(d Decisions[int]) {
	c := n.counts
	c.refused += len(d.Refused)
	for range d.Admitted {
		c.read++
		began := n.now
		n.after(requestWork, func() { n.forward(c, began) })
	}
}

// after calls f once the given units of work are done.
func (n *instance) after(units int, f func()) {
	if units == 0 {
		f()
		return
	}
	n.ready = append(n.ready, func() { n.after(units-1, f) })
}

// forward forwards the events of a request as its engine makes them, whether or not the earlier ones
// have been forwarded.
func (n *instance) forward(c *counts, began time.Duration) {
	if n.events == 0 {
		n.finish(c, began)
		return
	}
	for event := 1; event <= n.events; event++ {
		n.schedule(time.Duration(event)*eventInterval, func() {
			n.ready = append(n.ready, func() {
				if event == n.events {
					n.finish(c, began)
				}
			})
		})
	}
}

func (n *instance) finish(c *counts, began time.Duration) {
	if n.now-began <= n.deadline {
		c.served++
	}
	n.apply(n.gate.End())
}

// run offers new connections at a rate. What becomes of them is counted in the result, also later.
func (n *instance) run(d time.Duration, perSecond int) *counts {
	n.counts = &counts{}
	offered := 0.0
	for end := n.now + d; n.now < end; n.now += step {
		for _, f := range n.later[n.now] {
			f()
		}
		delete(n.later, n.now)
		offered += float64(perSecond) * step.Seconds()
		if float64(n.now%quotaPeriod) >= n.quota*float64(quotaPeriod) {
			continue // stopped: neither accepts nor works
		}
		for ; offered >= 1; offered-- {
			n.apply(n.admit(0))
		}
		n.work += float64(n.capacity) * step.Seconds() / n.quota
		for ; n.work >= 1 && len(n.ready) > 0; n.work-- {
			f := n.ready[0]
			n.ready = n.ready[1:]
			f()
		}
		if len(n.ready) == 0 {
			n.work = min(n.work, 1)
		}
	}
	return n.counts
}

// suspend lets time pass in which the instance does not run.
func (n *instance) suspend(d time.Duration) {
	n.now += d
	for at, fs := range n.later {
		if at < n.now {
			n.later[n.now] = append(n.later[n.now], fs...)
			delete(n.later, at)
		}
	}
}

var models = []struct {
	name             string
	requests, events int
	quota            float64
}{
	{"share, no events", 50, 0, 1}, {"share, fast, no events", 3000, 0, 1}, {"share, streams", 40, 50, 1}, {"share, long streams", 100, 200, 1},
	{"quota, no events", 50, 0, 0.1}, {"quota, streams", 40, 50, 0.1}, {"quota, long streams", 100, 200, 0.3}, {"quota, slow", 12, 20, 0.03},
}

// The balancer hands most new connections to one instance. Guards against reading all of them and
// serving none in time. The second instance, which gets them once the first is out, must stand
// too.
func TestCrowdedInstanceServesWhatItReads(t *testing.T) {
	for _, c := range models {
		t.Run(c.name, func(t *testing.T) {
			n := newInstance(c.requests, c.events, c.quota)
			for range 2 {
				calm := n.run(4*time.Second, c.requests/2)
				assert.Equal(t, calm.refused, 0, "a calm instance refuses none")
				assert.Assert(t, calm.read >= 4*(c.requests/2)-c.requests/4, "%d connections admitted", calm.read)
				n.run(3*time.Second, 5*c.requests)
				crowded := n.run(8*time.Second, 5*c.requests)
				n.run(6*time.Second, c.requests/2)
				assert.Assert(t, 10*crowded.served >= 9*crowded.read, "%d of %d", crowded.served, crowded.read)
				assert.Assert(t, crowded.served >= 8*c.requests/2, "only %d served in 8 s", crowded.served)
				after := n.run(3*time.Second, c.requests/2)
				assert.Equal(t, after.refused, 0, "none is refused once the crowd has left")
				assert.Assert(t, !n.gate.Limited())
			}
		})
	}
}

// Guards against a model that does not show the failure.
func TestCrowdedInstanceWithoutLimitServesFew(t *testing.T) {
	for _, c := range models {
		n := newInstance(c.requests, c.events, c.quota)
		n.admit = func(c int) Decisions[int] { return Decisions[int]{Admitted: []int{c}} }
		n.run(3*time.Second, 5*c.requests)
		crowded := n.run(8*time.Second, 5*c.requests)
		n.run(6*time.Second, c.requests/2)
		assert.Assert(t, 4*crowded.served < 3*crowded.read, "%s: %d of %d", c.name, crowded.served, crowded.read)
	}
}

// Guards against refusing connections of an instance that has time for all of them, close to its
// capacity and at its quota of processor time.
func TestBusyInstanceAdmitsConnections(t *testing.T) {
	for _, c := range models {
		n := newInstance(c.requests, c.events, c.quota)
		busy := n.run(20*time.Second, c.requests*8/10)
		assert.Equal(t, busy.refused, 0, c.name)
		assert.Assert(t, busy.read >= 19*(c.requests*8/10), "%s: %d", c.name, busy.read)
	}
}

// An instance is suspended for seconds, again and again. Guards against refusing what has arrived
// meanwhile although it has time for it.
func TestSuspendedInstanceAdmitsConnections(t *testing.T) {
	n := newInstance(400, 10, 1)
	for range 5 {
		n.run(4*time.Second, 100)
		n.suspend(3 * time.Second)
		for range 100 {
			n.apply(n.admit(0))
		}
		assert.Equal(t, n.counts.refused, 0)
	}
	assert.Assert(t, !n.gate.Limited())
}

// A crowded instance is suspended for two seconds. Guards against reading all that has arrived
// meanwhile before the delay that it causes shows.
func TestBacklogAfterASuspensionIsReadInSteps(t *testing.T) {
	n := newInstance(40, 50, 1)
	n.run(4*time.Second, 20)
	n.suspend(2 * time.Second)
	backlog := n.run(0, 0)
	for range 400 {
		n.apply(n.admit(0))
	}
	later := n.run(6*time.Second, 0)
	read := backlog.read + later.read
	assert.Assert(t, read > 0 && read <= 100, "%d of 400 were read", read)
	assert.Equal(t, read+backlog.refused+later.refused, 400)
}

// Requests on open connections use up the processor. Guards against a limit that new connections
// are measured by and open ones are not.
func TestRequestsOnOpenConnectionsCount(t *testing.T) {
	n := newInstance(40, 50, 1)
	n.run(3*time.Second, 200)
	assert.Assert(t, n.gate.Limited())
	limit := int(n.gate.limit)
	for range 2 * limit {
		n.gate.Begin()
	}
	assert.Assert(t, n.gate.Exceeded())
	assert.Equal(t, n.run(100*time.Millisecond, 200).read, 0)
	for range 2 * limit {
		n.apply(n.gate.End())
	}
	assert.Assert(t, !n.gate.Exceeded())
}

// Probes of the processor cannot be made. Guards against an instance that then admits no connection.
func TestInstanceWithoutProbesAdmitsConnections(t *testing.T) {
	n := newInstance(400, 0, 1)
	n.monitor.Stop()
	n.ready, n.later = nil, map[time.Duration][]func(){}
	calm := n.run(10*time.Second, 100)
	assert.Equal(t, calm.refused, 0)
	assert.Assert(t, calm.read >= 990, "%d of 1000", calm.read)
}

// An instance is stopped while connections wait. Guards against connections that wait forever, and
// against a crowded instance that reads what it has no time for.
func TestStopDecidesOnWaitingConnections(t *testing.T) {
	for _, crowded := range []bool{false, true} {
		n := newInstance(40, 50, 1)
		if crowded {
			n.run(3*time.Second, 200)
		}
		n.suspend(time.Second)
		for range 3 {
			n.apply(n.gate.Arrive(0))
		}
		waiting := len(n.gate.waiting)
		assert.Assert(t, waiting >= 3)
		d := n.gate.Close()
		if crowded {
			assert.Equal(t, len(d.Refused), waiting)
		} else {
			assert.Equal(t, len(d.Admitted), waiting)
		}
		assert.Equal(t, len(n.gate.waiting), 0)
	}
}

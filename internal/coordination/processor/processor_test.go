package processor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// process is a process whose probes take as long as its backlog, in virtual time.
type process struct {
	*Monitor
	now time.Duration
}

func newProcess() *process {
	p := &process{}
	p.Monitor = New(func() time.Duration { return p.now })
	return p
}

// probe makes one probe that takes the given time.
func (p *process) probe(delay time.Duration) {
	p.Begin(p.now)
	p.now += delay
	p.End()
}

// A process is stopped for seconds. Guards against taking that for a lasting lack of processor
// time.
func TestOneStopIsNoStandingDelay(t *testing.T) {
	p := newProcess()
	p.probe(0)
	p.Begin(p.now)
	p.now += 3 * time.Second
	assert.Assert(t, p.Late())
	assert.Equal(t, p.Standing(), time.Duration(0))
	p.now += 5 * time.Millisecond
	assert.Equal(t, p.Standing(), 5*time.Millisecond)
	p.End()
	assert.Assert(t, p.Late())
	p.probe(time.Millisecond)
	p.now += ProbeInterval
	assert.Equal(t, p.Standing(), time.Duration(0))
	assert.Assert(t, !p.Late())
}

// A process is stopped in each period once its quota is used up, and has no work left in between.
// Guards against taking that for a lasting lack of processor time.
func TestQuotaWithoutBacklogIsNoStandingDelay(t *testing.T) {
	p := newProcess()
	for range 100 {
		p.probe(90 * time.Millisecond)
		assert.Equal(t, p.Standing(), time.Duration(0))
		p.probe(time.Millisecond)
		assert.Assert(t, !p.Late())
		p.now += 9 * time.Millisecond
	}
}

// Work remains in each period of a quota. Guards against a signal that a window without a sample
// ends.
func TestBacklogIsAStandingDelay(t *testing.T) {
	p := newProcess()
	for n := range 10 {
		p.probe(100 * time.Millisecond)
		assert.Equal(t, p.Standing(), time.Duration(n)*100*time.Millisecond)
	}
	p.now += 50 * time.Millisecond // no probe begins
	assert.Equal(t, p.Standing(), 950*time.Millisecond)
}

// A probe is in progress for long while the process runs. Guards against noticing a delay only once a
// probe has ended.
func TestProbeInProgressShowsAStandingDelay(t *testing.T) {
	p := newProcess()
	p.Begin(p.now)
	p.now += 30 * time.Millisecond
	assert.Assert(t, p.Late())
	p.now += time.Second
	assert.Equal(t, p.Standing(), time.Second)
}

// A process is stopped between two probes and handles another event before the next one. Guards against
// taking it for one that keeps up.
func TestMissingProbeIsLate(t *testing.T) {
	p := newProcess()
	p.probe(0)
	p.now += ProbeInterval
	assert.Assert(t, !p.Late())
	p.now += 2 * time.Second
	assert.Assert(t, p.Late())
	assert.Equal(t, p.Waited(), 2*time.Second-tolerance)
	p.Stop()
	assert.Assert(t, !p.Late())
}

// Guards against counting only what has ended: the process may be asked while it waits.
func TestWaitedIncludesTheProbeInProgress(t *testing.T) {
	p := newProcess()
	p.probe(105 * time.Millisecond)
	p.Begin(p.now)
	p.now += 205 * time.Millisecond
	assert.Equal(t, p.Waited(), 300*time.Millisecond)
	assert.Assert(t, p.Late())
}

// A process waits for the processor while a timeout runs. Guards against blaming others for its own
// delay, and against never giving up.
func TestTimeoutLeavesOutTheWaitForTheProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		m := New(func() time.Duration { return time.Since(started) })
		ctx, cancel := m.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		m.Begin(0)
		time.Sleep(405 * time.Millisecond)
		assert.NilError(t, ctx.Err())
		m.End() // waited for 400 ms
		m.Stop()
		time.Sleep(90 * time.Millisecond)
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, context.Cause(ctx), context.DeadlineExceeded)

		ctx, cancel = m.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		m.Begin(time.Since(started))
		time.Sleep(maxWaitFactor*100*time.Millisecond + 200*time.Millisecond)
		assert.Equal(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// Guards against a call after Stop by a timer that is put off.
func TestStoppedTimerDoesNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		m := New(func() time.Duration { return time.Since(started) })
		timer := m.AfterFunc(50*time.Millisecond, func() { t.Error("called") })
		m.Begin(0)
		time.Sleep(80 * time.Millisecond)
		timer.Stop()
		time.Sleep(time.Second)
	})
}

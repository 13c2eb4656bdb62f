// Package soak runs random schedules of failures in virtual time and compares what
// callers were told with what the backends executed.
package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

var (
	seedFlag     = flag.Uint64("seed", 0, "first seed; 0 starts at seed 1")
	runsFlag     = flag.Int("runs", 3, "number of seeds")
	durationFlag = flag.Duration("virtual", 2*time.Minute, "virtual duration of each run under failures")
)

const (
	layers          = 9
	layersPerEngine = 3
	replicas        = 3
	prompt          = "check the basin before the shift "
	settleTime      = 90 * time.Second // longer than any deadline
	maxTokens       = 40
	promptParts     = 6
)

// callerResult is the result of one submission as its caller got it.
type callerResult struct {
	key           model.RequestKey
	service       string
	notRepeatable bool
	outcome       model.Outcome
	answer        []byte
	entry         string
}

// resultLog collects the results of all submissions.
type resultLog struct {
	mu           sync.Mutex
	all          []callerResult
	disconnected int // callers whose entry was killed before the outcome
	rejected     int // submissions rejected before acceptance
}

// Guards against incomplete, false or repeated outcomes while entries, sidecars, links and the
// store fail at random.
func TestSoak(t *testing.T) {
	first := *seedFlag
	if first == 0 {
		first = 1
	}
	for seed := first; seed < first+uint64(*runsFlag); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soak(t, seed) })
		})
	}
}

func soak(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w := newWorld(ctx, t, seed)
	time.Sleep(2*world.Heartbeat + gate.MinIncarnationLead)
	rec := &resultLog{}
	var callers sync.WaitGroup
	end := time.Now().Add(*durationFlag)
	var failures sync.WaitGroup
	failures.Go(func() { injectFailures(w, rand.New(rand.NewPCG(seed, 3)), end) })
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		kind, at, pause, shortTimeout := rnd.IntN(4), rnd.IntN(3), resendPause(rnd), rnd.IntN(2) == 0
		callers.Go(func() { call(w, rec, n, kind, at, pause, shortTimeout) })
	}
	failures.Wait()
	callers.Wait()
	time.Sleep(settleTime)
	rec.check(t, w)
	stop()
	w.Close()
	time.Sleep(settleTime) // lets pending deadlines expire
}

// newWorld creates three entries, three engines per range of layers and three plain
// services.
func newWorld(ctx context.Context, t *testing.T, seed uint64) *world.World {
	cfg := world.Config{
		Seed:    seed,
		Layers:  layers,
		Entries: []string{"a", "b", "c"},
		Link:    func(_, _ string) world.Link { return world.Link{Delay: time.Millisecond} },
	}
	for i := 0; i < replicas*layers/layersPerEngine; i++ {
		from := i % (layers / layersPerEngine) * layersPerEngine
		cfg.Engines = append(cfg.Engines, world.EngineSpec{
			Range:    model.LayerRange{From: from, To: from + layersPerEngine},
			StepTime: time.Millisecond,
			MaxBatch: 64,
			Sessions: 16,
		})
	}
	for i := 0; i < replicas; i++ {
		cfg.Plains = append(cfg.Plains, world.PlainSpec{CallDuration: 30 * time.Millisecond, Slots: 16})
	}
	w, err := world.New(ctx, cfg)
	assert.NilError(t, err)
	return w
}

// resendPause returns how long a caller waits before it resends a notice: up to 3 s,
// or up to 60 s, which may exceed its deadline.
func resendPause(rnd *rand.Rand) time.Duration {
	const short, long = 3 * time.Second, 60 * time.Second
	if rnd.IntN(2) == 0 {
		return time.Duration(rnd.Int64N(int64(short)))
	}
	return time.Duration(rnd.Int64N(int64(long)))
}

// call is one caller. It submits a sheet, a plain call, or a non-repeatable notice,
// which it submits twice, through two entries.
func call(w *world.World, rec *resultLog, n, kind, at int, pause time.Duration, shortTimeout bool) {
	submission := owner.Submission{Customer: world.Customer, ID: daemon.NewID(), Service: world.Notices, Body: fmt.Appendf(nil, "body %d", n)}
	switch kind {
	case 0, 1:
		submission.Service = world.Sheets
		submission.Body = []byte(prompt)
		submission.MaxTokens = maxTokens
		submit(w, rec, submission, at)
	case 2:
		submit(w, rec, submission, at)
	default:
		submission.NotRepeatable = true
		if shortTimeout {
			submission.Timeout = time.Second
		}
		var both sync.WaitGroup
		both.Go(func() { submit(w, rec, submission, at) })
		time.Sleep(pause)
		both.Go(func() { submit(w, rec, submission, at+1) })
		both.Wait()
	}
}

func submit(w *world.World, rec *resultLog, submission owner.Submission, at int) {
	e := w.Entry(at)
	req, err := e.Owner.Submit(submission)
	if err != nil {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.rejected++
		return
	}
	var answer []byte
	for pos := int64(0); ; {
		parts, outcome, err := req.Next(e.Context, pos)
		if err != nil {
			rec.mu.Lock()
			defer rec.mu.Unlock()
			rec.disconnected++
			return
		}
		if outcome.Final() {
			rec.mu.Lock()
			defer rec.mu.Unlock()
			rec.all = append(rec.all, callerResult{req.Key, submission.Service, submission.NotRepeatable, outcome, answer, e.Addr})
			return
		}
		answer = append(answer, bytes.Join(parts, nil)...)
		pos += int64(len(parts))
	}
}

// injectFailures injects random failures until end, then clears them.
func injectFailures(w *world.World, rnd *rand.Rand, end time.Time) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		u := w.Sidecars[rnd.IntN(len(w.Sidecars))]
		other := w.Sidecars[rnd.IntN(len(w.Sidecars))]
		for both := rnd.IntN(2); both >= 0; both-- {
			injectFailure(w, &stops, rnd, n, u, other)
		}
	}
	w.KV.SetFaults(standin.KVFaults{})
	w.Net.SetLoss(0)
	for _, a := range w.Addresses() {
		for _, b := range w.Addresses() {
			w.Net.SetPartitioned(a, b, false)
		}
	}
}

func injectFailure(w *world.World, stops *sync.WaitGroup, rnd *rand.Rand, n int, u, other *world.Sidecar) {
	d := time.Duration(rnd.IntN(8000)) * time.Millisecond
	e := w.Entry(rnd.IntN(3))
	switch rnd.IntN(9) {
	case 0:
		w.KillSidecar(u)
	case 1:
		w.KillEntry(rnd.IntN(3), fmt.Sprintf("entry-%d-%d", n, rnd.IntN(1<<30)))
	case 2:
		w.Net.Suspend(u.Addr, d)
	case 3:
		w.Net.Suspend(e.Addr, d)
	case 4:
		w.Net.SetPartitioned(u.Addr, other.Addr, true)
		time.AfterFunc(d, func() { w.Net.SetPartitioned(u.Addr, other.Addr, false) })
	case 5:
		w.Net.SetPartitioned(e.Addr, u.Addr, true)
		time.AfterFunc(d, func() { w.Net.SetPartitioned(e.Addr, u.Addr, false) })
	case 6:
		w.Net.SetLoss(20 + rnd.IntN(100))
		time.AfterFunc(d, func() { w.Net.SetLoss(0) })
	case 7:
		w.KV.SetFaults(standin.KVFaults{
			Outage:      rnd.IntN(2) == 0,
			Delay:       time.Duration(rnd.IntN(300)) * time.Millisecond,
			LoseAnswers: rnd.IntN(5),
		})
		time.AfterFunc(d, func() { w.KV.SetFaults(standin.KVFaults{}) })
	case 8: // planned stop: drain, then replace
		g := u.Gate()
		stops.Go(func() {
			<-g.Drain()
			if u.Gate() == g {
				w.KillSidecar(u)
			}
		})
	}
}

// executions returns the backends' own count of executions of a request: positions at
// engines, calls at plain services.
func executions(w *world.World, key model.RequestKey) int64 {
	n := int64(0)
	for _, u := range w.Sidecars {
		if u.Engine != nil {
			n += u.Engine.PositionsRun(key.String() + "#")
		} else {
			n += int64(u.Plain.Count(key.String()))
		}
	}
	return n
}

func (r *resultLog) check(t *testing.T, w *world.World) {
	in := bytes.SplitAfter([]byte(prompt), []byte(" "))
	want := bytes.Join(standin.ReferenceOutput(in[:promptParts], layers, maxTokens), nil)
	counts := map[model.State]int{}
	for _, c := range r.all {
		n := executions(w, c.key)
		counts[c.outcome.State]++
		switch c.outcome.State {
		case model.Ran:
			assert.Check(t, n > 0, "%v: outcome is ran but nothing was executed: %+v", c.key, c.outcome)
			if c.service == world.Sheets {
				assert.Check(t, bytes.Equal(c.answer, want), "%v: answer is incomplete or wrong", c.key)
			}
		case model.NotRun:
			assert.Check(t, n == 0, "%v: outcome is not run at %s but %d executions were counted: %+v", c.key, c.entry, n, c.outcome)
		case model.CutOff:
		default:
			t.Errorf("%v: outcome %q is not final", c.key, c.outcome.State)
		}
		if c.notRepeatable {
			assert.Check(t, n <= 1, "%v: not repeatable but ran %d times", c.key, n)
		}
	}
	t.Logf("results %d: ran %d, not run %d, cut off %d; entry killed %d; rejected %d; messages %d; store calls %+v",
		len(r.all), counts[model.Ran], counts[model.NotRun], counts[model.CutOff], r.disconnected, r.rejected, w.Net.Sent(), w.KV.Calls())
	assert.Check(t, counts[model.Ran] > len(r.all)/2, "at most half of the requests ran")
}

package bench

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

var (
	warmFlag    = flag.Duration("warm", time.Second, "virtual time before the measurement")
	measureFlag = flag.Duration("measure", 3*time.Second, "virtual time of the measurement")
	debugFlag   = flag.Bool("debug", false, "print the usage of each engine group and link")
	loadsFlag   = flag.String("loads", "0.5", "offered loads as fractions of the bound, separated by spaces")
)

// deadline is far above the time that a request takes without load.
const deadline = 30 * time.Second

// settleTime lets all instances discover each other.
const settleTime = 2 * world.Heartbeat

// measurements holds what one run measured between from and end. Histograms are in
// microseconds.
type measurements struct {
	mu              sync.Mutex
	tokens          int64 // delivered between from and end
	first           *hdrhistogram.Histogram
	interTokenDelay *hdrhistogram.Histogram
	outcomes        map[string]int
	from, end       time.Time
}

func newMeasurements(from, end time.Time) *measurements {
	const maxMicroseconds = int64(time.Hour / time.Microsecond)
	return &measurements{
		first:           hdrhistogram.New(1, maxMicroseconds, 3),
		interTokenDelay: hdrhistogram.New(1, maxMicroseconds, 3),
		outcomes:        map[string]int{},
		from:            from,
		end:             end,
	}
}

func (t *measurements) token(at time.Time, n int, since time.Duration, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.from) || at.After(t.end) {
		return
	}
	t.tokens += int64(n)
	h := t.interTokenDelay
	if first {
		h = t.first
	}
	_ = h.RecordValue(max(since.Microseconds()/int64(n), 1))
}

// outcome counts a request that was sent at or after from.
func (t *measurements) outcome(began time.Time, o model.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began.Before(t.from) {
		return
	}
	t.outcomes[strings.TrimSpace(string(o.State)+" "+o.Kind)]++
}

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// sheet is one caller, who reads the answer as a stream.
func sheet(w *world.World, entry int, customer string, t *measurements) {
	body := bytes.Repeat([]byte("word "), promptParts)
	began := time.Now()
	e := w.Entry(entry)
	req, err := e.Owner.Submit(owner.Submission{
		Customer:  customer,
		ID:        daemon.NewID(),
		Service:   world.Sheets,
		Body:      body[:len(body)-1],
		MaxTokens: tokensWanted,
		Timeout:   deadline,
	})
	if err != nil {
		t.outcome(began, model.Outcome{State: model.NotRun})
		return
	}
	last := began
	for pos := int64(0); ; {
		parts, o, err := req.Next(e.Context, pos)
		if err != nil {
			return
		}
		if o.Final() {
			t.outcome(began, o)
			return
		}
		now := time.Now()
		t.token(now, len(parts), now.Sub(last), pos == 0)
		last = now
		pos += int64(len(parts))
	}
}

// arrivals starts callers in an open loop, as a Poisson process.
func arrivals(w *world.World, customer string, requestsPerSecond float64, rnd *rand.Rand, end time.Time, t *measurements) {
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		callers.Go(func() { sheet(w, n%len(failureDomains), customer, t) })
	}
	callers.Wait()
}

func measure(t *testing.T, p policy, load float64) (*measurements, float64) {
	specs := engines()
	maxRate := bound(specs)
	var out *measurements
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w, err := world.New(ctx, world.Config{
			Seed:    1,
			Layers:  layers,
			Entries: failureDomains,
			Engines: specs,
			Link:    linkBetween,
			Router:  p.router,
		})
		assert.NilError(t, err)
		time.Sleep(settleTime)
		from := time.Now().Add(*warmFlag)
		if *debugFlag {
			go logUsage(t, w, p, from)
		}
		out = newMeasurements(from, from.Add(*measureFlag))
		arrivals(w, world.Customer, load*maxRate/positions, rand.New(rand.NewPCG(1, 1)), out.end, out)
		stop()
		w.Close()
		time.Sleep(time.Minute)
	})
	tokens := float64(out.tokens) / measureFlag.Seconds()
	return out, tokens / (maxRate * tokensWanted / positions)
}

// TestThroughput prints, for each policy and offered load, the delivered tokens per
// second as a fraction of the bound, and latencies. It checks that the production
// policy delivers at least 0.99 times the tokens of the random one. The figures in
// docs/design are taken with
//
//	go test ./bench -v -run Throughput -args -loads "0.5 0.9 1.3 3" -warm 6s -measure 8s
func TestThroughput(t *testing.T) {
	t.Logf("bound %.0f positions/s, %.0f tokens/s, %.1f requests/s",
		bound(engines()), bound(engines())*tokensWanted/positions, bound(engines())/positions)
	for _, load := range parseLoads(t) {
		t.Run(fmt.Sprintf("load-%.2f", load), func(t *testing.T) { compare(t, load) })
	}
}

// compare runs every policy in a world of its own.
func compare(t *testing.T, load float64) {
	all := policies()
	ratio := make([]float64, len(all))
	t.Run("policies", func(t *testing.T) {
		for i, p := range all {
			t.Run(p.name, func(t *testing.T) {
				t.Parallel()
				got, r := measure(t, p, load)
				ratio[i] = r
				t.Logf("load %.2f %-12s %.3f of the bound; first token p50 %.0f p95 %.0f ms; between tokens p95 %.0f ms; %v",
					load, p.name, r, ms(got.first, 50), ms(got.first, 95), ms(got.interTokenDelay, 95), got.outcomes)
			})
		}
	})
	assert.Assert(t, ratio[len(all)-1] >= ratio[0]*0.99, "the production policy is worse than the random one")
}

func parseLoads(t *testing.T) []float64 {
	var out []float64
	for _, s := range bytes.Fields([]byte(*loadsFlag)) {
		var f float64
		_, err := fmt.Sscan(string(s), &f)
		assert.NilError(t, err)
		out = append(out, f)
	}
	return out
}

// logUsage prints the usage of engine groups and links during the measurement.
func logUsage(t *testing.T, w *world.World, p policy, from time.Time) {
	time.Sleep(time.Until(from))
	runs := func() []int64 {
		var out []int64
		for _, u := range w.Sidecars {
			out = append(out, u.Engine.PositionsRun(""))
		}
		return out
	}
	before, links := runs(), w.Net.PositionsCarried()
	time.Sleep(*measureFlag)
	after, links2 := runs(), w.Net.PositionsCarried()
	used, rate := map[string]float64{}, map[string]float64{}
	for i, u := range w.Sidecars {
		key := u.Domain + u.Engine.Range().String()
		used[key] += float64(after[i]-before[i]) / measureFlag.Seconds()
		rate[key] += u.Engine.Rate()
	}
	for k := range rate {
		t.Logf("%s: %-24s %6.0f of %6.0f positions/s", p.name, k, used[k], rate[k])
	}
	for k, n := range links2 {
		if r := linkBetween(k[0], k[1]).Rate; n > 0 {
			t.Logf("%s: %-24s %6.0f of %6.0f positions/s", p.name, k[0]+">"+k[1], float64(n-links[k])/measureFlag.Seconds(), r)
		}
	}
}

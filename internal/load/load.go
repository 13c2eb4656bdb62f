// Package load sends an open-loop stream of requests to entries, accounts for
// each, and reports latencies and outcomes.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/api/skylarkwood/v1/skylarkwoodv1connect"
)

// RequestKind is one kind of request of the mix.
type RequestKind struct {
	Customer      string  `json:"customer"`
	Service       string  `json:"service"`
	Weight        float64 `json:"weight"`
	Tokens        int32   `json:"tokens,omitempty"`
	Body          string  `json:"body"`
	NotRepeatable bool    `json:"not_repeatable,omitempty"`
}

// Config says what to send.
type Config struct {
	Entries  []string      `json:"entries"` // base URLs, in turn
	Rate     float64       `json:"rate"`    // requests a second, on average
	Duration time.Duration `json:"duration"`
	// Burst makes the rate swing: Burst times the rate in the first fifth of each
	// Period, less in the rest; 0 or 1 is steady.
	Burst   float64       `json:"burst"`
	Period  time.Duration `json:"period"`
	Timeout time.Duration `json:"timeout"`
	Seed    uint64        `json:"seed"`
	Mix     []RequestKind `json:"mix"`
}

// Report is what came of it. Sent is the sum of the five ends of a request.
type Report struct {
	Config        Config         `json:"config"`
	Sent          int            `json:"sent"`
	Ran           int            `json:"ran"`
	NotRun        int            `json:"not_run"`
	CutOff        int            `json:"cut_off"`
	NotAccepted   int            `json:"not_accepted"`
	Lost          int            `json:"lost"` // the stream broke before an outcome
	Kinds         map[string]int `json:"kinds"`
	Tokens        int64          `json:"tokens"`
	Seconds       []Second       `json:"seconds"`
	FirstToken    Latency        `json:"first_token_ms"`
	BetweenTokens Latency        `json:"between_tokens_ms"`
	Total         Latency        `json:"whole_ms"`
	Goodput       float64        `json:"goodput_requests_per_second"`
}

// Second is one second of the run, by when requests ended.
type Second struct {
	Ran    int `json:"ran"`
	NotRun int `json:"not_run"`
	CutOff int `json:"cut_off"`
	Tokens int `json:"tokens"`
}

// Latency is a distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// run is a load under way.
type run struct {
	cfg     Config
	clients []skylarkwoodv1connect.RequestServiceClient
	began   time.Time

	mu                    sync.Mutex
	report                Report
	first, between, whole *hdrhistogram.Histogram
}

const maxLatency = int64(10 * time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Run sends the load and waits for the last answer.
func Run(ctx context.Context, cfg Config) Report {
	const connections = 512
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	r := &run{
		cfg:     cfg,
		began:   time.Now(),
		report:  Report{Config: cfg, Kinds: map[string]int{}},
		first:   newHistogram(),
		between: newHistogram(),
		whole:   newHistogram(),
	}
	for _, url := range cfg.Entries {
		r.clients = append(r.clients, skylarkwoodv1connect.NewRequestServiceClient(hc, url))
	}
	r.send(ctx)
	return r.finish()
}

// send starts requests at times that do not depend on the answers: a system
// that slows down must not thereby get less to do.
func (r *run) send(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	var all sync.WaitGroup
	next := r.began
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / r.rateAt(next.Sub(r.began)) * float64(time.Second)))
		if next.Sub(r.began) >= r.cfg.Duration || !waitUntil(ctx, next) {
			break
		}
		k := r.pick(rnd)
		c := r.clients[n%len(r.clients)]
		all.Go(func() { r.one(ctx, c, k) })
	}
	all.Wait()
}

func waitUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// rateAt is the rate at a time of the run.
func (r *run) rateAt(at time.Duration) float64 {
	const share = 0.2 // of the period that is burst
	if r.cfg.Burst <= 1 || r.cfg.Period <= 0 {
		return r.cfg.Rate
	}
	if at%r.cfg.Period < time.Duration(share*float64(r.cfg.Period)) {
		return r.cfg.Rate * r.cfg.Burst
	}
	return max(r.cfg.Rate*(1-share*r.cfg.Burst)/(1-share), r.cfg.Rate/100)
}

func (r *run) pick(rnd *rand.Rand) RequestKind {
	total := 0.0
	for _, k := range r.cfg.Mix {
		total += k.Weight
	}
	at := rnd.Float64() * total
	for _, k := range r.cfg.Mix {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return r.cfg.Mix[len(r.cfg.Mix)-1]
}

func (r *run) one(ctx context.Context, c skylarkwoodv1connect.RequestServiceClient, k RequestKind) {
	began := time.Now()
	stream, err := c.Submit(ctx, connect.NewRequest(&v1.SubmitRequest{
		Customer:      k.Customer,
		RequestId:     ulid.Make().String(),
		Service:       k.Service,
		Body:          []byte(k.Body),
		MaxTokens:     k.Tokens,
		TimeoutMs:     r.cfg.Timeout.Milliseconds(),
		NotRepeatable: k.NotRepeatable,
	}))
	if err != nil {
		r.end(began, nil, err)
		return
	}
	defer stream.Close()
	last, tokens := began, int64(0)
	var outcome *v1.Outcome
	for stream.Receive() {
		m := stream.Msg()
		if len(m.Data) > 0 {
			last, tokens = r.data(m, last, tokens, began)
		}
		if m.Outcome != nil {
			outcome = m.Outcome
		}
	}
	r.end(began, outcome, stream.Err())
}

// data takes in a part of an answer. Position tells how many tokens came before
// it; how many it holds shows with the next.
func (r *run) data(m *v1.SubmitResponse, last time.Time, tokens int64, began time.Time) (time.Time, int64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Position == 0 {
		_ = r.first.RecordValue(max(now.Sub(began).Microseconds(), 1))
	} else {
		n := max(m.Position-tokens, 1)
		_ = r.between.RecordValues(max(now.Sub(last).Microseconds()/n, 1), n)
	}
	r.report.Tokens++
	r.second(now).Tokens++
	return now, m.Position
}

func (r *run) second(at time.Time) *Second {
	i := int(at.Sub(r.began) / time.Second)
	for len(r.report.Seconds) <= i {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	return &r.report.Seconds[i]
}

func (r *run) end(began time.Time, o *v1.Outcome, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	s := r.second(now)
	switch {
	case o == nil && connect.CodeOf(err) != connect.CodeUnknown && refused(err):
		r.report.NotAccepted++
		r.report.Kinds[kindOf(err)]++
	case o == nil:
		r.report.Lost++
	case o.State == v1.OutcomeState_OUTCOME_STATE_RAN:
		r.report.Ran++
		s.Ran++
		_ = r.whole.RecordValue(max(now.Sub(began).Microseconds(), 1))
	case o.State == v1.OutcomeState_OUTCOME_STATE_NOT_RUN:
		r.report.NotRun++
		s.NotRun++
		r.report.Kinds[o.Kind]++
	default:
		r.report.CutOff++
		s.CutOff++
		r.report.Kinds[o.Kind]++
	}
}

// refused tells whether an entry refused the submission, rather than the stream
// being lost.
func refused(err error) bool { return kindOf(err) != "" }

func kindOf(err error) string {
	if ce, ok := err.(*connect.Error); ok {
		return ce.Meta().Get("skylarkwood-kind")
	}
	return ""
}

func (r *run) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FirstToken = latencyOf(r.first)
	r.report.BetweenTokens = latencyOf(r.between)
	r.report.Total = latencyOf(r.whole)
	r.report.Goodput = float64(r.report.Ran) / r.cfg.Duration.Seconds()
	return r.report
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

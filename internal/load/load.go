// Package load sends an open-loop stream of requests to entries and reports latencies and
// outcomes.
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

// RequestKind is a kind of request in the mix.
type RequestKind struct {
	Customer      string  `json:"customer"`
	Service       string  `json:"service"`
	Weight        float64 `json:"weight"`
	Tokens        int32   `json:"tokens,omitempty"`
	Body          string  `json:"body"`
	NotRepeatable bool    `json:"not_repeatable,omitempty"`
}

// Config defines the load.
type Config struct {
	Entries  []string      `json:"entries"` // base URLs, used in rotation
	Rate     float64       `json:"rate"`    // mean requests per second
	Duration time.Duration `json:"duration"`
	// Burst varies the rate: in the first fifth of each Period it is Burst times Rate, and
	// lower in the rest, so that Rate is the mean. With 0 or 1 the rate is constant.
	Burst   float64       `json:"burst"`
	Period  time.Duration `json:"period"`
	Timeout time.Duration `json:"timeout"`
	Seed    uint64        `json:"seed"`
	Mix     []RequestKind `json:"mix"`
}

// Report is the result of a run. Sent is the sum of Ran, NotRun, CutOff, NotAccepted and Lost.
type Report struct {
	Config        Config         `json:"config"`
	Sent          int            `json:"sent"`
	Ran           int            `json:"ran"`
	NotRun        int            `json:"not_run"`
	CutOff        int            `json:"cut_off"`
	NotAccepted   int            `json:"not_accepted"`
	Lost          int            `json:"lost"` // the stream ended without an outcome
	Kinds         map[string]int `json:"kinds"`
	Tokens        int64          `json:"tokens"`
	Seconds       []Second       `json:"seconds"`
	FirstToken    Latency        `json:"first_token_ms"`
	BetweenTokens Latency        `json:"between_tokens_ms"`
	Total         Latency        `json:"whole_ms"`
	Goodput       float64        `json:"goodput_requests_per_second"`
}

// Second counts the requests that ended in one second of the run.
type Second struct {
	Ran    int `json:"ran"`
	NotRun int `json:"not_run"`
	CutOff int `json:"cut_off"`
	Tokens int `json:"tokens"`
}

// Latency holds quantiles of a distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// run is a load in progress.
type run struct {
	cfg     Config
	clients []skylarkwoodv1connect.RequestServiceClient
	began   time.Time

	mu                               sync.Mutex
	report                           Report
	firstToken, betweenTokens, total *hdrhistogram.Histogram
}

const maxLatency = int64(10 * time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Run sends the load and returns when all requests have ended.
func Run(ctx context.Context, cfg Config) Report {
	const connections = 512
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	r := &run{
		cfg:           cfg,
		began:         time.Now(),
		report:        Report{Config: cfg, Kinds: map[string]int{}},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
	}
	for _, url := range cfg.Entries {
		r.clients = append(r.clients, skylarkwoodv1connect.NewRequestServiceClient(hc, url))
	}
	r.send(ctx)
	return r.finish()
}

// send starts requests at times that don't depend on the responses, so that a slow system
// receives no fewer requests.
func (r *run) send(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	var all sync.WaitGroup
	next := r.began
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / r.rateAt(next.Sub(r.began)) * float64(time.Second)))
		if next.Sub(r.began) >= r.cfg.Duration || !waitUntil(ctx, next) {
			break
		}
		k := r.pickKind(rnd)
		c := r.clients[n%len(r.clients)]
		all.Go(func() { r.sendOne(ctx, c, k) })
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

// rateAt returns the rate at a time since the start of the run.
func (r *run) rateAt(at time.Duration) float64 {
	const burstShare = 0.2 // part of a period that is a burst
	if r.cfg.Burst <= 1 || r.cfg.Period <= 0 {
		return r.cfg.Rate
	}
	if at%r.cfg.Period < time.Duration(burstShare*float64(r.cfg.Period)) {
		return r.cfg.Rate * r.cfg.Burst
	}
	return max(r.cfg.Rate*(1-burstShare*r.cfg.Burst)/(1-burstShare), r.cfg.Rate/100)
}

func (r *run) pickKind(rnd *rand.Rand) RequestKind {
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

func (r *run) sendOne(ctx context.Context, c skylarkwoodv1connect.RequestServiceClient, k RequestKind) {
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
		r.recordOutcome(began, nil, err)
		return
	}
	defer stream.Close()
	last, tokens := began, int64(0)
	var outcome *v1.Outcome
	for stream.Receive() {
		m := stream.Msg()
		if len(m.Data) > 0 {
			last, tokens = r.recordData(m, last, tokens, began)
		}
		if m.Outcome != nil {
			outcome = m.Outcome
		}
	}
	r.recordOutcome(began, outcome, stream.Err())
}

// recordData records a part of a response. Position is the number of tokens before this part, so the
// size of a part is known when the next one arrives.
func (r *run) recordData(m *v1.SubmitResponse, last time.Time, tokens int64, began time.Time) (time.Time, int64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Position == 0 {
		_ = r.firstToken.RecordValue(max(now.Sub(began).Microseconds(), 1))
	} else {
		n := max(m.Position-tokens, 1)
		_ = r.betweenTokens.RecordValues(max(now.Sub(last).Microseconds()/n, 1), n)
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

func (r *run) recordOutcome(began time.Time, o *v1.Outcome, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	s := r.second(now)
	switch {
	case o == nil && connect.CodeOf(err) != connect.CodeUnknown && isRefusal(err):
		r.report.NotAccepted++
		r.report.Kinds[kindOf(err)]++
	case o == nil:
		r.report.Lost++
	case o.State == v1.OutcomeState_OUTCOME_STATE_RAN:
		r.report.Ran++
		s.Ran++
		_ = r.total.RecordValue(max(now.Sub(began).Microseconds(), 1))
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

// isRefusal reports whether an entry refused the request. Otherwise the stream was lost.
func isRefusal(err error) bool { return kindOf(err) != "" }

func kindOf(err error) string {
	if ce, ok := err.(*connect.Error); ok {
		return ce.Meta().Get("skylarkwood-kind")
	}
	return ""
}

func (r *run) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FirstToken = latencyOf(r.firstToken)
	r.report.BetweenTokens = latencyOf(r.betweenTokens)
	r.report.Total = latencyOf(r.total)
	r.report.Goodput = float64(r.report.Ran) / r.cfg.Duration.Seconds()
	return r.report
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

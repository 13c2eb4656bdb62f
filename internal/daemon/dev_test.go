package daemon_test

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/ctl"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
)

// startDev runs the system of dev mode in this process.
func startDev(tb testing.TB) *ctl.Client {
	tb.Helper()
	d, err := daemon.NewDev("")
	assert.NilError(tb, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	tb.Cleanup(func() {
		stop()
		assert.Check(tb, <-done)
	})
	c := ctl.NewClient(d.URL)
	assert.NilError(tb, d.WaitReady(ctx, c.ReachableInstances))
	return c
}

const devTokens = 24

func devRequest() *v1.SubmitRequest {
	return &v1.SubmitRequest{
		Customer:  daemon.DevCustomer,
		Service:   daemon.DevService,
		Body:      []byte("Draft the round sheet for the school on Manus"),
		MaxTokens: devTokens,
	}
}

// Guards against invalid requests that are accepted or get the wrong error. A valid request
// still runs.
func TestInvalidRequestsAreRefused(t *testing.T) {
	c := startDev(t)
	for _, tc := range []struct {
		name string
		edit func(*v1.SubmitRequest)
		want string
	}{
		{"no customer", func(m *v1.SubmitRequest) { m.Customer = "" }, "customer is missing"},
		{"unknown customer", func(m *v1.SubmitRequest) { m.Customer = "nobody" }, "has no template"},
		{"no service", func(m *v1.SubmitRequest) { m.Service = "" }, "service is missing"},
		{"forbidden service", func(m *v1.SubmitRequest) { m.Service = "secret" }, "may not reach"},
		{"too large", func(m *v1.SubmitRequest) { m.Body = make([]byte, 2<<20) }, "exceeds"},
		{"no tokens", func(m *v1.SubmitRequest) { m.MaxTokens = 0 }, "max_tokens is missing"},
		{"too many tokens", func(m *v1.SubmitRequest) { m.MaxTokens = 1 << 20 }, "max_tokens must be"},
		{"empty prompt", func(m *v1.SubmitRequest) { m.Body = nil }, "prompt is empty"},
		{"negative timeout", func(m *v1.SubmitRequest) { m.TimeoutMs = -1 }, "timeout must be"},
		{"long id", func(m *v1.SubmitRequest) { m.RequestId = string(make([]byte, 65)) }, "longer than"},
		{"no ULID", func(m *v1.SubmitRequest) { m.NotRepeatable, m.RequestId = true, "once" }, "needs a ULID"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := devRequest()
			tc.edit(m)
			_, err := c.Submit(context.Background(), m, io.Discard)
			assert.ErrorContains(t, err, tc.want)
		})
	}
	m := devRequest()
	m.RequestId = "mine"
	res, err := c.Submit(context.Background(), m, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN)
	m.MaxTokens++
	_, err = c.Submit(context.Background(), m, io.Discard)
	assert.ErrorContains(t, err, "was used for another request")
}

// BenchmarkPipelineRequest measures the processor time of a whole request over three stages,
// with all processes and simulated engines, under parallel requests.
func BenchmarkPipelineRequest(b *testing.B) {
	c := startDev(b)
	b.ResetTimer()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			res, err := c.Submit(context.Background(), devRequest(), io.Discard)
			if err != nil || res.Outcome.State != v1.OutcomeState_OUTCOME_STATE_RAN {
				b.Errorf("%v %v", err, res.Outcome)
			}
		}
	})
	b.ReportMetric(float64(b.N*devTokens)/b.Elapsed().Seconds(), "tokens/s")
}

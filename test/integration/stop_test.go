package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/ctl"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

func oldID(age time.Duration) string {
	return ulid.MustNew(ulid.Timestamp(time.Now().Add(-age)), ulid.DefaultEntropy()).String()
}

func ready(u *instance) bool {
	rep, err := http.Get("http://" + u.http + "/readyz")
	if err != nil {
		return false
	}
	rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

// Guards against a stalled sheet when a stage is frozen and its connections stay open.
// The stage must be replaced, and its late messages must have no effect.
func TestSheetContinuesAfterStageIsFrozen(t *testing.T) {
	c := newCluster(t, 1, stages(2), 0)
	var frozen *instance
	w := &onWrite{remaining: 200, do: func() {
		frozen = c.stageSidecar("frozen", 1)
		frozen.signal(syscall.SIGSTOP)
	}}
	res, err := c.client(0).Submit(context.Background(), sheet("frozen", 200), w)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 200))
	frozen.signal(syscall.SIGCONT)
	c.waitReady()
	res, err = c.client(0).Submit(context.Background(), sheet("after", 30), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 30))
}

// Guards against a caller that waits although the lost stage has no replacement.
func TestSheetIsCutOffWithoutReplacementStage(t *testing.T) {
	c := newCluster(t, 1, stages(1), 0)
	w := &onWrite{remaining: 100, do: func() { c.killStage("doomed", 1) }}
	res, err := c.client(0).Submit(context.Background(), sheet("doomed", 300), w)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_CUT_OFF)
	assert.Assert(t, res.Outcome.MayHaveRun)
	assert.Assert(t, res.Outcome.RetryAfterMs > 0)

	res, err = c.client(0).Submit(context.Background(), sheet("too-late", 10), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_NOT_RUN)
	assert.Assert(t, res.Outcome.RetryAfterMs > 0)
}

// Guards against cutting off sheets when an entry and every sidecar of one chain stop
// as planned during a burst. Each process must exit with code 0.
func TestPlannedStopsDuringBurstCutOffNothing(t *testing.T) {
	c := newCluster(t, 2, stages(2), 0)
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for i := 0; i < 24; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if i >= 12 {
				<-stopped
			}
			res, err := c.client(1).Submit(context.Background(), sheet(fmt.Sprint("burst-", i), 60), io.Discard)
			if !assert.Check(t, err) {
				return
			}
			assert.Check(t, res.Outcome.State == v1.OutcomeState_OUTCOME_STATE_RAN, "%d: %s", i, res.Outcome.Cause)
			assert.Check(t, string(res.Response) == referenceAnswer(prompt, 60))
		}()
	}
	first := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		w := &onWrite{remaining: 1, do: func() { close(first) }}
		res, err := c.client(0).Submit(context.Background(), sheet("at-leaving-entry", 300), w)
		if assert.Check(t, err) {
			assert.Check(t, string(res.Response) == referenceAnswer(prompt, 300))
		}
	}()
	<-first
	draining := append([]*instance{c.entries[0]}, c.sidecars[:3]...)
	for _, u := range draining {
		u.signal(syscall.SIGTERM)
	}
	close(stopped)
	wg.Wait()
	for _, u := range draining {
		<-u.done
		assert.Equal(t, u.code, 0, u.name)
	}
}

// Guards against cutting off a long sheet when a sidecar of the only chain stops as
// planned. The sheet must complete on its first epoch before the process exits.
func TestPlannedStopOfOnlyChainCompletesSheet(t *testing.T) {
	c := newCluster(t, 1, stages(1), 0)
	var draining *instance
	w := &onWrite{remaining: 100, do: func() {
		draining = c.stageSidecar("long", 1)
		draining.signal(syscall.SIGTERM)
	}}
	const long = 1000
	res, err := c.client(0).Submit(context.Background(), sheet("long", long), w)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, long))
	assert.Assert(t, strings.HasSuffix(res.Outcome.Evidence, "epoch 1"), res.Outcome.Evidence)
	<-draining.done
	assert.Equal(t, draining.code, 0)
}

// Guards against losing a request whose caller hung up and whose entry then stops as
// planned: it must run to its end and its outcome must be known to the other entry.
func TestPlannedStopAfterCallerHungUpCompletesSheet(t *testing.T) {
	c := newCluster(t, 2, stages(1), 0)
	ctx, hangUp := context.WithCancel(context.Background())
	w := &onWrite{remaining: 100, do: func() {
		c.entries[0].signal(syscall.SIGTERM)
		hangUp()
	}}
	_, err := c.client(0).Submit(ctx, sheet("left", 500), w)
	assert.Assert(t, err != nil)
	<-c.entries[0].done
	rep, err := c.client(1).Requests.GetOutcome(context.Background(),
		connect.NewRequest(&v1.GetOutcomeRequest{Customer: customer, RequestId: "left"}))
	assert.NilError(t, err)
	assert.Equal(t, rep.Msg.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN)
}

// Guards against starting sheets at a draining sidecar that the instance list still
// holds.
func TestDrainingSidecarGetsNoNewSheets(t *testing.T) {
	c := newCluster(t, 1, stages(2), 0)
	// A long sheet keeps the draining process running.
	streaming := make(chan struct{})
	go func() {
		w := &onWrite{remaining: 1, do: func() { close(streaming) }}
		_, _ = c.client(0).Submit(context.Background(), sheet("hold", 2000), w)
	}()
	<-streaming
	draining := c.stageSidecar("hold", 0)
	draining.signal(syscall.SIGTERM)
	c.eventually("entry knows that the sidecar is draining", func() bool {
		rep, err := c.client(0).Operators.GetStatus(context.Background(), connect.NewRequest(&v1.GetStatusRequest{}))
		if err != nil {
			return false
		}
		for _, in := range rep.Msg.Instances {
			if in.Instance == draining.name {
				return in.Leaving
			}
		}
		return false
	})
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("after-", i)
		res, err := c.client(0).Submit(context.Background(), sheet(id, 5), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		events, _ := c.timeline(0, id)
		for _, e := range events {
			assert.Assert(t, e.Instance != draining.name, "%s at %s", e.Kind, e.Instance)
		}
	}
}

// Guards against losing a change when two operators change the same template revision:
// one must succeed and the other must get a conflict.
func TestConcurrentTemplateChangesConflict(t *testing.T) {
	c := newCluster(t, 2, nil, 1)
	results := make([]error, 2)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, results[i] = c.client(i).Operators.SetTemplate(context.Background(), connect.NewRequest(&v1.SetTemplateRequest{
				Template:         &v1.Template{Customer: customer, Parameters: map[string]string{"by": fmt.Sprint(i)}},
				ExpectedRevision: 1,
				Author:           fmt.Sprint("operator-", i),
			}))
		}()
	}
	wg.Wait()
	succeeded := 0
	for _, err := range results {
		if err == nil {
			succeeded++
			continue
		}
		assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	}
	assert.Equal(t, succeeded, 1)
}

// Guards against a template change that fails because store responses are lost, or that a frozen
// entry ignores after it resumes.
func TestTemplateChangeWithFrozenEntry(t *testing.T) {
	c := newCluster(t, 2, nil, 1)
	c.setStoreFaults(standin.KVFaults{LoseAnswers: 2})
	rep := c.set(&v1.SetTemplateRequest{
		Template: &v1.Template{Customer: customer, Rules: []*v1.ServiceRule{
			{Service: notices, DefaultTimeoutMs: waitTimeout.Milliseconds()}}},
		ExpectedRevision: 1,
		Author:           "first",
	})
	assert.Assert(t, rep.InForceEverywhere, "missing: %v", rep.Missing)

	c.entries[1].signal(syscall.SIGSTOP)
	second, err := c.client(0).Operators.SetTemplate(context.Background(), connect.NewRequest(&v1.SetTemplateRequest{
		Template:         &v1.Template{Customer: customer},
		ExpectedRevision: 2,
		Author:           "second",
		WaitMs:           300,
	}))
	assert.NilError(t, err)
	assert.DeepEqual(t, second.Msg.Missing, []string{c.entries[1].name})

	c.entries[1].signal(syscall.SIGCONT)
	c.eventually("resumed entry refuses the notice", func() bool {
		res, err := ctl.NewClient("http://"+c.entries[1].http).Submit(context.Background(), notice(newID()), io.Discard)
		if err == nil {
			assert.Check(t, res.Outcome.State == v1.OutcomeState_OUTCOME_STATE_NOT_RUN, "served by the old template: %v", res.Outcome)
			return false
		}
		return connect.CodeOf(err) == connect.CodePermissionDenied
	})
}

// Guards against an entry that cannot start during an outage of the key-value service:
// it must get the templates from its peers.
func TestEntryStartsDuringOutage(t *testing.T) {
	c := newCluster(t, 1, stages(1), 0)
	c.setStoreFaults(standin.KVFaults{Outage: true})
	c.addEntry()
	c.publish()
	c.waitReady()
	c.eventually("new entry is ready", func() bool { return ready(c.entries[1]) })
	res, err := c.client(1).Submit(context.Background(), sheet("fresh", 10), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
}

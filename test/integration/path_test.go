package integration

import (
	"context"
	"io"
	"net/url"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/ctl"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const prompt = "Draft the round sheet for the school on Manus before the inspection"

func sheet(id string, tokens int) *v1.SubmitRequest {
	return &v1.SubmitRequest{
		Customer:  customer,
		RequestId: id,
		Service:   sheets,
		Body:      []byte(prompt),
		MaxTokens: int32(tokens),
	}
}

func (c *cluster) timeline(entry int, id string) ([]*v1.Event, []string) {
	c.t.Helper()
	rep, err := c.client(entry).Requests.GetTimeline(context.Background(),
		connect.NewRequest(&v1.GetTimelineRequest{Customer: customer, RequestId: id}))
	assert.NilError(c.t, err)
	return rep.Msg.Events, rep.Msg.Unreachable
}

// A caller sends a sheet to one entry. Its answer is the one that a model gives
// whose layers run once and in order; the time line names entry and all three
// stages; the other entry tells the outcome too.
func TestSheetRunsThroughThreeStages(t *testing.T) {
	c := newCluster(t, 2, stages(1), 1)
	res, err := c.client(0).Submit(context.Background(), sheet("sheet-1", 40), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 40))

	events, unreachable := c.timeline(1, "sheet-1")
	assert.Equal(t, len(unreachable), 0)
	seen := map[string]bool{}
	for _, e := range events {
		seen[e.Instance] = true
	}
	assert.Equal(t, len(seen), 4, "instances in the time line: %v", seen)
	assert.Equal(t, events[0].Kind, "accepted")

	rep, err := c.client(1).Requests.GetOutcome(context.Background(),
		connect.NewRequest(&v1.GetOutcomeRequest{Customer: customer, RequestId: "sheet-1"}))
	assert.NilError(t, err)
	assert.Equal(t, rep.Msg.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN)
}

// A caller reads a sheet. In the middle of it the sidecar of a stage is killed.
// The owner raises the epoch, another instance rebuilds the lost layers, and
// the caller gets the whole answer, each token once.
func TestSheetContinuesAfterStageIsKilled(t *testing.T) {
	c := newCluster(t, 1, stages(2), 0)
	for i, name := range []string{"first", "middle", "last"} {
		t.Run(name, func(t *testing.T) {
			var killed *instance
			w := &onWrite{remaining: 200, do: func() { killed = c.killStage(name, i) }}
			res, err := c.client(0).Submit(context.Background(), sheet(name, 200), w)
			assert.NilError(t, err)
			assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
			assert.Equal(t, string(res.Response), referenceAnswer(prompt, 200))
			assert.Assert(t, killed != nil, "no stage was killed")
			c.launch(killed)
			c.waitReady()
		})
	}
}

// killStage kills the sidecar at a place of a request's chain.
func (c *cluster) killStage(id string, position int) *instance {
	u := c.stageSidecar(id, position)
	u.kill()
	return u
}

// chainUnit finds the sidecar at a place of a request's first chain.
func (c *cluster) stageSidecar(id string, position int) *instance {
	c.t.Helper()
	events, _ := c.timeline(0, id)
	for _, e := range events {
		if e.Kind != "epoch_raised" {
			continue
		}
		_, chain, _ := strings.Cut(e.Detail, ": ")
		hop := strings.Split(chain, " > ")[position]
		for _, u := range c.sidecars {
			if strings.HasPrefix(hop, u.link+"[") {
				return u
			}
		}
	}
	c.t.Fatalf("no chain of %s in its time line", id)
	return nil
}

// A caller sends a notice that must not be repeated, then sends it again
// through the other entry. The second answer is the first one's; the plain
// service has carried it out once.
func TestNoticeResentThroughOtherEntryRunsOnce(t *testing.T) {
	c := newCluster(t, 2, nil, 2)
	id := newID()
	request := &v1.SubmitRequest{Customer: customer, RequestId: id, Service: notices, Body: []byte("crew two to the library"), NotRepeatable: true}
	var answers []string
	for i := range c.entries {
		res, err := c.client(i).Submit(context.Background(), request, io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		answers = append(answers, string(res.Response))
	}
	assert.Equal(t, answers[0], answers[1])
	assert.Equal(t, c.plainCount(id), 1)
}

// plainCount sums what the plain services themselves counted of a request.
func (c *cluster) plainCount(id string) int {
	n := 0
	for _, addr := range c.plainServers {
		counts := map[string]int{}
		c.getControl(addr, "", &counts)
		n += counts[customer+"/"+id]
	}
	return n
}

// A caller reads a sheet and its entry is killed. The caller comes back to
// another entry with the same id and gets the whole answer; the dead entry's run
// still stands at the gates and must not mix with the new one.
func TestSheetResentAfterEntryIsKilled(t *testing.T) {
	c := newCluster(t, 2, stages(2), 0)
	w := &onWrite{remaining: 200, do: func() { c.entries[0].kill() }}
	_, err := c.client(0).Submit(context.Background(), sheet("orphan", 300), w)
	assert.Assert(t, err != nil, "the stream broke with the entry")
	res, err := c.client(1).Submit(context.Background(), sheet("orphan", 300), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 300))
}

// A sheet that must not be repeated loses a stage in the middle. Another engine
// holds the same layers, but would run them a second time: the caller is told at
// once that the sheet was cut off, and sending it again runs nothing more.
func TestNonRepeatableSheetIsCutOffWhenStageIsKilled(t *testing.T) {
	c := newCluster(t, 2, stages(2), 0)
	var request *v1.SubmitRequest
	var res ctl.Result
	// Gates take only what was made after their start.
	c.eventually("the sheet starts", func() bool {
		request = sheet(newID(), 300)
		request.NotRepeatable = true
		w := &onWrite{remaining: 200, do: func() { c.killStage(request.RequestId, 1) }}
		var err error
		res, err = c.client(0).Submit(context.Background(), request, w)
		assert.NilError(t, err)
		return res.Outcome.State != v1.OutcomeState_OUTCOME_STATE_NOT_RUN
	})
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_CUT_OFF, res.Outcome.Cause)
	assert.Assert(t, res.Outcome.MayHaveRun)
	before := c.engineRuns(request.RequestId)
	again, err := c.client(1).Submit(context.Background(), request, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome.State, v1.OutcomeState_OUTCOME_STATE_CUT_OFF, again.Outcome.Cause)
	assert.Equal(t, c.engineRuns(request.RequestId), before)
}

// engineRuns sums what the engines themselves counted of a request.
func (c *cluster) engineRuns(id string) int64 {
	n := int64(0)
	for _, addr := range c.engines {
		runs := int64(0)
		c.getControl(addr, "?prefix="+url.QueryEscape(customer+"/"+id+"#"), &runs)
		n += runs
	}
	return n
}

// A sheet crosses six stages. Its time line, asked of the other entry, holds all
// seven processes in causal order: no stage starts before its gate opened, nor
// before the stage in front of it.
func TestTimelineKeepsCausalOrder(t *testing.T) {
	var layerRanges []model.LayerRange
	for from := 0; from < layers; from += 2 {
		layerRanges = append(layerRanges, model.LayerRange{From: from, To: from + 2})
	}
	c := newCluster(t, 2, layerRanges, 0)
	res, err := c.client(0).Submit(context.Background(), sheet("long-way", 10), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 10))
	events, _ := c.timeline(1, "long-way")
	opened, started, processes := map[string]int{}, map[string]int{}, map[string]bool{}
	for i, e := range events {
		processes[e.Instance] = true
		switch e.Kind {
		case "gate_opened":
			opened[e.Instance] = i
		case "started":
			started[e.Instance] = i
		}
	}
	assert.Equal(t, len(processes), 7, "%v", processes)
	assert.Equal(t, len(started), 6)
	for i, u := range c.sidecars {
		assert.Assert(t, opened[u.name] < started[u.name])
		if i > 0 {
			assert.Assert(t, started[c.sidecars[i-1].name] < started[u.name])
		}
	}
}

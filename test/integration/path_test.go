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

// Guards against a wrong answer over three stages, an incomplete timeline, and an
// outcome that the other entry does not know.
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
	assert.Equal(t, len(seen), 4, "instances in the timeline: %v", seen)
	assert.Equal(t, events[0].Kind, "accepted")

	rep, err := c.client(1).Requests.GetOutcome(context.Background(),
		connect.NewRequest(&v1.GetOutcomeRequest{Customer: customer, RequestId: "sheet-1"}))
	assert.NilError(t, err)
	assert.Equal(t, rep.Msg.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN)
}

// Guards against an incomplete answer or repeated tokens after a sidecar of the chain
// is killed during a sheet.
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

// killStage kills the sidecar at a position of a request's first chain.
func (c *cluster) killStage(id string, position int) *instance {
	u := c.stageSidecar(id, position)
	u.kill()
	return u
}

// stageSidecar returns the sidecar at a position of a request's first chain.
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
	c.t.Fatalf("timeline of %s holds no chain", id)
	return nil
}

// Guards against running a notice again when the caller resends it through another
// entry. Both must return the same answer.
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

// plainCount returns how often the plain services executed a request, by their own
// counts.
func (c *cluster) plainCount(id string) int {
	n := 0
	for _, addr := range c.plainServers {
		counts := map[string]int{}
		c.getControl(addr, "", &counts)
		n += counts[customer+"/"+id]
	}
	return n
}

// Guards against mixing two runs of a sheet: its entry is killed, and the caller
// resends it through another entry while the gates still hold the first run.
func TestSheetResentAfterEntryIsKilled(t *testing.T) {
	c := newCluster(t, 2, stages(2), 0)
	w := &onWrite{remaining: 200, do: func() { c.entries[0].kill() }}
	_, err := c.client(0).Submit(context.Background(), sheet("orphan", 300), w)
	assert.Assert(t, err != nil, "the stream outlived its entry")
	res, err := c.client(1).Submit(context.Background(), sheet("orphan", 300), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, string(res.Response), referenceAnswer(prompt, 300))
}

// Guards against running layers of a non-repeatable sheet again when a stage is killed, also
// when the sheet is resent.
func TestNonRepeatableSheetIsCutOffWhenStageIsKilled(t *testing.T) {
	c := newCluster(t, 2, stages(2), 0)
	var request *v1.SubmitRequest
	var res ctl.Result
	// Gates refuse non-repeatable requests made before their start.
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

// engineRuns returns how many positions of a request the engines ran, by their own
// counts.
func (c *cluster) engineRuns(id string) int64 {
	n := int64(0)
	for _, addr := range c.engines {
		runs := int64(0)
		c.getControl(addr, "?prefix="+url.QueryEscape(customer+"/"+id+"#"), &runs)
		n += runs
	}
	return n
}

// Guards against a timeline that lacks events or breaks causal order: no stage may
// start before its gate opened or before the previous stage started.
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

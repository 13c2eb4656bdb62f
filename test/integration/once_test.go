package integration

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

func notice(id string) *v1.SubmitRequest {
	return &v1.SubmitRequest{
		Customer:      customer,
		RequestId:     id,
		Service:       notices,
		Body:          []byte("crew two to the library"),
		NotRepeatable: true,
	}
}

// Guards against running a notice that the key-value service cannot make safe, and against
// refusing a repeatable sheet for the same reason.
func TestNoticeDuringStoreOutageIsNotRun(t *testing.T) {
	c := newCluster(t, 2, stages(1), 1)
	c.setStoreFaults(standin.KVFaults{Outage: true})
	id := newID()
	res, err := c.client(0).Submit(context.Background(), notice(id), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_NOT_RUN)
	assert.Equal(t, res.Outcome.Kind, "store_unavailable")
	assert.Assert(t, res.Outcome.RetryAfterMs > 0)
	assert.Equal(t, c.plainCount(id), 0)

	res, err = c.client(0).Submit(context.Background(), sheet("during-outage", 10), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)

	c.setStoreFaults(standin.KVFaults{})
	id = newID()
	res, err = c.client(0).Submit(context.Background(), notice(id), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
	assert.Equal(t, c.plainCount(id), 1)
}

// Guards against losing or repeating a notice when the write of its intent succeeds
// but the response to the write is lost.
func TestNoticeRunsOnceWhenIntentResponseIsLost(t *testing.T) {
	c := newCluster(t, 2, nil, 1)
	for i := 0; i < 4; i++ {
		c.setStoreFaults(standin.KVFaults{LoseAnswers: 1})
		id := newID()
		res, err := c.client(i%2).Submit(context.Background(), notice(id), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		assert.Equal(t, c.plainCount(id), 1)
	}
}

// Guards against running a notice again when it is resent through another entry after
// its entry was killed. The other entry must return the answer that the gate kept.
func TestNoticeResentAfterEntryKilledRunsOnce(t *testing.T) {
	c := newCluster(t, 2, nil, 1)
	id := newID()
	res, err := c.client(0).Submit(context.Background(), notice(id), io.Discard)
	assert.NilError(t, err)
	c.entries[0].kill()
	again, err := c.client(1).Submit(context.Background(), notice(id), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, again.Outcome.Cause)
	assert.Equal(t, string(again.Response), string(res.Response))
	assert.Equal(t, c.plainCount(id), 1)
}

// Guards against running a notice again after its sidecar was killed during execution.
// The outcome must be "cut off, may have run", also when the notice is resent.
func TestNoticeIsCutOffWhenSidecarIsKilled(t *testing.T) {
	c := newCluster(t, 2, nil, 0)
	addr := freeAddress(t)
	start(t, "skylark-standin", "--listen", addr, "plain", "--time", "1h")
	c.plainServers = append(c.plainServers, addr)
	side := c.addSidecar("service = \"dispecer\"\nkind = \"plain\"", addr)
	c.publish()
	c.waitReady()
	// A gate refuses notices made before its start, so the first ones may be "not
	// run".
	var id string
	done := make(chan *v1.Outcome, 1)
	send := func() {
		id = newID()
		go func(id string) {
			res, err := c.client(0).Submit(context.Background(), notice(id), io.Discard)
			assert.Check(t, err)
			done <- res.Outcome
		}(id)
	}
	send()
	c.eventually("hand-over", func() bool {
		select {
		case out := <-done:
			assert.Equal(t, out.State, v1.OutcomeState_OUTCOME_STATE_NOT_RUN, out.Cause)
			send()
		default:
		}
		return c.plainCount(id) == 1
	})
	side.kill()
	c.launch(side)
	out := <-done
	assert.Equal(t, out.State, v1.OutcomeState_OUTCOME_STATE_CUT_OFF, out.Cause)
	assert.Assert(t, out.MayHaveRun)
	c.waitReady()
	again, err := c.client(1).Submit(context.Background(), notice(id), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome.State, v1.OutcomeState_OUTCOME_STATE_CUT_OFF, again.Outcome.Cause)
	assert.Equal(t, c.plainCount(id), 1)
}

// Guards against running notices again at an entry that was frozen while the other
// entry recorded them in the ledger.
func TestNoticeRunsOnceWhenEntryIsFrozen(t *testing.T) {
	c := newCluster(t, 2, nil, 1)
	c.entries[0].signal(syscall.SIGSTOP)
	var ids []string
	for i := 0; i < 6; i++ {
		id := newID()
		res, err := c.client(1).Submit(context.Background(), notice(id), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		ids = append(ids, id)
	}
	c.entries[0].signal(syscall.SIGCONT)
	c.eventually("resumed entry is ready", func() bool {
		return ready(c.entries[0])
	})
	for _, id := range ids {
		res, err := c.client(0).Submit(context.Background(), notice(id), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		assert.Equal(t, c.plainCount(id), 1)
	}
}

// Guards against running a notice whose ID is older than the ledger's records: it may
// have run before.
func TestNoticeWithOldIDIsRefused(t *testing.T) {
	c := newCluster(t, 1, nil, 1)
	old := oldID(time.Hour)
	_, err := c.client(0).Submit(context.Background(), notice(old), io.Discard)
	assert.ErrorContains(t, err, "older than")
	assert.Equal(t, c.plainCount(old), 0)
}

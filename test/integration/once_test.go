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

// While the key-value service is out, a notice that must not be repeated cannot
// be made safe: it is refused at once, "not run", with when to come back. A
// sheet, which may be repeated, goes on. After the outage notices run again.
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

// The write of the intent takes effect and its answer is lost. The entry reads
// back, finds its own grant and hands over: the caller sees one confirmation,
// the plain service one call.
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

// A caller sends a notice; its entry is frozen, killed, and the caller sends the
// notice again through the other entry. That one finds the intent in the
// ledger, gets no word from the dead entry and asks the gate, which kept the
// answer. The plain service has carried it out once.
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

// A caller sends a notice; while the plain service works on it the sidecar is
// killed. Nobody can tell any more whether it ran, so the caller is told "cut
// off, may have run", and sending it again never runs it a second time.
func TestNoticeIsCutOffWhenSidecarIsKilled(t *testing.T) {
	c := newCluster(t, 2, nil, 0)
	addr := freeAddress(t)
	start(t, "skylark-standin", "--listen", addr, "plain", "--time", "1h")
	c.plainServers = append(c.plainServers, addr)
	side := c.addSidecar("service = \"dispecer\"\nkind = \"plain\"", addr)
	c.publish()
	c.waitReady()
	// A gate takes only notices made after its start, so the first ones come
	// back "not run".
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

// An entry is frozen while it acts for the ledger; the other entry acts in its
// place and grants a notice. Thawed, the first one swaps against a version that
// is gone and fails: sending the same notice there runs nothing again.
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
	c.eventually("thawed entry serves", func() bool {
		return ready(c.entries[0])
	})
	for _, id := range ids {
		res, err := c.client(0).Submit(context.Background(), notice(id), io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome.State, v1.OutcomeState_OUTCOME_STATE_RAN, res.Outcome.Cause)
		assert.Equal(t, c.plainCount(id), 1)
	}
}

// An id older than the ledger's memory cannot be vouched for. It is refused,
// since nobody could tell whether it ran before.
func TestNoticeWithOldIDIsRefused(t *testing.T) {
	c := newCluster(t, 1, nil, 1)
	old := oldID(time.Hour)
	_, err := c.client(0).Submit(context.Background(), notice(old), io.Discard)
	assert.ErrorContains(t, err, "older than")
	assert.Equal(t, c.plainCount(old), 0)
}

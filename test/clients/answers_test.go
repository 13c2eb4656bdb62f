//go:build clients

package clients

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/api"
)

// largeAnswer is the size in bytes of the answers whose readers stop.
const largeAnswer = 1 << 20

// Guards against answers that are lost on their way, for want of room, after the request has run.
func TestLargeAnswersAreNotLost(t *testing.T) { checkAnswersArrive(t, largeAnswer, 40) }

// Guards against the same with the largest answers, one of which takes all of a sidecar's memory for clients.
func TestLargestAnswersAreNotLost(t *testing.T) {
	const largest = sidecarMemoryMB << 20 / 20
	for _, callers := range []int{1, 10} {
		t.Run(fmt.Sprint(callers, " callers"), func(t *testing.T) { checkAnswersArrive(t, largest, callers) })
	}
}

// checkAnswersArrive lets callers ask for answers of a size at once. Each request must be answered whole or
// refused before it ran.
func checkAnswersArrive(t *testing.T, size, callers int) {
	c := startClusterAnswering(t, 0, size)
	endEntry, endSidecar := c.entry.observe(), c.sidecar.observe()
	var all sync.WaitGroup
	for range max(1, int(*scale*float64(callers))) {
		all.Go(func() {
			var received countingWriter
			res, err := c.client().Submit(context.Background(), &v1.SubmitRequest{Customer: customer, RequestId: daemon.NewID(), Service: notices, Body: []byte("a notice"), TimeoutMs: waitTimeout.Milliseconds()}, &received)
			var refused *connect.Error
			if errors.As(err, &refused) && refused.Meta().Get(api.MetaOutcome) != "" {
				return // nothing of it ran
			}
			assert.Check(t, err)
			switch res.Outcome.GetState() {
			case v1.OutcomeState_OUTCOME_STATE_RAN:
				assert.Check(t, int(received) >= size, "%d bytes of the answer", received)
			case v1.OutcomeState_OUTCOME_STATE_NOT_RUN:
			default:
				t.Errorf("outcome %v: %s", res.Outcome.GetState(), res.Outcome.GetCause())
			}
		})
	}
	all.Wait()
	entry, sidecar := endEntry(), endSidecar()
	t.Logf("peaks: entry %.0f MB of %d, sidecar %.0f MB of %d", entry.memoryMB, entryMemoryMB, sidecar.memoryMB, sidecarMemoryMB)
	assert.Check(t, entry.memoryMB <= entryMemoryMB)
	assert.Check(t, sidecar.memoryMB <= sidecarMemoryMB)
}

// countingWriter counts what is written.
type countingWriter int

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// Guards against an entry that ends by the memory of answers that their callers begin to read and then
// leave unread, and against a sidecar whose entry takes no further answers.
func TestAnswersThatAreNotReadAtEntry(t *testing.T) {
	const begun = 8 << 10 // bytes
	c := startClusterAnswering(t, 0, largeAnswer)
	endSidecar := c.sidecar.observe()
	c.withstand(c.entry, entryMemoryMB, &crowd{addr: c.entry.http, clients: 200, ethernet: true, send: func(cc *conn) error {
		message := submission(t, len("a notice"))
		if err := cc.write(cc.head(submitPath, "Content-Type: application/connect+proto", fmt.Sprint("Content-Length: ", len(message)))); err != nil {
			return err
		}
		if _, err := cc.Write(message); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(cc), nil)
		if err != nil {
			return err
		}
		_, err = io.CopyN(io.Discard, resp.Body, begun)
		return err
	}})
	peak := endSidecar()
	assert.Assert(t, c.sidecar.alive(), "the sidecar has ended")
	assert.Assert(t, peak.memoryMB <= sidecarMemoryMB, "peak of the sidecar's memory %.0f MB, limit %d MB", peak.memoryMB, sidecarMemoryMB)
}

// Guards against an entry that ends by the memory of replies to other processes that are not read.
func TestAnswersAtLinkPortOfEntryThatAreNotRead(t *testing.T) {
	const calls = 20
	c := startClusterAnswering(t, 0, largeAnswer)
	id := daemon.NewID()
	_, err := c.client().Submit(context.Background(), &v1.SubmitRequest{Customer: customer, RequestId: id, Service: notices, Body: []byte("a notice"), TimeoutMs: waitTimeout.Milliseconds()}, io.Discard)
	assert.NilError(t, err)
	query, err := json.Marshal(wire.OutcomeQuery{Key: model.RequestKey{Customer: customer, ID: id}})
	assert.NilError(t, err)
	c.withstand(c.entry, entryMemoryMB, &crowd{addr: c.entry.link, clients: 30, ethernet: true, send: func(cc *conn) error {
		_ = cc.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for i := range calls {
			call, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": i, "method": wire.MethodOutcome, "params": wire.Envelope{Body: query}})
			if err != nil {
				return err
			}
			if _, err := cc.Write(append(binary.AppendUvarint(nil, uint64(len(call))), call...)); err != nil {
				return err
			}
		}
		_, err := io.CopyN(io.Discard, cc, 1) // until replies are written
		return err
	}})
}

// Guards against an entry that ends by the memory of listings that are not read.
func TestListingsThatAreNotReadAtEntry(t *testing.T) {
	const templates, parameter = 5, 800 << 10
	c := startCluster(t, 0)
	for i := range templates {
		_, err := c.client().Operators.SetTemplate(context.Background(), connect.NewRequest(&v1.SetTemplateRequest{
			Template: &v1.Template{Customer: fmt.Sprint("customer-", i), Parameters: map[string]string{"text": strings.Repeat("p", parameter)}},
			Author:   "test", WaitMs: waitTimeout.Milliseconds(),
		}))
		assert.NilError(t, err)
	}
	c.withstand(c.entry, entryMemoryMB, &crowd{addr: c.entry.http, clients: 100, ethernet: true, send: func(cc *conn) error {
		if err := cc.write(cc.head("/skylarkwood.v1.OperatorService/ListTemplates", "Content-Type: application/proto", "Connect-Protocol-Version: 1", "Content-Length: 0")); err != nil {
			return err
		}
		_, err := io.CopyN(io.Discard, cc, 1) // until the response is written
		return err
	}})
}

// Guards against a router that ends by the memory of its configuration, which others ask for and do not read.
func TestConfigurationsAtPeersPortThatAreNotRead(t *testing.T) {
	const size, calls = 1 << 20, 10
	r := startRouterConfigured(t, 0, nil, append(configuration(t), bytes.Repeat([]byte(" "), size)...))
	query, err := json.Marshal(wire.RouterConfigRequest{Servers: true})
	assert.NilError(t, err)
	r.withstand(&crowd{addr: r.settings.Router.Peers, clients: listenerCrowd, ethernet: true, send: func(cc *conn) error {
		_ = cc.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for i := range calls {
			call, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": i, "method": wire.MethodRouterConfig, "params": wire.Envelope{From: "127.0.0.1:1", Body: query}})
			if err != nil {
				return err
			}
			if _, err := cc.Write(append(binary.AppendUvarint(nil, uint64(len(call))), call...)); err != nil {
				return err
			}
		}
		_, err := io.CopyN(io.Discard, cc, 1) // until replies are written
		return err
	}})
	assertAcceptsCalls(t, r.settings.Router.Peers)
}

package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine that responded must not stay lost, or a request may run on more engines than its
// route allows. Older responses and other incarnations do not count.
func TestRespondingEngineIsNoLongerLost(t *testing.T) {
	const responseTime = 100 * time.Millisecond
	const same, other, unknown = `{"born":100}`, `{"born":200}`, `{}`
	lost := model.Incarnation{ID: "one", Born: 100}
	for name, c := range map[string]struct {
		requestOffset time.Duration // relative to the recorded exit
		response      string
		lost          bool
	}{
		"requested after the exit":  {requestOffset: time.Millisecond, response: same, lost: false},
		"requested before the exit": {requestOffset: -responseTime / 2, response: same, lost: true},
		"another incarnation":       {requestOffset: time.Millisecond, response: other, lost: true},
		"start time unknown":        {requestOffset: time.Millisecond, response: unknown, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(model.Route{MaxAttempts: 2}, true, func(context.Context, string, *Request) (*Response, error) {
					time.Sleep(responseTime)
					return reportResponse(c.response), nil
				})
				b := *s.Catalog.Load().ByID("one")
				b.Born = lost.Born
				s.Catalog.Put(b)
				time.AfterFunc(responseTime, func() { s.Suspects.Exited(lost) })
				time.Sleep(responseTime + c.requestOffset)
				_, err := s.Report(t.Context(), &b)
				assert.Equal(t, err != nil, c.response == other, "%v", err)
				assert.Equal(t, s.Suspects.Lost(lost), c.lost)
				q := &request{Relay: s.Relay, call: &model.Call{Attempt: "1"}}
				q.admitted.Route = &model.Route{MaxAttempts: 2}
				ran := &stream{request: q, firstEngines: map[model.Incarnation]bool{lost: true, inc("two"): true}}
				assert.Equal(t, ran.allowedFirstEngines() == nil, c.lost, "a third engine may run it")
			})
		})
	}
}

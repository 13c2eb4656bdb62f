package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// Guards against treating an engine that restarts empty under the same ID and address as the
// old one.
func TestEngineRestartsWithSameID(t *testing.T) {
	s := newSite(t, 2)
	s.fleet.Events = 200
	restarted := s.engineAtStage(1)
	held := restarted.Holds()
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/1"})) })
	}
	time.Sleep(200 * time.Millisecond)
	restarted.RestartSameID()
	restarted.Register()
	all.Wait()
	s.eventually("layers are loaded again", func() bool { return restarted.Holds() == held })
	assert.Equal(t, restarted.Orders(), int64(1), "order count did not restart")
	s.fleet.Events = 20
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/2"}))
}

// Guards against missing a restart that no entry announces: the engine's report must
// suffice.
func TestEngineReportRevealsRestart(t *testing.T) {
	s := newSite(t, 1)
	restarted := s.engineAtStage(1)
	held := restarted.Holds()
	restarted.RestartSameID()
	s.eventually("layers are loaded again", func() bool {
		// The refused stream makes the router query the engine.
		s.call(s.routers[0], requestSpec{path: "/sheet/1"})
		return restarted.Holds() == held
	})
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/2"}))
}

// Guards against waiting for a server that restarted while it ran a notice. The caller
// must get 502 promptly, since the notice may have run.
func TestNoticeFailsWhenServerRestarts(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Hang: true})
	}
	attempt := newAttempt()
	answered := make(chan response, 1)
	began := time.Now()
	go func() {
		answered <- s.call(s.routers[0], requestSpec{path: "/notice/1", body: "arrived", attempt: attempt, deadline: 15 * time.Second})
	}()
	s.eventually("the notice is running", func() bool { return len(s.fleet.Runs(attempt)) == 1 })
	for _, e := range s.plain {
		e.RestartSameID()
		e.Register()
	}
	rep := <-answered
	assert.Equal(t, rep.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < 8*time.Second, "answered only at the route's timeout")
	assert.Equal(t, len(s.fleet.Runs(attempt)), 1)
	assert.Equal(t, s.call(s.routers[0], requestSpec{path: "/notice/2", body: "arrived"}).status, http.StatusOK)
}

// Guards against invalid server entries beside or over the own entry of an engine.
func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	s := newSite(t, 2)
	overwritten := s.engineAtStage(1)
	key, original := overwritten.Entry()
	invalid := []string{
		"", "\x00\xff", "null", "[]", "7", `{"state":"ready"}`, `{"service":"sheets","address":7}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"resting","type":"fast","layers":{"from":0,"to":12}}`,
		`{"service":"nobody","address":"127.0.0.1:1","zone":"a","state":"ready"}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"ready","type":"fast","slots":9,"layers":{"from":0,"to":"all"}}`,
		`{"service":"sheets","address":"127.0.0.1:65536","zone":"a","state":"ready","type":"fast","layers":{"from":0,"to":12}}`,
		`{"service":"sheets","address":"127.0.0.1:0","zone":"a","state":"ready","type":"fast","layers":{"from":0,"to":12}}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"ready","type":"fast","slots":1e400}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"ready","type":"fast","layers":` + strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000) + `}`,
	}
	for i, value := range invalid {
		overwritten.PutEntry("servers/odd-"+string(rune('a'+i)), []byte(value))
		overwritten.PutEntry(key, []byte(value))
		for _, r := range s.routers {
			s.assertComplete(s.call(r, requestSpec{path: "/sheet/1"}))
		}
	}
	for _, e := range s.engines {
		if e != overwritten && e.Holds() == overwritten.Holds() {
			e.StopResponding()
		}
	}
	overwritten.PutEntry(key, original)
	s.eventually("the engine serves again", func() bool { return s.call(s.routers[0], requestSpec{path: "/sheet/1"}).status == http.StatusOK })
}

// Another program may list running engines under a service that no configuration names. Guards against
// taking the engines for exited: their streams would run again elsewhere, and they would get no others.
func TestEntriesOfUnknownServicesEndNoStreams(t *testing.T) {
	s := newSite(t, 2)
	s.fleet.Events = 150
	attempts := make([]string, 6)
	var all sync.WaitGroup
	for i := range attempts {
		attempts[i] = newAttempt()
		all.Go(func() {
			s.assertComplete(s.call(s.routers[i%2], requestSpec{path: "/sheet/1", attempt: attempts[i]}))
		})
	}
	s.eventually("the streams run", func() bool {
		for _, attempt := range attempts {
			if len(s.fleet.Runs(attempt)) == 0 {
				return false
			}
		}
		return true
	})
	for i, e := range s.engines {
		e.PutEntry(fmt.Sprint("servers/foreign-", i), fmt.Appendf(nil,
			`{"service":"elsewhere","address":%q,"zone":"a","state":"ready","type":"fast","born":%d}`, e.Address(), time.Now().UnixMilli()))
	}
	all.Wait()
	for _, attempt := range attempts {
		assert.Equal(t, len(s.fleet.Runs(attempt)), 1)
	}
	s.fleet.Events = 20
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/2"}))
}

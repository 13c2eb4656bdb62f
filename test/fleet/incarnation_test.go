package fleet

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// An engine in the middle of chains crashes and is back at once under its id and
// address, empty. Its entry tells only of its new start. Streams that ran there go
// on elsewhere, it is loaded again, and it serves.
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
	s.eventually("it is loaded again", func() bool { return restarted.Holds() == held })
	assert.Equal(t, restarted.Orders(), int64(1), "its count of orders began anew")
	s.fleet.Events = 20
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/2"}))
}

// The same where no entry tells of the new start: what a report says of it is
// enough to load it again.
func TestEngineReportRevealsRestart(t *testing.T) {
	s := newSite(t, 1)
	restarted := s.engineAtStage(1)
	held := restarted.Holds()
	restarted.RestartSameID()
	s.eventually("it is loaded again", func() bool {
		// A stream through it is refused; whoever looks into that learns of the start.
		s.call(s.routers[0], requestSpec{path: "/sheet/1"})
		return restarted.Holds() == held
	})
	s.assertComplete(s.call(s.routers[0], requestSpec{path: "/sheet/2"}))
}

// A notice is at a server that goes silent and comes back under its id. Nobody
// will answer it any more: its caller is told so now, with 502 as it may have run,
// and not at the end of its time.
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
	s.eventually("it runs", func() bool { return len(s.fleet.Runs(attempt)) == 1 })
	for _, e := range s.plain {
		e.RestartSameID()
		e.Register()
	}
	rep := <-answered
	assert.Equal(t, rep.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < 8*time.Second, "before the route's time is over")
	assert.Equal(t, len(s.fleet.Runs(attempt)), 1)
	assert.Equal(t, s.call(s.routers[0], requestSpec{path: "/notice/2", body: "arrived"}).status, http.StatusOK)
}

// Another writer puts odd entries beside and in place of the engines' own. None is
// used, the others serve on, and an engine's next heartbeat brings it back.
func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	s := newSite(t, 2)
	overwritten := s.engineAtStage(1)
	key, original := overwritten.Entry()
	invalid := []string{
		"", "\x00\xff", "null", "[]", "7", `{"state":"ready"}`, `{"service":"sheets","address":7}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"resting","type":"fast","layers":{"from":0,"to":12}}`,
		`{"service":"nobody","address":"127.0.0.1:1","zone":"a","state":"ready"}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"ready","type":"fast","slots":9,"layers":{"from":0,"to":"all"}}`,
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
	s.eventually("it serves again", func() bool { return s.call(s.routers[0], requestSpec{path: "/sheet/1"}).status == http.StatusOK })
}

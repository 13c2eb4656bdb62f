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
func TestEngineReturnsUnderItsID(t *testing.T) {
	s := newSite(t, 2)
	s.fleet.Events = 200
	back := s.partOf(1)
	held := back.Holds()
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { s.whole(s.call(s.routers[0], ask{path: "/sheet/1"})) })
	}
	time.Sleep(200 * time.Millisecond)
	back.RestartSameID()
	back.Register()
	all.Wait()
	s.eventually("it is loaded again", func() bool { return back.Holds() == held })
	assert.Equal(t, back.Orders(), int64(1), "its count of orders began anew")
	s.fleet.Events = 20
	s.whole(s.call(s.routers[0], ask{path: "/sheet/2"}))
}

// The same where no entry tells of the new start: what a report says of it is
// enough to load it again.
func TestReportTellsOfANewStart(t *testing.T) {
	s := newSite(t, 1)
	back := s.partOf(1)
	held := back.Holds()
	back.RestartSameID()
	s.eventually("it is loaded again", func() bool {
		// A stream through it is refused; whoever looks into that learns of the start.
		s.call(s.routers[0], ask{path: "/sheet/1"})
		return back.Holds() == held
	})
	s.whole(s.call(s.routers[0], ask{path: "/sheet/2"}))
}

// A notice is at a server that goes silent and comes back under its id. Nobody
// will answer it any more: its caller is told so now, with 502 as it may have run,
// and not at the end of its time.
func TestNoticeAtAServerThatReturns(t *testing.T) {
	s := newSite(t, 1)
	for _, e := range s.plain {
		e.SetFaults(standin.EngineFaults{Hang: true})
	}
	attempt := newAttempt()
	answered := make(chan reply, 1)
	began := time.Now()
	go func() {
		answered <- s.call(s.routers[0], ask{path: "/notice/1", body: "arrived", attempt: attempt, deadline: 15 * time.Second})
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
	assert.Equal(t, s.call(s.routers[0], ask{path: "/notice/2", body: "arrived"}).status, http.StatusOK)
}

// Another writer puts odd entries beside and in place of the engines' own. None is
// used, the others serve on, and an engine's next heartbeat brings it back.
func TestEntriesOfOtherWriters(t *testing.T) {
	s := newSite(t, 2)
	victim := s.partOf(1)
	key, own := victim.Entry()
	odd := []string{
		"", "\x00\xff", "null", "[]", "7", `{"state":"ready"}`, `{"service":"sheets","address":7}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"resting","type":"fast","layers":{"from":0,"to":12}}`,
		`{"service":"nobody","address":"127.0.0.1:1","zone":"a","state":"ready"}`,
		`{"service":"sheets","address":"127.0.0.1:1","zone":"a","state":"ready","type":"fast","slots":9,"layers":{"from":0,"to":"all"}}`,
	}
	for i, value := range odd {
		victim.PutEntry("servers/odd-"+string(rune('a'+i)), []byte(value))
		victim.PutEntry(key, []byte(value))
		for _, r := range s.routers {
			s.whole(s.call(r, ask{path: "/sheet/1"}))
		}
	}
	for _, e := range s.engines {
		if e != victim && e.Holds() == victim.Holds() {
			e.StopResponding()
		}
	}
	victim.PutEntry(key, own)
	s.eventually("it serves again", func() bool { return s.call(s.routers[0], ask{path: "/sheet/1"}).status == http.StatusOK })
}

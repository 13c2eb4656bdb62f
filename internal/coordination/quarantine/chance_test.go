package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loseAndServe makes a server exit under one request of customer "school", beside others of which
// some are lost there and some are served elsewhere.
func (tr *testTracker) loseAndServe(n, lost, served int) {
	subject := func(i int, customer string) Subject {
		s := partSubject(n*1000+i, customer)
		s.Service = "sheets"
		return s
	}
	runs := []*Run{tr.Begin(subject(0, "school"), false, at(n))}
	for i := range lost {
		runs = append(runs, tr.Begin(subject(1+i, fmt.Sprint("other", n, i)), false, at(100+n)))
	}
	tr.now += 400 * time.Millisecond
	tr.ServerExited(server(n), at(n).Domain)
	tr.ServerExited(server(100+n), at(100+n).Domain)
	for _, r := range runs {
		r.End(ConnectionLost)
	}
	for i := range served {
		tr.Begin(subject(500+i, fmt.Sprint("served", n, i)), false, at(200+n)).End(Completed)
	}
	tr.EvaluateSuspects()
}

func (tr *testTracker) traitVerdicts() (n int) {
	for _, v := range tr.Verdicts() {
		if len(v.Traits) > 0 {
			n++
		}
	}
	return n
}

// Half of all requests are lost while servers exit. Guards against refusing a customer whose
// requests happened to be among them each time.
func TestCustomerIsNotBlamedWhileOthersAreLostToo(t *testing.T) {
	tr := newTestTracker()
	for n := range 7 {
		tr.loseAndServe(n, 10, 10)
	}
	tr.now += traitEvidenceDelay
	tr.EvaluateSuspects()
	assert.Equal(t, tr.traitVerdicts(), 0)
}

// The same exits while all other requests are served. Guards against evidence that never suffices.
func TestCustomerIsBlamedWhileOthersAreServed(t *testing.T) {
	tr := newTestTracker()
	for n := range 7 {
		tr.loseAndServe(n, 0, 20)
	}
	tr.now += traitEvidenceDelay
	tr.EvaluateSuspects()
	assert.Equal(t, tr.traitVerdicts(), 1)
}

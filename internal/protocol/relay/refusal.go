package relay

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/platform"
)

// logRefusal logs and counts a refusal by the server that a request was sent to. suspected
// tells whether the server was left alone already, chosenMs how old the choice of the server
// was, and ms how long the server took to respond.
func (q *request) logRefusal(b *model.BackendServer, v platform.ResponseInfo, status int, elapsed time.Duration) {
	q.Observer.Refusal(q.admitted.Service.Name, v.Pause > 0)
	klog.InfoS("request refused by backend server", "request", q.call.Attempt, "server", b.Incarnation(), "status", status,
		"pause", v.Pause, "header", v.PauseHeader, "leaving", v.Leaving, "failedEngine", v.FailedEngine,
		"suspected", q.Health.Suspected(b.Incarnation()), "chosenMs", q.Now().Sub(q.chosenAt).Milliseconds(), "ms", elapsed.Milliseconds(), "sends", q.sends)
}

// handleRefusal records which engine refused to run its stage.
func (s *stream) handleRefusal(stages []chains.Stage, v platform.ResponseInfo, status int) {
	refusing := stages[0].Server
	for _, stage := range stages {
		if stage.Server.Address == v.FailedEngine {
			refusing = stage.Server
		}
	}
	s.avoid[refusing.Incarnation()] = true
	if v.Misdirected {
		// The engine is another incarnation, which its report shows, or holds other
		// layers, which only its registry entry shows because reports lag.
		until, isNew := s.Health.Suspect(refusing.Incarnation())
		if isNew && refusing.Born != 0 {
			go s.VerifyIncarnation(*refusing)
		}
		klog.InfoS("engine suspected: it does not hold the layers of its stage", "request", s.call.Attempt, "server", refusing.Incarnation(), "until", until)
	} else {
		if refusing != stages[0].Server {
			s.Pauses.Request(refusing.Incarnation(), v.Pause) // it is at fault; the first one has responded
		}
		s.Suspects.Refused(refusing, s.call.Attempt, status, v.Pause)
	}
}

// handleRerouteRefusal records which engine a path was refused for. An engine that the
// stream used before is lost to all streams. Another one may only be full.
func (w *chainWatch) handleRerouteRefusal(server *model.BackendServer, before []chains.Stage, err error) {
	if uses(before, server.Incarnation()) {
		w.failEngine(server, err)
		return
	}
	w.q.Suspects.Refused(server, w.q.call.Attempt, http.StatusConflict, 0)
}

package relay

import (
	"time"

	"k8s.io/klog/v2"

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

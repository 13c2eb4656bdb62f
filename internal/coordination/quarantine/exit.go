package quarantine

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// serverExit is the exit of one server process.
type serverExit struct {
	domain string
	// service is that of the requests there, or empty if it is not known.
	service  string
	at       time.Duration
	requests map[model.Fingerprint]participation
	// traits holds the traits of these requests, with the number of requests.
	traits      map[Trait]int
	explanation explanation
	// lost is the number of requests of this router there whose response had not proceeded.
	lost int
	// moment caches the moment of the exit as of momentAt, 0 if it is not known yet.
	moment   moment
	momentAt time.Duration
	// truncated reports that the server ran more requests than are kept.
	truncated bool
}

// serviceOf returns the service of requests of this router at one server, or "" if there are none.
func serviceOf(requests map[model.Fingerprint]participation) string {
	for _, p := range requests {
		return p.service
	}
	return ""
}

// countLost adds requests of this router to those that the exit interrupted.
func (e *serverExit) countLost(requests map[model.Fingerprint]participation) {
	for _, p := range requests {
		if !p.proceeded {
			e.lost++
		}
	}
}

// participation describes how a request took part at a server that exited.
type participation struct {
	// responseStarted reports that the response had started. A request that makes servers
	// exit as soon as they run it never gets that far.
	responseStarted bool
	// laterStage reports that the server ran a stage of the request's chain other than the
	// first.
	laterStage bool
	// proceeded reports that the response had proceeded for some time, so that its start was
	// not why the server exited.
	proceeded bool
	// customer, route and parts are those of Subject.
	customer, route string
	parts           []string
	// service is that of a request of this router.
	service string
}

// traits returns the traits under suspicion after the exit.
func (p participation) traits() []Trait {
	if p.proceeded {
		return nil
	}
	return traitsOf(p.customer, p.route, p.parts)
}

// mergeParticipation adds a request to those at an exit. If it is present already, the result is
// the stronger evidence of the two.
func mergeParticipation(requests map[model.Fingerprint]participation, fp model.Fingerprint, p participation) {
	if before, ok := requests[fp]; ok {
		p.responseStarted = p.responseStarted && before.responseStarted
		p.laterStage = p.laterStage && before.laterStage
		p.proceeded = p.proceeded && before.proceeded
	}
	requests[fp] = p
}

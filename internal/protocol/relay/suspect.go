package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// evidencePollInterval is the interval at which a request waits for pending evidence.
	evidencePollInterval = 20 * time.Millisecond
	// trialPollInterval is the interval between attempts to get a trial.
	trialPollInterval = 100 * time.Millisecond
	// suspectCost is the cost per token that each suspect at an engine adds for another
	// one. It spreads suspects over engines of similar speed.
	suspectCost = time.Millisecond
	// listenTimeout bounds the check whether a process still listens.
	listenTimeout = 400 * time.Millisecond
)

// exclusions is where a suspect may not run now: at servers that run another suspect, and
// in failure domains where a server just exited under it.
type exclusions struct {
	servers map[model.Incarnation]bool
	domains map[string]bool
	// trialOnly is set if the request may run only in a trial, suspect if it must be
	// kept away from other suspects.
	trialOnly, suspect bool
}

func (e *exclusions) excludes(s *model.BackendServer) bool {
	return e.servers[s.Incarnation()] || e.domains[s.FailureDomain]
}

// firstStageCost returns the cost per token of a suspect at an engine as first stage. Other
// suspects there raise it and, for a request in a trial, all streams that its failure
// would interrupt.
func (q *request) firstStageCost(engine model.Incarnation, streams float64) time.Duration {
	load := float64(q.Quarantine.SuspectRuns(engine))
	if q.excluded.trialOnly {
		load += streams
	}
	return time.Duration(load * float64(suspectCost))
}

// fingerprint returns the request's fingerprint, which is the same for all its attempts.
func (q *request) fingerprint() model.Fingerprint {
	q.fingerprintOnce.Do(func() { q.cachedFingerprint = q.call.Fingerprint(q.admitted.Customer) })
	return q.cachedFingerprint
}

// subject describes the request to the quarantine.
func (q *request) subject() quarantine.Subject {
	s := quarantine.Subject{Fingerprint: q.fingerprint, Customer: q.admitted.Customer, Parts: q.call.PromptParts}
	if q.admitted.Route != nil {
		s.Route = q.admitted.Route.Name
	}
	if q.admitted.Service != nil {
		s.Service = q.admitted.Service.Name
	}
	return s
}

// checkQuarantine returns the restriction on the request, or an error if it may not be sent.
// It waits for evidence that is pending.
//
// It is called before each send, so that a request that makes servers exit is stopped
// across its retries and across routers.
func (q *request) checkQuarantine(ctx context.Context) (quarantine.Assessment, *fault.Error) {
	if !q.Quarantine.HasSuspects() {
		q.excluded = exclusions{}
		return quarantine.Assessment{}, nil
	}
	v := q.Quarantine.Assess(q.subject())
	for v.Restriction == quarantine.Undecided {
		if !wait.For(ctx, evidencePollInterval) {
			return v, q.contextError(ctx)
		}
		v = q.Quarantine.Assess(q.subject())
	}
	q.excluded.suspect = v.Restriction != quarantine.Unrestricted
	q.excluded.trialOnly = v.Restriction == quarantine.TrialOnly
	q.excluded.domains = v.AvoidDomains
	if !q.excluded.trialOnly {
		q.excluded.servers = nil
	}
	if v.Restriction == quarantine.Quarantined {
		return v, q.quarantineError(v)
	}
	return v, nil
}

// quarantineError returns the final error for a quarantined request. Its message states what
// the servers that exited had in common, and whether this attempt ran.
func (q *request) quarantineError(v quarantine.Assessment) *fault.Error {
	klog.InfoS("quarantined request refused", "request", q.call.Attempt, "work", q.fingerprint(), "traits", v.Traits, "ends", v.Exits, "runs", q.runs)
	cause := suspectDescription(v)
	if q.runs == 0 {
		return fault.New(fault.Quarantined, "quarantined: %d backend servers exited while running %s; this attempt did not run", v.Exits, cause)
	}
	return fault.New(fault.Quarantined, "quarantined: %d backend servers exited while running %s; this attempt started at %d backend servers and will not be run again", v.Exits, cause, q.runs)
}

// startTrial asks for a trial at servers. A server that runs another suspect is excluded.
func (q *request) startTrial(ctx context.Context, v quarantine.Assessment, servers []model.Incarnation) permission {
	if caller.Check(ctx, caller.Waiting) != nil {
		return notNow
	}
	g := q.RequestTrial(ctx, q.subject(), servers)
	klog.InfoS("trial requested", "request", q.call.Attempt, "work", q.fingerprint(), "traits", v.Traits, "servers", len(servers), "first", servers[0], "granted", g.Granted, "busy", g.BusyServer, "waitMs", g.WaitMS)
	switch {
	case g.Granted:
		return runNow
	case g.BusyServer == (model.Incarnation{}) || q.excluded.servers[g.BusyServer]:
		return notNow
	}
	if q.excluded.servers == nil {
		q.excluded.servers = map[model.Incarnation]bool{}
	}
	q.excluded.servers[g.BusyServer] = true
	return chooseAgain
}

func (q *request) trialError(v quarantine.Assessment) *fault.Error {
	return fault.New(fault.OnTrial, "%d backend servers exited while running %s, so it may run only in a trial, and none is available", v.Exits, suspectDescription(v))
}

// suspectDescription names what servers that exited had in common, for error messages.
func suspectDescription(v quarantine.Assessment) string {
	if len(v.Traits) == 0 {
		return "this request"
	}
	return fmt.Sprintf("requests with %v", v.Traits)
}

// reservePermitted reserves a chain for the stream's next run at engines where the request
// may run. A suspect gets engines that run no other suspect.
func (s *stream) reservePermitted(ctx context.Context) ([]chains.Stage, *chains.Reservation, *fault.Error) {
	until := s.Now().Add(callerGapTimeout)
	for {
		v, f := s.checkQuarantine(ctx)
		if f != nil {
			return nil, nil, f
		}
		stages, reservation, f := s.reserveChain(ctx)
		if f != nil && v.Restriction != quarantine.TrialOnly {
			return nil, nil, f
		}
		if f == nil {
			perm := s.permissionAt(ctx, stages, v)
			if perm == runNow {
				return stages, reservation, nil
			}
			reservation.Release()
			s.returnPermission(stages[0].Server.Incarnation())
			s.WaitQueue.Notify()
			if perm == chooseAgain {
				continue
			}
		}
		// A stream that has run is retried for callerGapTimeout. A new one is refused,
		// because its caller may retry.
		if s.runs == 0 || !s.Now().Before(until) || !wait.For(ctx, trialPollInterval) {
			return nil, nil, s.trialError(v)
		}
		clear(s.excluded.servers)
	}
}

// permission is the decision whether a request may run at the servers chosen for it.
type permission int

const (
	runNow permission = iota
	// chooseAgain means that servers must be chosen again, or the restriction checked again.
	chooseAgain
	// notNow means that the request is already running somewhere.
	notNow
)

// permissionAt reports whether the stream may run at the chosen engines. The restriction may
// have changed since the given assessment.
func (s *stream) permissionAt(ctx context.Context, stages []chains.Stage, before quarantine.Assessment) permission {
	if !s.Quarantine.HasSuspects() {
		return runNow
	}
	v := s.Quarantine.Assess(s.subject())
	switch {
	case v.Restriction != before.Restriction:
		return chooseAgain
	case v.Restriction != quarantine.TrialOnly:
		return runNow
	}
	servers := engines(stages)
	if !v.LaterStage {
		servers = servers[:1]
	}
	return s.startTrial(ctx, v, servers)
}

// mayReroute reports whether a running stream may be rerouted. A request that makes the
// engines of later stages exit could otherwise do so several times in one run.
func (q *request) mayReroute() bool {
	return !q.Quarantine.HasSuspects() || q.Quarantine.Assess(q.subject()).Restriction < quarantine.TrialOnly
}

// pickServer chooses a server of a plain service for the next attempt. It returns nil if
// there is none.
func (q *request) pickServer(ctx context.Context) (*model.BackendServer, *fault.Error) {
	v, f := q.checkQuarantine(ctx)
	if f != nil {
		return nil, f
	}
	for {
		server := q.takeServer()
		switch {
		case server != nil && v.Restriction != quarantine.TrialOnly:
			return server, nil
		case server == nil && v.Restriction == quarantine.TrialOnly:
			return nil, q.trialError(v)
		case server == nil:
			return nil, nil
		}
		perm := q.startTrial(ctx, v, []model.Incarnation{server.Incarnation()})
		if perm == runNow {
			return server, nil
		}
		q.returnPermission(server.Incarnation())
		switch {
		case ctx.Err() != nil:
			return nil, q.contextError(ctx)
		case perm == notNow:
			return nil, q.trialError(v)
		}
	}
}

// locations returns the servers of a chain with their failure domains.
func locations(stages []chains.Stage) []quarantine.Location {
	out := make([]quarantine.Location, len(stages))
	for i, stage := range stages {
		out[i] = quarantine.Location{Server: stage.Server.Incarnation(), Domain: stage.Server.FailureDomain}
	}
	return out
}

// confirmExits checks whether the processes of servers that lost the connection to a suspect
// still run. The request waits for that, as an exit is otherwise reported late: for a plain
// service only when a successor registers.
func (r *Relay) confirmExits(servers []model.Incarnation) {
	for _, server := range servers {
		if b := r.Catalog.Load().Find(server); b != nil {
			go r.confirmExit(b)
		}
	}
}

func (r *Relay) confirmExit(b *model.BackendServer) {
	ctx, cancel := r.Processor.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	switch err := r.CheckListening(ctx, b.Address); {
	case err == nil:
		r.Quarantine.ServerAlive(b.Incarnation())
	case errors.Is(err, ErrRefused):
		r.recordServerExit(b)
	}
}

// recordServerExit records a server's exit, for which a request may be responsible. The exit
// of a draining server is expected and not counted.
func (r *Relay) recordServerExit(b *model.BackendServer) {
	if !b.Draining {
		r.Quarantine.ServerExited(b.Incarnation(), b.FailureDomain)
	}
}

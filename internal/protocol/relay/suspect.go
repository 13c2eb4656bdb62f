package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// undecidedPoll is between two looks at a request of which the next evidence is due.
	evidencePollInterval = 20 * time.Millisecond
	// barredPoll is between two tries to run a request alone.
	trialPollInterval = 100 * time.Millisecond
	// apartTime is what each suspect at an engine makes it cost a token for another one:
	// about the difference between two cards of a kind under load, so that they spread.
	suspectCost = time.Millisecond
	// listenTimeout bounds asking whether a process still listens.
	listenTimeout = 400 * time.Millisecond
)

// exclusions is where a suspect may not run now: at servers that run another one, and in
// failure domains where one just ended under it.
type exclusions struct {
	servers map[model.Incarnation]bool
	domains map[string]bool
	// alone says that the request runs alone, suspect that others of its kind keep away.
	trialOnly, suspect bool
}

func (e *exclusions) excludes(s *model.BackendServer) bool {
	return e.servers[s.Incarnation()] || e.domains[s.FailureDomain]
}

// beginCost is what it costs a suspect to begin at an engine: it keeps away from others of
// its kind, and one that runs alone from engines that have many streams to lose.
func (q *request) firstStageCost(engine model.Incarnation, streams float64) time.Duration {
	load := float64(q.Quarantine.SuspectRuns(engine))
	if q.excluded.trialOnly {
		load += streams
	}
	return time.Duration(load * float64(suspectCost))
}

// work names what the request asks for, which its attempts have in common.
func (q *request) fingerprint() model.Fingerprint {
	q.fingerprintOnce.Do(func() { q.cachedFingerprint = q.call.Fingerprint(q.admitted.Customer) })
	return q.cachedFingerprint
}

// standing tells whether the request may be sent to a server, and how; a fault says that it
// may not. Where evidence is due that decides it, it waits for that.
//
// It is asked before each send, the first as well as repeated ones: a request that ends the
// servers which run it would else end one with each send, and with each return of its
// caller, here or at another router.
func (q *request) checkQuarantine(ctx context.Context) (quarantine.Assessment, *fault.Error) {
	if !q.Quarantine.HasSuspects() {
		q.excluded = exclusions{}
		return quarantine.Assessment{}, nil
	}
	v := q.Quarantine.Assess(q.fingerprint())
	for v.Restriction == quarantine.Undecided {
		if !wait.For(ctx, evidencePollInterval) {
			return v, q.contextError(ctx)
		}
		v = q.Quarantine.Assess(q.fingerprint())
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

// quarantined is the final answer for a request under which servers end. It says whether
// this attempt ran.
func (q *request) quarantineError(v quarantine.Assessment) *fault.Error {
	klog.InfoS("request goes to no server", "request", q.call.Attempt, "work", q.fingerprint(), "ends", v.Exits, "runs", q.runs)
	if q.runs == 0 {
		return fault.New(fault.Quarantined, "%d backend servers ended under this request; it was not run this time", v.Exits)
	}
	return fault.New(fault.Quarantined, "%d backend servers ended under this request; this time it was begun at %d of them and will not be run again", v.Exits, q.runs)
}

// tryAlone asks for a trial at servers. Where one of them runs another suspect it is barred.
func (q *request) startTrial(ctx context.Context, servers []model.Incarnation) permission {
	g := q.RequestTrial(ctx, q.fingerprint(), servers)
	klog.InfoS("request asks for a trial", "request", q.call.Attempt, "work", q.fingerprint(), "servers", len(servers), "first", servers[0], "granted", g.Granted, "busy", g.BusyServer, "waitMs", g.WaitMS)
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

func (q *request) trialError(exits int) *fault.Error {
	return fault.New(fault.OnTrial, "%d backend servers ended under this request, so it runs alone, and there is no room for that", exits)
}

// reservePermitted finds engines for the stream's next run and reserves its memory. A suspect gets
// engines that run no other one.
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
			s.WaitQueue.Notify()
			if perm == chooseAgain {
				continue
			}
		}
		// Who has begun to run keeps its place for a while; a new one may come back.
		if s.runs == 0 || !s.Now().Before(until) || !wait.For(ctx, trialPollInterval) {
			return nil, nil, s.trialError(v.Exits)
		}
		clear(s.excluded.servers)
	}
}

// permission is whether a request may run at servers that were found for it.
type permission int

const (
	runNow permission = iota
	// lookAgain asks for other servers, or for another look at the request's standing.
	chooseAgain
	// notNow says that the request runs somewhere already.
	notNow
)

// mayRunAt tells whether the stream may run at the engines that were found for it. Finding
// them may have taken a while, in which more was learnt.
func (s *stream) permissionAt(ctx context.Context, stages []chains.Stage, before quarantine.Assessment) permission {
	if !s.Quarantine.HasSuspects() {
		return runNow
	}
	v := s.Quarantine.Assess(s.fingerprint())
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
	return s.startTrial(ctx, servers)
}

// mayMove tells whether a running stream may be moved to another engine: a request that
// ends engines as a later part of a chain would else end one after the other in one run.
func (q *request) mayReroute() bool {
	return !q.Quarantine.HasSuspects() || q.Quarantine.Assess(q.fingerprint()).Restriction < quarantine.TrialOnly
}

// pickAlone chooses a server of a plain service for the next try.
func (q *request) pickServer(ctx context.Context) (*model.BackendServer, *fault.Error) {
	v, f := q.checkQuarantine(ctx)
	if f != nil {
		return nil, f
	}
	for {
		server := q.leastCostServer()
		switch {
		case server != nil && v.Restriction != quarantine.TrialOnly:
			return server, nil
		case server == nil && v.Restriction == quarantine.TrialOnly:
			return nil, q.trialError(v.Exits)
		case server == nil:
			return nil, nil
		}
		switch q.startTrial(ctx, []model.Incarnation{server.Incarnation()}) {
		case runNow:
			return server, nil
		case notNow:
			return nil, q.trialError(v.Exits)
		}
	}
}

// resultOf tells what the end of a run without a whole answer says of its request.
func runResult(reason endReason, err error) quarantine.Result {
	if !errors.Is(err, ErrNotSent) && (reason == connectionLost || reason == engineExited) {
		return quarantine.ConnectionLost
	}
	return quarantine.Inconclusive
}

// survivedIf is what a single answer says, which was read whole unless err tells otherwise.
func bufferedResult(run context.Context, err error) quarantine.Result {
	if err == nil {
		return quarantine.Completed
	}
	return runResult(endReasonOf(run, err), err)
}

// places lists the servers of a chain with their failure domains.
func locations(stages []chains.Stage) []quarantine.Location {
	out := make([]quarantine.Location, len(stages))
	for i, stage := range stages {
		out[i] = quarantine.Location{Server: stage.Server.Incarnation(), Domain: stage.Server.FailureDomain}
	}
	return out
}

// confirm asks servers at which a suspect broke off whether their processes go on: the
// request waits for that, and others tell of it late, of a plain service only when a
// successor registers.
func (r *Relay) confirmExits(servers []model.Incarnation) {
	for _, server := range servers {
		if b := r.Catalog.Load().Find(server); b != nil {
			go r.confirmExit(b)
		}
	}
}

func (r *Relay) confirmExit(b *model.BackendServer) {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	switch err := r.CheckListening(ctx, b.Address); {
	case err == nil:
		r.Quarantine.ServerAlive(b.Incarnation())
	case errors.Is(err, ErrRefused):
		r.recordServerExit(b)
	}
}

// endedUnder takes in that a server's process ended, which may be the fault of a request.
// One that was leaving ends as planned.
func (r *Relay) recordServerExit(b *model.BackendServer) {
	if !b.Draining {
		r.Quarantine.ServerExited(b.Incarnation(), b.FailureDomain)
	}
}

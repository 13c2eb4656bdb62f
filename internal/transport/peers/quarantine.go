package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/quarantine"
	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// trialTimeout is the timeout for asking one trial coordinator. An answer takes 2 ms,
	// or 20 ms from a busy router.
	trialTimeout = 150 * time.Millisecond
	// maxCoordinators is how many routers are asked, one after the other, until one
	// answers.
	maxCoordinators = 2
	// reminderInterval is the interval at which verdicts and the exits under restricted requests
	// are sent again, each time to one peer. This reaches routers that missed them.
	reminderInterval = time.Second
)

// Quarantine exchanges reports on requests that crash servers between routers, and
// coordinates their trials.
type Quarantine struct {
	Exchange *Exchange
	Tracker  *quarantine.Tracker
	Trials   *quarantine.Trials
}

// Register registers the methods that peers call.
func (q *Quarantine) Register(s *link.Server) {
	s.Register(wire.MethodRouterQuarantine, link.Handle(q.handleReport))
	s.Register(wire.MethodRouterTrial, link.Handle(q.handleTrialRequest))
}

// Run sends reports to the peers until ctx is done.
func (q *Quarantine) Run(ctx context.Context) {
	before, after := quarantine.ReportDelays()
	reminder := time.NewTicker(reminderInterval)
	defer reminder.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reminder.C:
			q.sendReminder()
		case <-q.Tracker.ReportDue():
			wait.For(ctx, before)
			if r, ok := q.Tracker.TakeReport(); ok {
				q.sendReport(r, q.Exchange.peers()...)
			}
			wait.For(ctx, after)
		}
	}
}

// sendReport sends a report to peers without waiting for them.
func (q *Quarantine) sendReport(r quarantine.Report, peers ...string) {
	for _, addr := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			if err := q.Exchange.Pool.Notify(ctx, addr, wire.MethodRouterQuarantine, r); err != nil {
				klog.V(1).InfoS("sending quarantine report to peer failed", "peer", addr, "err", err)
			}
		}()
	}
}

// sendReminder sends a reminder to one random peer, if there is anything to remind it of.
func (q *Quarantine) sendReminder() {
	peers := q.Exchange.peers()
	if len(peers) == 0 {
		return
	}
	if r, ok := q.Tracker.Reminder(); ok {
		q.sendReport(r, peers[rand.IntN(len(peers))])
	}
}

func (q *Quarantine) handleReport(_ context.Context, from string, r quarantine.Report) (struct{}, error) {
	q.Tracker.ApplyReport(r, from)
	return struct{}{}, nil
}

func (q *Quarantine) handleTrialRequest(_ context.Context, from string, req wire.RouterTrialRequest) (quarantine.Grant, error) {
	subject := quarantine.Subject{
		Fingerprint: func() model.Fingerprint { return req.Fingerprint },
		Customer:    req.Customer, Route: req.Route, Parts: req.Parts[:min(len(req.Parts), model.MaxPromptParts)],
	}
	grant := q.Trials.Request(subject, req.Servers)
	klog.InfoS("trial requested", "work", req.Fingerprint, "peer", from, "servers", len(req.Servers), "granted", grant.Granted, "busy", grant.BusyServer)
	return grant, nil
}

// RequestTrial asks the router that coordinates trials whether a suspect may run at
// servers. If no coordinator answers, no trial is granted.
func (q *Quarantine) RequestTrial(ctx context.Context, subject quarantine.Subject, servers []model.Incarnation) quarantine.Grant {
	req := wire.RouterTrialRequest{Fingerprint: subject.Fingerprint(), Servers: servers, Customer: subject.Customer, Route: subject.Route, Parts: subject.Parts}
	for _, addr := range q.trialCoordinators() {
		if addr == q.Exchange.Self {
			return q.Trials.Request(subject, servers)
		}
		var grant quarantine.Grant
		callCtx, cancel := context.WithTimeout(ctx, trialTimeout)
		err := q.Exchange.Pool.Call(callCtx, addr, wire.MethodRouterTrial, req, &grant)
		cancel()
		if err == nil {
			return grant
		}
		klog.InfoS("trial coordinator did not respond", "peer", addr, "work", req.Fingerprint, "err", err)
	}
	return quarantine.Grant{}
}

// trialCoordinators returns the routers to ask for trials, in order. All routers rank the
// reachable ones alike by rendezvous hashing.
func (q *Quarantine) trialCoordinators() []string {
	reachable := []string{q.Exchange.Self}
	for addr := range q.Exchange.ReachablePeers() {
		reachable = append(reachable, addr)
	}
	const purpose = "trials"
	slices.SortFunc(reachable, func(a, b string) int { return cmp.Compare(spread.Hash(purpose, a), spread.Hash(purpose, b)) })
	return reachable[:min(len(reachable), maxCoordinators)]
}

// PersisterRank returns the rank of this router among those that store verdicts. The
// router with rank 0 is first.
func (q *Quarantine) PersisterRank() int {
	const purpose = "verdicts"
	rank := 0
	for addr := range q.Exchange.ReachablePeers() {
		if spread.Hash(purpose, addr) < spread.Hash(purpose, q.Exchange.Self) {
			rank++
		}
	}
	return rank
}

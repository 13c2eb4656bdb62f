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
	// trialWait bounds asking the keeper of trials; it takes 2 ms, or 20 at a busy peer.
	trialWait = 150 * time.Millisecond
	// trialKeepers is how many routers are asked in turn where the first does not answer.
	trialKeepers = 2
	// remindEvery is between two reminders of verdicts, each to one peer: who was away
	// when one was told hears of it so.
	remindEvery = time.Second
	// mostReminded bounds the verdicts of one reminder.
	mostReminded = 16
)

// Quarantine is what routers tell each other of requests under which servers end.
type Quarantine struct {
	Exchange *Exchange
	Tracker  *quarantine.Tracker
	Trials   *quarantine.Trials
}

// Register adds the methods that peers call.
func (q *Quarantine) Register(s *link.Server) {
	s.Register(wire.MethodRouterQuarantine, link.Handle(q.heard))
	s.Register(wire.MethodRouterTrial, link.Handle(q.trial))
}

// Run tells the peers until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	before, after := quarantine.ReportDelays()
	remind := time.NewTicker(remindEvery)
	defer remind.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-remind.C:
			q.remind()
		case <-q.Tracker.ReportDue():
			wait.For(ctx, before)
			if r, ok := q.Tracker.TakeReport(); ok {
				q.tell(r, q.Exchange.peers()...)
			}
			wait.For(ctx, after)
		}
	}
}

// tell sends a report to peers, without waiting for them.
func (q *Quarantine) tell(r quarantine.Report, peers ...string) {
	for _, addr := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			if err := q.Exchange.Pool.Notify(ctx, addr, wire.MethodRouterQuarantine, r); err != nil {
				klog.V(1).InfoS("peer not told of requests under which servers end", "peer", addr, "err", err)
			}
		}()
	}
}

// remind tells one peer the verdicts, if there are any.
func (q *Quarantine) remind() {
	sentences := q.Tracker.Verdicts()
	peers := q.Exchange.peers()
	if len(sentences) == 0 || len(peers) == 0 {
		return
	}
	rand.Shuffle(len(sentences), func(i, j int) { sentences[i], sentences[j] = sentences[j], sentences[i] })
	q.tell(quarantine.Report{Verdicts: sentences[:min(len(sentences), mostReminded)]}, peers[rand.IntN(len(peers))])
}

func (q *Quarantine) heard(_ context.Context, from string, r quarantine.Report) (struct{}, error) {
	q.Tracker.ApplyReport(r, from)
	return struct{}{}, nil
}

func (q *Quarantine) trial(_ context.Context, from string, ask wire.RouterTrialRequest) (quarantine.Grant, error) {
	g := q.Trials.Request(ask.Fingerprint, ask.Servers)
	klog.InfoS("trial of a request", "work", ask.Fingerprint, "peer", from, "servers", len(ask.Servers), "granted", g.Granted, "busy", g.BusyServer)
	return g, nil
}

// RequestTrial asks for a run of a suspect at servers, of the router that keeps trials. Where none
// answers there is no trial.
func (q *Quarantine) RequestTrial(ctx context.Context, work model.Fingerprint, servers []model.Incarnation) quarantine.Grant {
	for _, addr := range q.keepers() {
		if addr == q.Exchange.Self {
			return q.Trials.Request(work, servers)
		}
		var g quarantine.Grant
		asking, cancel := context.WithTimeout(ctx, trialWait)
		err := q.Exchange.Pool.Call(asking, addr, wire.MethodRouterTrial, wire.RouterTrialRequest{Fingerprint: work, Servers: servers}, &g)
		cancel()
		if err == nil {
			return g
		}
		klog.InfoS("keeper of trials does not answer", "peer", addr, "work", work, "err", err)
	}
	return quarantine.Grant{}
}

// keepers lists the routers to ask, the first of all that are alive by rendezvous hashing.
func (q *Quarantine) keepers() []string {
	alive := []string{q.Exchange.Self}
	for addr := range q.Exchange.ReachablePeers() {
		alive = append(alive, addr)
	}
	const what = "trials"
	slices.SortFunc(alive, func(a, b string) int { return cmp.Compare(spread.Hash(what, a), spread.Hash(what, b)) })
	return alive[:min(len(alive), trialKeepers)]
}

// PersisterRank is this router's place in the order of those who store verdicts.
func (q *Quarantine) PersisterRank() int {
	const what = "verdicts"
	rank := 0
	for addr := range q.Exchange.ReachablePeers() {
		if spread.Hash(what, addr) < spread.Hash(what, q.Exchange.Self) {
			rank++
		}
	}
	return rank
}

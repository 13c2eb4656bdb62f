package faultsoak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// sheetsByPriority are the routes of the sheets service, the most urgent first.
var sheetsByPriority = []string{"sheet", "sheet1", "sheet2"}

const (
	// shortageMbps is the rate of the interconnect in a shortage. A sheet takes 100 + 60 tokens
	// of activationBytes, and about half of the rate is usable, so it carries some 30 per second.
	shortageMbps = 1200
	// shortageCallers send a sheet each shortageInterval, or when the last one is answered:
	// some 140 per second.
	shortageCallers  = 36
	shortageInterval = 250 * time.Millisecond
	// minRefusedShare is the share of refused sheets from which on a run has a shortage.
	minRefusedShare = 0.1
	// maxPriorityGap is the maximum by which the served share of a priority may be below that
	// of a less urgent one.
	maxPriorityGap = 0.05
)

// soakShortage runs callers of three priorities whose sheets all need the interconnect, which
// is too small for them, while the store's watches fall silent.
func soakShortage(t *testing.T, seed uint64) {
	s := newSite(t, rand.New(rand.NewPCG(seed, seed)), siteOptions{routers: *routers, sheets: sheetsByPriority, interconnectMbps: shortageMbps})
	defer s.close()
	s.kinds = []func(time.Duration){s.silenceWatches, s.compact}
	begin := time.Now()
	end := begin.Add(*faultDuration)
	var all sync.WaitGroup
	for i := range shortageCallers {
		c := &client{site: s, rnd: rand.New(rand.NewPCG(seed, s.rnd.Uint64()))}
		all.Go(func() {
			for time.Now().Before(end) {
				next := time.Now().Add(shortageInterval)
				c.request(s.routers[c.rnd.IntN(len(s.routers))], s.sheets[i%len(s.sheets)])
				c.closeConn()
				time.Sleep(time.Until(next))
			}
		})
	}
	for time.Now().Before(end) {
		s.injectFault()
		time.Sleep(s.faultInterval())
	}
	all.Wait()
	shares := s.servedShares(begin)
	s.clearFaults()
	s.waitRecovered()
	s.check()
	for p := 1; p < len(shares); p++ {
		if best := slices.Max(shares[p:]); shares[p-1] < best-maxPriorityGap {
			t.Errorf("priority %d was served a share of %.3f, a less urgent one %.3f", p-1, shares[p-1], best)
		}
	}
	if t.Failed() {
		t.Fatalf("seed %d failed; router logs are in %s", seed, s.logDir())
	}
}

// servedShares returns the share of the sheets since a time that were served, by priority.
func (s *site) servedShares(since time.Time) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, served := make([]float64, len(s.sheets)), make([]float64, len(s.sheets))
	refused, total := 0.0, 0.0
	for _, q := range s.sent {
		p := slices.Index(s.sheets, q.kind)
		if p < 0 || q.began.Before(since) {
			continue
		}
		total++
		sent[p]++
		switch q.status {
		case http.StatusOK:
			served[p]++
		case http.StatusServiceUnavailable:
			refused++
		}
	}
	if refused < minRefusedShare*total {
		s.t.Errorf("%.0f of %.0f sheets were refused, which is no shortage", refused, total)
	}
	for p := range sent {
		served[p] /= max(sent[p], 1)
	}
	s.t.Logf("sheets: %.0f, refused: %.0f, served by priority: %.3f", total, refused, served)
	return served
}

// silenceWatches makes the store's watches deliver nothing, while it answers other calls. At
// the end it discards its history.
func (s *site) silenceWatches(d time.Duration) {
	s.store.SetFaults(standin.StoreFaults{SilentWatches: true, UnansweredWatches: s.rnd.IntN(2) == 0})
	s.runAfter(2*d, func() {
		s.store.Compact()
		s.store.SetFaults(standin.StoreFaults{})
	})
}

// crowdedShare is the share of a core that a crowded router has.
const crowdedShare = 0.05

// crowdRouter makes most new connections go to one router, whose process gets little processor time
// until it exits or the fault ends.
func (s *site) crowdRouter(d time.Duration) {
	r := s.randomRouter()
	if r.current() == nil || r.current().cmd.Process == nil || !s.crowded.CompareAndSwap(nil, r) {
		return
	}
	l := r.limit(perPeriod(crowdedShare, tenth))
	end := r.recordCrowd()
	s.runAfter(2*d, func() {
		l.stop()
		end()
		s.crowded.Store(nil)
	})
}

// recordCrowd records that the router is crowded until the result is called.
func (r *router) recordCrowd() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.crowds)
	r.crowds = append(r.crowds, span{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.crowds[i].to = time.Now()
	}
}

func (r *router) crowdedBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.crowds, func(s span) bool { return s.overlaps(from, to) })
}

package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
)

const (
	// watchersPerDomain is how many routers of a failure domain watch the store. The
	// others poll these. With two, the failure of one does not leave the domain to
	// remote watchers.
	watchersPerDomain = 2
	// maxRemoteWatchers is how many routers of other failure domains are polled before
	// the store if no watcher of the own domain answers. Traffic between domains has
	// a cost too, but less than calls to the store.
	maxRemoteWatchers = 2
	// failedSourceDelay is how long a failed source is not used, plus up to half of it
	// at random, so that routers do not return to it at once. A killed process restarts
	// within two seconds.
	failedSourceDelay = 2 * time.Second
	// minStartShare is the part of a watcher's link in Mbit/s that each of the routers which
	// poll it must have to get the full contents from it: compressed, they take about a second.
	minStartShare = 1
	// watcherCountAge is how old the number of watchers may be. It is asked for with each
	// heartbeat, and to rank hundreds of routers each time takes too much processor time.
	watcherCountAge = 500 * time.Millisecond
)

// Router is another router that is reachable.
type Router struct {
	Address string
	Domain  string
	// LinkMbps is the bandwidth of its link in Mbit/s; 0 means unknown.
	LinkMbps float64
	// Heard is set if the router sent a heartbeat to this process. One that is only registered may
	// have ended.
	Heard bool
}

// Source is where a router gets the updates of the store.
type Source struct {
	// Address is a router's link address. It is empty for the store itself.
	Address string
	// Reason is why the source was chosen, for the log.
	Reason string
	// Fallback is set if the store was chosen because no watcher answers.
	Fallback bool
}

// IsStore reports whether the source is the store itself.
func (s Source) IsStore() bool { return s.Address == "" }

// Picker chooses the source of updates. All routers rank the routers of a failure
// domain alike: those with the widest links first, as a watcher sends each change to half
// of its domain, and these by rendezvous hashing. They agree on its watchers without
// messages, and the failure of one moves only the routers that polled it.
type Picker struct {
	// Self is this router's link address, and Domain its failure domain.
	Self, Domain string
	LinkMbps     float64 // of this router's link
	// Routers returns the other routers that are reachable.
	Routers func() []Router
	Clock   func() time.Duration

	mu           sync.Mutex
	avoidUntil   map[string]time.Duration // by address; the store's is empty
	unheard      map[string]unheardState  // by address
	watcherCount int                      // at countedAt
	countedAt    time.Duration
}

// Pick returns the source to use next.
func (p *Picker) Pick() Source {
	domains := p.watchers()
	own := domains[p.Domain]
	watcher := slices.Contains(own, p.Self)
	if watcher && !p.isAvoided("") {
		return Source{Reason: "this router watches for its failure domain"}
	}
	if addr := p.localWatcher(own); addr != "" {
		return Source{Address: addr, Reason: "watches for this failure domain"}
	}
	for _, addr := range p.remoteWatchers(domains) {
		if !p.isAvoided(addr) {
			return Source{Address: addr, Reason: "watches for another failure domain"}
		}
	}
	if watcher { // which the store turned away
		for _, addr := range p.firstSubstitutes() {
			if !p.isAvoided(addr) {
				return Source{Address: addr, Reason: "may watch in place of this router"}
			}
		}
	}
	return Source{Reason: "no watcher answers", Fallback: true}
}

// Substitutes returns the routers of this failure domain that do not watch the store, in the order
// in which they replace its watchers.
func (p *Picker) Substitutes() []string {
	routers := []Router{{Address: p.Self, Domain: p.Domain, LinkMbps: p.LinkMbps}}
	for _, r := range p.routers() {
		if r.Domain == p.Domain && r.Address != p.Self {
			routers = append(routers, r)
		}
	}
	ranked := rank(routers, p.Domain)
	return ranked[min(len(ranked), watchersPerDomain):]
}

func (p *Picker) firstSubstitutes() []string {
	substitutes := p.Substitutes()
	return substitutes[:min(len(substitutes), maxSubstitutes)]
}

// PeersAndSubstitutes returns the routers that a watcher may poll if the store fails, in the order
// in which they are picked.
func (p *Picker) PeersAndSubstitutes() []string {
	return append(p.Peers(), slices.DeleteFunc(p.firstSubstitutes(), p.isAvoided)...)
}

// Peers returns the routers that this one may poll if it does not use the store, in the order
// in which they are picked.
func (p *Picker) Peers() []string {
	domains := p.watchers()
	var out []string
	if addr := p.localWatcher(domains[p.Domain]); addr != "" {
		out = append(out, addr)
	}
	return append(out, slices.DeleteFunc(p.remoteWatchers(domains), p.isAvoided)...)
}

// Watchers returns the other routers that watch the store, over all failure domains, without
// those that failed.
func (p *Picker) Watchers() []string {
	var out []string
	for _, addrs := range p.watchers() {
		out = append(out, addrs...)
	}
	sortByHash(out, p.Self)
	return slices.DeleteFunc(out, func(addr string) bool { return addr == p.Self || p.isAvoided(addr) })
}

// PickForStart returns the source of the first contents. All routers may ask for them at once,
// so a watcher must have a wide link.
func (p *Picker) PickForStart() Source {
	s := p.Pick()
	if s.IsStore() || p.startShare(s.Address) >= minStartShare {
		return s
	}
	return Source{Reason: "the watcher's link is too narrow for the full contents"}
}

// startShare returns the part of a watcher's link, in Mbit/s, for each router that polls it.
func (p *Picker) startShare(watcher string) float64 {
	routers := p.routers()
	i := slices.IndexFunc(routers, func(r Router) bool { return r.Address == watcher })
	if i < 0 {
		return 0
	}
	askers := 0
	for _, r := range routers {
		if r.Domain == routers[i].Domain {
			askers++
		}
	}
	return routers[i].LinkMbps * watchersPerDomain / float64(askers)
}

// ForgetFailures makes sources that failed be picked again.
func (p *Picker) ForgetFailures() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil = nil
}

// MarkFailed records that a source did not respond or is behind others. It is not picked
// for failedSourceDelay.
func (p *Picker) MarkFailed(s Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	if p.avoidUntil == nil {
		p.avoidUntil = map[string]time.Duration{}
	}
	for addr, until := range p.avoidUntil {
		if now >= until {
			delete(p.avoidUntil, addr)
		}
	}
	p.avoidUntil[s.Address] = now + limits.Jitter(failedSourceDelay)
}

// WatcherCount returns the number of routers that watch the store, over all failure
// domains. It is counted anew once per watcherCountAge.
func (p *Picker) WatcherCount() int {
	now := p.Clock()
	p.mu.Lock()
	count, countedAt := p.watcherCount, p.countedAt
	p.mu.Unlock()
	if count > 0 && now-countedAt < watcherCountAge {
		return count
	}
	count = 0
	for _, names := range p.watchers() {
		count += len(names)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watcherCount, p.countedAt = count, now
	return count
}

// watchers returns the link addresses of each failure domain's watchers, by rank.
func (p *Picker) watchers() map[string][]string {
	byDomain := map[string][]Router{p.Domain: {{Address: p.Self, LinkMbps: p.LinkMbps}}}
	for _, r := range p.routers() {
		if r.Address != p.Self {
			byDomain[r.Domain] = append(byDomain[r.Domain], r)
		}
	}
	watchers := make(map[string][]string, len(byDomain))
	for domain, routers := range byDomain {
		watchers[domain] = rankWatchers(routers, domain)
	}
	return watchers
}

// rankWatchers returns the link addresses of the watchers among the routers of a failure
// domain, by rank.
func rankWatchers(routers []Router, domain string) []string {
	ranked := rank(routers, domain)
	return ranked[:min(len(ranked), watchersPerDomain)]
}

// rank returns the link addresses of the routers of a failure domain in the order in which they
// are its watchers.
func rank(routers []Router, domain string) []string {
	hashes := make(map[string]uint64, len(routers))
	for _, r := range routers {
		hashes[r.Address] = spread.Hash(domain, r.Address)
	}
	slices.SortFunc(routers, func(a, b Router) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hashes[a.Address], hashes[b.Address]), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, len(routers))
	for i, r := range routers {
		out[i] = r.Address
	}
	return out
}

// localWatcher returns the watcher that this router polls, or an empty string. Routers
// spread over the watchers of their domain.
func (p *Picker) localWatcher(watchers []string) string {
	candidates := slices.DeleteFunc(slices.Clone(watchers), func(addr string) bool { return addr == p.Self || p.isAvoided(addr) })
	if len(candidates) == 0 {
		return ""
	}
	sortByHash(candidates, p.Self)
	return candidates[0]
}

// remoteWatchers returns the watchers of other failure domains that this router may
// poll.
func (p *Picker) remoteWatchers(domains map[string][]string) []string {
	var all []string
	for domain, names := range domains {
		if domain != p.Domain {
			all = append(all, names...)
		}
	}
	sortByHash(all, p.Self)
	return all[:min(len(all), maxRemoteWatchers)]
}

func (p *Picker) isAvoided(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Clock() < p.avoidUntil[addr]
}

// sortByHash sorts names by rendezvous hashing with seed.
func sortByHash(names []string, seed string) {
	hashes := make(map[string]uint64, len(names))
	for _, name := range names {
		hashes[name] = spread.Hash(seed, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}

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
)

// Router is another router with a recent heartbeat.
type Router struct {
	Address string
	Domain  string
}

// Source is where a router gets the updates of the store.
type Source struct {
	// Address is a router's link address. It is empty for the store itself.
	Address string
	// Reason is why the source was chosen, for the log.
	Reason string
}

// IsStore reports whether the source is the store itself.
func (s Source) IsStore() bool { return s.Address == "" }

// Picker chooses the source of updates. All routers rank the routers of a failure
// domain alike, by rendezvous hashing. They agree on its watchers without messages, and
// the failure of one moves only the routers that polled it.
type Picker struct {
	// Self is this router's link address, and Domain its failure domain.
	Self, Domain string
	// Routers returns the other routers with recent heartbeats.
	Routers func() []Router
	Clock   func() time.Duration

	mu         sync.Mutex
	avoidUntil map[string]time.Duration // by address; the store's is empty
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
	return Source{Reason: "no watcher answers"}
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
// domains.
func (p *Picker) WatcherCount() int {
	n := 0
	for _, names := range p.watchers() {
		n += len(names)
	}
	return n
}

// watchers returns the link addresses of each failure domain's watchers, by rank.
func (p *Picker) watchers() map[string][]string {
	domains := map[string][]string{p.Domain: {p.Self}}
	for _, r := range p.Routers() {
		if r.Address != p.Self {
			domains[r.Domain] = append(domains[r.Domain], r.Address)
		}
	}
	for domain, names := range domains {
		sortByHash(names, domain)
		domains[domain] = names[:min(len(names), watchersPerDomain)]
	}
	return domains
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

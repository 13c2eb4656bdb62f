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
	// watchersPerDomain is how many routers of a failure domain ask the store; the
	// others ask these. Each change of the store is a priced call of each of them. One
	// would leave its domain to others whenever it is killed or frozen; two die at one
	// moment only with much of their domain.
	watchersPerDomain = 2
	// foreignTries is how many routers of other domains are asked, once those of the
	// own one do not answer, before the store: what they tell crosses domains, which is
	// priced too, but less than a call to the store.
	foreignTries = 2
	// avoidTime is how long a source that failed is left alone, and up to half of that
	// again at random: those who left it at one moment do not come back at one. A killed
	// process is there again within a second or two, and an outage seen by one router
	// alone takes seconds.
	avoidTime = 2 * time.Second
)

// Router is another router that was heard of lately.
type Router struct {
	Address string
	Domain  string
}

// Source is who is asked for news of the store.
type Source struct {
	// Address is a router's link address; empty for the store itself.
	Address string
	// Reason tells what made it the choice, for the log.
	Reason string
}

// IsStore tells whether the store itself is asked.
func (s Source) IsStore() bool { return s.Address == "" }

// Picker chooses whom a router asks for news of the store. All routers rank those of a
// failure domain alike, by rendezvous hashing, so that they agree on its watchers
// without asking each other, and the loss of one moves nobody but its own askers.
type Picker struct {
	// Self is this router's link address.
	Self, Domain string
	// Routers lists the other routers that were heard of lately.
	Routers func() []Router
	Clock   func() time.Duration

	mu    sync.Mutex
	avoid map[string]time.Duration // by address, until when; the store's is empty
}

// Pick chooses a source.
func (p *Picker) Pick() Source {
	domains := p.watchers()
	own := domains[p.Domain]
	watcher := slices.Contains(own, p.Self)
	if watcher && !p.avoided("") {
		return Source{Reason: "this router watches for its failure domain"}
	}
	if addr := p.first(own); addr != "" {
		return Source{Address: addr, Reason: "watches for this failure domain"}
	}
	for _, addr := range p.foreign(domains) {
		if !p.avoided(addr) {
			return Source{Address: addr, Reason: "watches for another failure domain"}
		}
	}
	return Source{Reason: "no watcher answers"}
}

// MarkFailed takes in that a source did not answer, or knows less than others.
func (p *Picker) MarkFailed(s Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	if p.avoid == nil {
		p.avoid = map[string]time.Duration{}
	}
	for addr, until := range p.avoid {
		if now >= until {
			delete(p.avoid, addr)
		}
	}
	p.avoid[s.Address] = now + limits.Jitter(avoidTime)
}

// WatcherCount counts the routers that ask the store, over all failure domains.
func (p *Picker) WatcherCount() int {
	n := 0
	for _, names := range p.watchers() {
		n += len(names)
	}
	return n
}

// watchers gives the watchers of each failure domain, by rank.
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

// first gives the watcher that this router asks; routers divide themselves among them.
func (p *Picker) first(watchers []string) string {
	mine := slices.DeleteFunc(slices.Clone(watchers), func(addr string) bool { return addr == p.Self || p.avoided(addr) })
	if len(mine) == 0 {
		return ""
	}
	sortByHash(mine, p.Self)
	return mine[0]
}

// foreign gives the watchers of other failure domains that this router may ask.
func (p *Picker) foreign(domains map[string][]string) []string {
	var all []string
	for domain, names := range domains {
		if domain != p.Domain {
			all = append(all, names...)
		}
	}
	sortByHash(all, p.Self)
	return all[:min(len(all), foreignTries)]
}

func (p *Picker) avoided(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Clock() < p.avoid[addr]
}

// sortByHash orders names by rendezvous hashing for one who chooses among them.
func sortByHash(names []string, chooser string) {
	hashes := make(map[string]uint64, len(names))
	for _, name := range names {
		hashes[name] = spread.Hash(chooser, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}

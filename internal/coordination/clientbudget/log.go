package clientbudget

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

type yieldReason int

const (
	memoryYielded yieldReason = iota
	connectionYielded
	yieldReasons
)

type refusalReason int

const (
	memoryRefused refusalReason = iota
	connectionRefused
	serverRefused // a connection to a backend server
	refusalReasons
)

const (
	// logInterval is the time between two log lines while clients are refused or yield.
	logInterval = time.Second
	// loggedHolders is the number of accounts that a line names.
	loggedHolders = 3
)

// usageLog counts and logs refusals and yields. Totals are logged too, as a line may be dropped in a
// process that logs too much.
type usageLog struct {
	at         time.Duration // of the last line
	refusals   [refusalReasons]int
	yields     [yieldReasons]int
	pending    bool // something has happened since the last line
	lastVictim string
}

func (l *usageLog) refused(why refusalReason) {
	l.refusals[why]++
	l.pending = true
}

func (l *usageLog) yielded(why yieldReason, a *Account) {
	l.yields[why]++
	l.pending = true
	l.lastVictim = a.client
}

// write writes a line if something has happened, at most once in logInterval. The caller must hold
// the budget's mutex.
func (l *usageLog) write(now time.Duration, b *Budget) {
	if !l.pending || l.at != 0 && now-l.at < logInterval {
		return
	}
	l.at, l.pending = now, false
	klog.InfoS("clients hold the memory or connections of this process", "usedBytes", b.used, "limitBytes", b.limits.Memory, "detachedBytes", b.detached, "responses", len(b.responses), "responseBytes", b.responseBytes(),
		"connections", b.connectionCounts(), "serverConnections", b.servers,
		"memoryRefusedTotal", l.refusals[memoryRefused], "connectionsRefusedTotal", l.refusals[connectionRefused], "serverConnectionsRefusedTotal", l.refusals[serverRefused],
		"yieldedForMemoryTotal", l.yields[memoryYielded], "yieldedForConnectionTotal", l.yields[connectionYielded],
		"lastYielded", l.lastVictim, "largest", b.largest(now))
}

// Holder is one of the accounts that hold most.
type Holder struct {
	Client   string   `json:"client"`
	Listener Listener `json:"listener"`
	Bytes    int64    `json:"bytes"`
	Phase    string   `json:"phase"`
	// SilentMS is the time without progress.
	SilentMS int64 `json:"silentMs"`
}

func (b *Budget) largest(now time.Duration) []Holder {
	var all []Holder
	for l, c := range b.open {
		for a := range c.accounts {
			all = append(all, Holder{Client: a.client, Listener: l, Bytes: a.held, Phase: a.phase.String(), SilentMS: (now - a.movedAt).Milliseconds()})
		}
	}
	slices.SortFunc(all, func(x, y Holder) int { return cmp.Compare(y.Bytes, x.Bytes) })
	return all[:min(len(all), loggedHolders)]
}

// connectionCounts returns the number of open connections. The caller must hold b.mu.
func (b *Budget) connectionCounts() map[Listener]int {
	counts := map[Listener]int{}
	for l, c := range b.open {
		counts[l] = len(c.accounts)
	}
	return counts
}

// Usage is what clients hold now, and what was refused and has yielded since the start.
type Usage struct {
	Bytes             int64
	Connections       map[Listener]int
	Refusals, Yielded int
}

// Usage returns what clients hold.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Bytes: b.used, Connections: b.connectionCounts()}
	for _, n := range b.log.refusals {
		u.Refusals += n
	}
	for _, n := range b.log.yields {
		u.Yielded += n
	}
	return u
}

package daemon

import (
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/tcp"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/internal/transport/mesh"
)

// newClientBudget returns the budget of a process with a memory in MB and a number of descriptors. 0
// means that the memory is unknown, and that the kernel's limit of descriptors applies.
func newClientBudget(memoryMB float64, descriptors int) *clientbudget.Budget {
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	limits := clientbudget.NewLimits(memoryMB, descriptors)
	klog.InfoS("limits for clients", "memoryBytes", limits.Memory, "largestBodyBytes", limits.LargestBody(),
		"descriptors", descriptors, "connections", limits.Connections)
	started := time.Now()
	return clientbudget.New(limits, func() time.Duration { return time.Since(started) })
}

// limitMemory sets the limit of the garbage collector; memoryMB is 0 if the memory is unknown.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(memoryMB))
	}
}

// keptAnswersShare is the share of the memory of an entry or a sidecar that answers of finished requests
// may use.
const keptAnswersShare = 1.0 / 8

// keptAnswers returns that memory in bytes; memoryMB is 0 if the memory is unknown.
func keptAnswers(memoryMB float64) int64 {
	if memoryMB <= 0 {
		memoryMB = clientbudget.DefaultMemoryMB
	}
	return int64(min(keptAnswersShare*memoryMB*(1<<20), 1<<50))
}

// descriptorLimit returns the number of descriptors that this process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "reading the limit of descriptors failed", "assumed", assumedDescriptors)
		return assumedDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// assumedDescriptors is the usual limit of descriptors of a process.
const assumedDescriptors = 1024

// listenTCP listens for clients. Errors of accept that may pass are retried.
func listenTCP(addr string) (net.Listener, error) {
	l, err := guard.Listen(addr)
	if err != nil {
		return nil, err
	}
	return tcp.RetryAccept(l), nil
}

// httpOptions returns how an entry or a sidecar accepts connections at its HTTP port.
func httpOptions(n *mesh.Node, b *clientbudget.Budget) guard.Options {
	return guard.Options{Budget: b, Listener: clientbudget.Callers, KnownPeer: n.IsMemberHost}
}

// handlePages serves the metrics and the checks of an entry or a sidecar, and nothing else. ready
// returns why it takes no requests.
func handlePages(mux *http.ServeMux, m *metrics, ready func() error) {
	handle := func(pattern string, h http.Handler) { mux.Handle(pattern, guard.WithoutBody(h)) }
	handle("GET /metrics", m.handler())
	handle("GET /healthz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	handle("GET /readyz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}))
	handle("/", http.NotFoundHandler())
}

// isRouterHost reports whether a host is that of another router.
func (r *Router) isRouterHost(host string) bool {
	for addr := range r.exchange.Domains() {
		if h, _, err := net.SplitHostPort(addr); err == nil && h == host && addr != r.settings.Router.Peers {
			return true
		}
	}
	return false
}

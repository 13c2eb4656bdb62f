package daemon

import (
	"bytes"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/boottime"
	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/transport/peers"
)

// configQueue applies configurations in the background. Decoding a large one takes longer on
// a slow processor than other changes may wait. While one is decoded, the newest of those
// that follow is kept.
type configQueue struct {
	apply   func(it external.Item)
	confirm func(at time.Duration)

	mu      sync.Mutex
	running bool
	current queuedConfig
	next    *queuedConfig
}

// queuedConfig is a configuration and the time at which it was last known to be the newest,
// or 0.
type queuedConfig struct {
	item        external.Item
	confirmedAt time.Duration
}

// add queues a configuration.
func (q *configQueue) add(it external.Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next = &queuedConfig{item: it}
	if !q.running {
		q.running = true
		go q.run()
	}
}

// confirmNewest records that the configuration added last was the newest at a time. The
// confirmation takes effect once that configuration is in force.
func (q *configQueue) confirmNewest(at time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.next != nil:
		q.next.confirmedAt = max(q.next.confirmedAt, at)
	case q.running:
		q.current.confirmedAt = max(q.current.confirmedAt, at)
	default:
		q.confirm(at)
	}
}

func (q *configQueue) run() {
	for q.take() {
		q.apply(q.current.item)
	}
}

// take confirms the configuration that was applied and makes the next one current. It
// returns false if there is none.
func (q *configQueue) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.current.confirmedAt > 0 {
		q.confirm(q.current.confirmedAt)
	}
	q.current = queuedConfig{}
	if q.next == nil {
		q.running = false
		return false
	}
	q.current, q.next = *q.next, nil
	return true
}

// applyConfig puts a configuration of the store in force.
func (r *Router) applyConfig(it external.Item) {
	defer (*routerSink)(r).recoverPanic(it)
	before := r.config.Version()
	if p := r.config.Raw(); p != nil && bytes.Equal(p.Raw, it.Value) {
		klog.InfoS("configuration already in force", "version", before, "revision", it.Revision)
		return
	}
	start := time.Now()
	cfg, err := r.decodeConfig(it.Value)
	if err != nil {
		klog.ErrorS(err, "configuration skipped: it cannot be decoded", "revision", it.Revision)
		return
	}
	if before == 0 {
		r.exchange.FetchNewer(cfg.Version)
	}
	origin := r.follower.Origin()
	if !r.config.Apply(cfg, it.Value, origin) {
		klog.InfoS("configuration skipped: not newer than the one in force", "version", cfg.Version, "inForce", r.config.Version())
		return
	}
	r.catalog.SetServices(serviceNames(cfg))
	if largest := r.clients.Limits().LargestBody(); cfg.Limits.BodyBytes > largest {
		klog.InfoS("largest body of the configuration exceeds the memory for clients", "version", cfg.Version, "configured", cfg.Limits.BodyBytes, "largest", largest)
	}
	klog.InfoS("configuration in force", "version", cfg.Version, "before", before, "source", origin, "revision", it.Revision, "age", r.follower.SinceLastContact(),
		"routes", len(cfg.Routes), "customers", len(cfg.Customers), "decoding", time.Since(start))
}

func serviceNames(cfg *model.RouteConfig) map[string]bool {
	names := make(map[string]bool, len(cfg.Services))
	for _, s := range cfg.Services {
		names[s.Name] = true
	}
	return names
}

// lookupValue returns this router's value of a store key or, for an empty key, the
// configuration in force.
func (r *Router) lookupValue(key string) (external.Item, bool) {
	if key != "" {
		return r.follower.Replica.Get(key)
	}
	p := r.config.Raw()
	if p == nil {
		return external.Item{}, false
	}
	return external.Item{Value: p.Raw}, true
}

// knownValue returns the configuration in force if it has a checksum.
func (r *Router) knownValue(checksum uint64) []byte {
	if p := r.config.Raw(); p != nil && xxhash.Sum64(p.Raw) == checksum {
		return p.Raw
	}
	return nil
}

// newValues returns the exchange of large values with peers.
func (r *Router) newValues() *peers.Values {
	return &peers.Values{Pool: r.exchange.Pool, Lookup: r.lookupValue, Known: r.knownValue, Uploads: transfer.NewUploads(boottime.Now)}
}

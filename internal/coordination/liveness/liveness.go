// Package liveness notices the death of engines at once. A stream whose chain
// loses a later part gets no word of it: its first engine goes on waiting, and
// silence shows only after several times the usual pause between events. But a
// process that ends closes its connections; whoever keeps one open sees that in
// a few milliseconds.
package liveness

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/spread"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// watchersPerEngine is how many routers keep a connection to an engine: one may be
	// frozen or cut off. Each reopens it whenever the engine's idle timeout ends.
	watchersPerEngine = 2
	// syncInterval is how often engines and routers are looked over.
	syncInterval = 500 * time.Millisecond
	// retryDelay is after a connection that could not be opened, or that was
	// closed at once: an engine that has too many resets new ones.
	retryDelay = time.Second
)

// Watcher watches engines by a connection kept open to each.
type Watcher struct {
	// Self is this router's name, Routers lists all that are alive.
	Self    string
	Routers func() []string
	// Engines lists the engines that are known.
	Engines func() []*model.BackendServer
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	// OnExit is told of an engine whose process has ended.
	OnExit func(b *model.BackendServer)

	mu      sync.Mutex
	watched map[model.Incarnation]context.CancelFunc
}

// Run watches until ctx ends.
func (s *Watcher) Run(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		s.sync(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sync begins to watch engines that are this router's to watch, and leaves those
// that are not any more.
func (s *Watcher) sync(ctx context.Context) {
	ring := newRing(s.Routers())
	mine := map[model.Incarnation]*model.BackendServer{}
	for _, b := range s.Engines() {
		if ring.assigned(s.Self, b.ID) {
			mine[b.Incarnation()] = b
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched == nil {
		s.watched = map[model.Incarnation]context.CancelFunc{}
	}
	for inc, stop := range s.watched {
		if mine[inc] == nil {
			stop()
			delete(s.watched, inc)
		}
	}
	for inc, b := range mine {
		if s.watched[inc] == nil {
			watch, stop := context.WithCancel(ctx)
			s.watched[inc] = stop
			go s.watch(watch, b)
		}
	}
}

// ring places routers on a circle of hashes. An engine is watched by the first
// few routers after its own hash: routers that know of different ones choose
// almost the same, without asking each other, and finding them takes a binary
// search.
type ring []ringPoint

type ringPoint struct {
	hash   uint64
	router string
}

// pointsPerRouter is how many places each router has on the ring, so that their
// shares differ little.
const pointsPerRouter = 8

func newRing(routers []string) ring {
	out := make(ring, 0, len(routers)*pointsPerRouter)
	for _, r := range routers {
		for i := range pointsPerRouter {
			out = append(out, ringPoint{hash: spread.Hash(r, strconv.Itoa(i)), router: r})
		}
	}
	slices.SortFunc(out, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return out
}

// assigned tells whether a router is among those that watch an engine.
func (r ring) assigned(self, engine string) bool {
	from, _ := slices.BinarySearchFunc(r, spread.Hash(engine), func(p ringPoint, at uint64) int { return cmp.Compare(p.hash, at) })
	var met [watchersPerEngine]string
	n := 0
	for i := 0; i < len(r) && n < watchersPerEngine; i++ {
		next := r[(from+i)%len(r)].router
		if slices.Contains(met[:n], next) {
			continue
		}
		if next == self {
			return true
		}
		met[n] = next
		n++
	}
	return false
}

// watch keeps a connection to one engine open. Its end is no evidence alone, as
// engines close connections that rest; that the port then refuses another is.
// An engine that is cut off or dark refuses nothing.
func (s *Watcher) watch(ctx context.Context, b *model.BackendServer) {
	seen := false
	short := 0 // connections in a row that were closed at once
	for ctx.Err() == nil {
		conn, err := s.Dial(ctx, b.Address)
		if err != nil {
			if seen && ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
				klog.InfoS("engine's process ended", "server", b.Incarnation(), "address", b.Address, "evidence", "a kept connection was closed and a new one refused")
				s.OnExit(b)
				return
			}
			waitRetryDelay(ctx)
			continue
		}
		seen = true
		began := time.Now()
		waitClosed(ctx, conn)
		short++
		if time.Since(began) >= retryDelay {
			short = 0
		}
		// One may have been closed by the end that is looked for.
		if short > 1 {
			waitRetryDelay(ctx)
		}
	}
}

// waitClosed waits until a connection ends, or ctx does. Nothing was asked on it, so
// whatever comes makes it unfit as well.
func waitClosed(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	// The error says only that it ended; what that means the next dial tells.
	_, _ = c.Read(make([]byte, 1))
}

func waitRetryDelay(ctx context.Context) {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

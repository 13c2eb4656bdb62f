// Package liveness detects engine exits quickly. The first engine of a chain is not
// notified when a later one exits, and a timeout on silence takes several times the usual
// interval between events. A process that exits closes its connections, so routers keep
// one open to each engine.
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
	// watchersPerEngine is how many routers keep a connection to an engine, since one
	// router may be frozen or disconnected. Each reconnects after the idle timeout of the
	// engine.
	watchersPerEngine = 2
	// syncInterval is how often the lists of engines and routers are read.
	syncInterval = 500 * time.Millisecond
	// retryDelay is the delay after a failed or immediately closed connection. An engine
	// with too many connections resets new ones.
	retryDelay = time.Second
)

// Watcher detects engine exits through a connection kept open to each assigned engine.
type Watcher struct {
	// Self is the address of this router. Routers returns the addresses of all live
	// routers.
	Self    string
	Routers func() []string
	// Engines returns the known engines.
	Engines func() []*model.BackendServer
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	// OnExit is called with an engine whose process has exited.
	OnExit func(b *model.BackendServer)

	// ring is that of ringRouters. Both are used by sync only.
	ring        ring
	ringRouters []string

	mu      sync.Mutex
	watched map[model.Incarnation]context.CancelFunc
}

// Run watches engines until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		w.sync(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sync starts to watch the engines that are assigned to this router, and stops watching
// the others.
func (w *Watcher) sync(ctx context.Context) {
	engines := w.Engines()
	if len(engines) > 0 {
		w.updateRing()
	}
	assigned := map[model.Incarnation]*model.BackendServer{}
	for _, b := range engines {
		if w.ring.assigned(w.Self, b.ID) {
			assigned[b.Incarnation()] = b
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watched == nil {
		w.watched = map[model.Incarnation]context.CancelFunc{}
	}
	for inc, stop := range w.watched {
		if assigned[inc] == nil {
			stop()
			delete(w.watched, inc)
		}
	}
	for inc, b := range assigned {
		if w.watched[inc] == nil {
			watchCtx, stop := context.WithCancel(ctx)
			w.watched[inc] = stop
			go w.watch(watchCtx, b)
		}
	}
}

// updateRing builds the ring anew if the routers changed. To hash and sort hundreds of routers
// takes most of the time of a sync.
func (w *Watcher) updateRing() {
	routers := w.Routers()
	slices.Sort(routers)
	if slices.Equal(routers, w.ringRouters) {
		return
	}
	w.ring, w.ringRouters = newRing(routers), routers
}

// ring is a consistent hash ring of routers. The first routers after the hash of an engine
// watch it. Routers that know of different routers still choose mostly the same watchers,
// without coordination.
type ring []ringPoint

type ringPoint struct {
	hash   uint64
	router string
}

// pointsPerRouter is how many points each router has on the ring, to balance their shares.
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

// assigned reports whether a router is among those that watch an engine.
func (r ring) assigned(self, engine string) bool {
	from, _ := slices.BinarySearchFunc(r, spread.Hash(engine), func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
	var distinct [watchersPerEngine]string
	n := 0
	for i := 0; i < len(r) && n < watchersPerEngine; i++ {
		next := r[(from+i)%len(r)].router
		if slices.Contains(distinct[:n], next) {
			continue
		}
		if next == self {
			return true
		}
		distinct[n] = next
		n++
	}
	return false
}

// watch keeps a connection to one engine open. A closed connection alone is no evidence of
// an exit, since engines close idle connections. A refused reconnect after it is. An
// engine that is unreachable does not refuse connections.
func (w *Watcher) watch(ctx context.Context, b *model.BackendServer) {
	connected := false
	shortLived := 0 // consecutive connections that were closed at once
	for ctx.Err() == nil {
		conn, err := w.Dial(ctx, b.Address)
		if err != nil {
			if connected && ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
				klog.InfoS("engine process exited", "server", b.Incarnation(), "address", b.Address, "evidence", "open connection was closed and a reconnect was refused")
				w.OnExit(b)
				return
			}
			waitRetryDelay(ctx)
			continue
		}
		connected = true
		opened := time.Now()
		waitClosed(ctx, conn)
		shortLived++
		if time.Since(opened) >= retryDelay {
			shortLived = 0
		}
		// The first such connection is retried at once, as the engine may have exited.
		if shortLived > 1 {
			waitRetryDelay(ctx)
		}
	}
}

// waitClosed waits until a connection ends or ctx is done. No request is sent on it, so
// any received data makes it unusable as well.
func waitClosed(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	// The error does not matter. The next dial shows whether the engine has exited.
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

package mesh

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
	"github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// maxWatchers is how many entries watch the key-value service. The others learn of
	// changes from them. Each watch counts against the call quota, so the number must not
	// grow with the fleet.
	maxWatchers = 3
	// watchTimeout is the timeout of one watch.
	watchTimeout = 5 * time.Second
	// pushesPerSidecar is how many entries notify each sidecar of a new revision.
	pushesPerSidecar = 2
	// maxFetchPeers is how many members are asked for the first configuration.
	maxFetchPeers = 4
	fetchTimeout  = 2 * time.Second
	retryInterval = 300 * time.Millisecond
)

// configRequest requests a configuration without the buckets that the process has already.
type configRequest struct {
	Keys map[int]string `json:"keys"`
}

// configDiff is a configuration without the buckets that the requesting process has.
type configDiff struct {
	Head    config.Head           `json:"head"`
	Changed map[int]config.Bucket `json:"changed"`
}

// configPush is empty. The envelope carries the revision.
type configPush struct{}

func (n *Node) handleConfigFetch(_ context.Context, _ string, req configRequest) (configDiff, error) {
	cur := n.Config.Current()
	return configDiff{Head: cur.Head, Changed: cur.Diff(req.Keys)}, nil
}

func (n *Node) handleConfigPush(context.Context, string, configPush) (struct{}, error) {
	return struct{}{}, nil
}

// observeRevision handles the revision in a message of a peer. That of a sender which neither the list nor
// a response has confirmed is not believed, as anybody can send it.
func (n *Node) observeRevision(from string, revision int64) {
	n.lastContact.Store(n.now().UnixNano())
	n.Table.ObserveRevision(from, revision)
	if m, known := n.Table.Get(from); !known || !m.Confirmed() {
		return
	}
	for max := n.maxSeenRevision.Load(); revision > max; max = n.maxSeenRevision.Load() {
		if n.maxSeenRevision.CompareAndSwap(max, revision) {
			break
		}
	}
	if revision > n.revision.Load() {
		select {
		case n.newerPeers <- from:
		default:
		}
	}
}

// handleConfigApplied pushes a new revision to other processes.
func (n *Node) handleConfigApplied(revision int64) {
	n.revision.Store(revision)
	n.Events.Add(model.RequestKey{}, events.ConfigApplied, strconv.FormatInt(revision, 10))
	targets := n.pushTargets()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
		defer cancel()
		for _, addr := range targets {
			_ = n.Pool.Notify(ctx, addr, wire.MethodConfigPush, configPush{})
		}
	}()
}

// pushTargets returns the addresses to which this process pushes a new revision. Watchers
// push to every entry of the region, and each sidecar gets it from pushesPerSidecar
// entries. Heartbeats alone would take too long in a large fleet. A lost push is made up
// for by the next message or heartbeat.
func (n *Node) pushTargets() []string {
	if n.Self.Role != model.RoleEntry {
		return nil
	}
	entries := n.entryAddresses()
	watcher := n.isWatcher()
	var out []string
	for _, m := range n.Table.All() {
		addr := m.Instance.Address
		if m.Instance.Role == model.RoleEntry {
			if watcher {
				out = append(out, addr)
			}
			continue
		}
		pushers := membership.Rendezvous(addr, entries)
		if slices.Contains(pushers[:min(pushesPerSidecar, len(pushers))], n.Self.Address) {
			out = append(out, addr)
		}
	}
	return out
}

func (n *Node) entryAddresses() []string {
	addrs := []string{n.Self.Address}
	for _, m := range n.Table.Entries() {
		addrs = append(addrs, m.Instance.Address)
	}
	return addrs
}

// FetchConfig fetches and applies the configuration of a peer.
func (n *Node) FetchConfig(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var diff configDiff
	req := configRequest{Keys: n.Config.Current().Head.Keys}
	if err := n.Pool.Call(ctx, addr, wire.MethodConfigFetch, req, &diff); err != nil {
		return err
	}
	_, err := n.Config.Apply(diff.Head, diff.Changed)
	if err == nil {
		n.configLoaded.Store(true)
	}
	return err
}

// loadConfig reads the first configuration from a peer, and newer parts from the key-value
// service. If all instances of a restarted region read from the service alone, they would
// exhaust its call quota.
func (n *Node) loadConfig(ctx context.Context) {
	for !n.configLoaded.Load() && ctx.Err() == nil {
		n.readList(ctx)
		fetched := n.fetchAny(ctx)
		if n.refresh(ctx) || fetched {
			return
		}
		wait.For(ctx, retryInterval)
	}
}

func (n *Node) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := n.Config.Refresh(ctx); err != nil {
		klog.V(1).InfoS("reading the configuration failed", "err", err)
		return false
	}
	n.configLoaded.Store(true)
	n.lastContact.Store(n.now().UnixNano())
	return true
}

// fetchAny fetches the configuration of one of a few random members. Any is enough,
// because a newer revision is detected by later messages.
func (n *Node) fetchAny(ctx context.Context) bool {
	for _, m := range pick(n.Table.All(), maxFetchPeers) {
		err := n.FetchConfig(ctx, m.Instance.Address)
		if err == nil && n.Config.Revision() > 0 {
			return true
		}
	}
	n.configLoaded.Store(n.Config.Revision() > 0)
	return n.configLoaded.Load()
}

func (n *Node) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-n.newerPeers:
			if n.maxSeenRevision.Load() <= n.Config.Revision() {
				continue
			}
			if err := n.FetchConfig(ctx, addr); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("fetching the configuration from a peer failed", "from", addr, "err", err)
			}
		}
	}
}

// watchLoop watches the key-value service while this entry is one of the watchers.
func (n *Node) watchLoop(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		if !n.isWatcher() {
			wait.For(ctx, minHeartbeatInterval)
			continue
		}
		next, err := n.Config.Watch(ctx, version, watchTimeout)
		if err != nil && !errors.Is(err, context.Canceled) {
			wait.For(ctx, retryInterval)
			continue
		}
		version = next
		n.lastContact.Store(n.now().UnixNano())
	}
}

func (n *Node) isWatcher() bool {
	if n.Self.Role != model.RoleEntry {
		return false
	}
	addrs := n.entryAddresses()
	for _, a := range membership.Rendezvous("config-watch", addrs)[:min(maxWatchers, len(addrs))] {
		if a == n.Self.Address {
			return true
		}
	}
	return false
}

// CheckReady returns an error unless the configuration may be relied on: it was read, no
// peer is known to have a newer one, and there was recent contact with a peer or the
// key-value service. This guards against replaced templates after the process was
// suspended.
func (n *Node) CheckReady() error {
	if !n.configLoaded.Load() {
		return fault.New(fault.NotReady, "no configuration loaded yet")
	}
	if seen := n.maxSeenRevision.Load(); seen > n.Config.Revision() {
		return fault.New(fault.StaleConfig, "configuration %d is in force, this instance has %d", seen, n.Config.Revision())
	}
	if n.now().UnixNano()-n.lastContact.Load() > int64(maxContactAge) {
		return fault.New(fault.NotReady, "cut off from the other instances and the key-value service")
	}
	return nil
}

// CheckSenderRevision returns an error if the entry that sent a message uses an older
// configuration than this process. admitted is the revision with which the entry admitted
// the request, or 0 if the message has none.
func (n *Node) CheckSenderRevision(from string, admitted int64) error {
	current := n.Config.Revision()
	if m, ok := n.Table.Get(from); ok && m.Revision < current {
		return fault.New(fault.StaleConfig, "entry %s uses configuration %d, %d is in force", from, m.Revision, current)
	}
	if admitted > 0 && admitted < current {
		return fault.New(fault.StaleConfig, "entry %s admitted the request with configuration %d, %d is in force", from, admitted, current)
	}
	return nil
}

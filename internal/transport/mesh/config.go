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
	// watchers is how many entries watch the key-value service; the rest learn
	// from them. A watch counts as a call, so their number must not grow with
	// the fleet.
	watchers = 3
	// watchWait is how long one watch waits.
	watchWait = 5 * time.Second
	// perSidecar is how many entries tell each sidecar of a new revision.
	perSidecar = 2
	// fanOut is how many members are asked for a first configuration.
	fanOut       = 4
	fetchTimeout = 2 * time.Second
	loadRetry    = 300 * time.Millisecond
)

// configHave lists the buckets that a process holds.
type configHave struct {
	Keys map[int]string `json:"keys"`
}

// configDiff is a configuration less the buckets that the asker holds.
type configDiff struct {
	Head    config.Head           `json:"head"`
	Changed map[int]config.Bucket `json:"changed"`
}

// notice is empty: the revision that rides on the envelope says it all.
type notice struct{}

func (n *Node) configFetch(_ context.Context, _ string, have configHave) (configDiff, error) {
	cur := n.Config.Current()
	return configDiff{Head: cur.Head, Changed: cur.Diff(have.Keys)}, nil
}

func (n *Node) configPush(context.Context, string, notice) (struct{}, error) {
	return struct{}{}, nil
}

// seen takes in the revision that rode on a message from a peer.
func (n *Node) seen(from string, revision int64) {
	n.confirmed.Store(n.now().UnixNano())
	n.Table.ObserveRevision(from, revision)
	for max := n.seenMax.Load(); revision > max; max = n.seenMax.Load() {
		if n.seenMax.CompareAndSwap(max, revision) {
			break
		}
	}
	if revision > n.revision.Load() && from != "" {
		select {
		case n.newer <- from:
		default:
		}
	}
}

// applied passes a new revision on.
func (n *Node) applied(revision int64) {
	n.revision.Store(revision)
	n.Events.Add(model.RequestKey{}, events.ConfigApplied, strconv.FormatInt(revision, 10))
	targets := n.toTell()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatWait)
		defer cancel()
		for _, addr := range targets {
			_ = n.Pool.Notify(ctx, addr, wire.MethodConfigPush, notice{})
		}
	}()
}

// toTell lists whom this process tells of a new revision. The watchers tell
// every entry of the region, and each entry its part of the sidecars, two for
// each. Nobody is left to chance: heartbeats come too seldom in a large fleet
// to bring a change into force within seconds. What is lost all the same, the
// next message or heartbeat brings.
func (n *Node) toTell() []string {
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
		tellers := membership.Rendezvous(addr, entries)
		if slices.Contains(tellers[:min(perSidecar, len(tellers))], n.Self.Address) {
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

// FetchConfig brings the configuration up to that of a peer.
func (n *Node) FetchConfig(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var diff configDiff
	have := configHave{Keys: n.Config.Current().Head.Keys}
	if err := n.Pool.Call(ctx, addr, wire.MethodConfigFetch, have, &diff); err != nil {
		return err
	}
	_, err := n.Config.Apply(diff.Head, diff.Changed)
	if err == nil {
		n.loaded.Store(true)
	}
	return err
}

// loadConfig reads the first configuration: from a peer, and what the peer may
// lack from the key-value service. Read from the service alone, the instances of
// a region that comes back together would use up its rate for a minute.
func (n *Node) loadConfig(ctx context.Context) {
	for !n.loaded.Load() && ctx.Err() == nil {
		n.readList(ctx)
		fetched := n.fetchAny(ctx)
		if n.refresh(ctx) || fetched {
			return
		}
		wait.For(ctx, loadRetry)
	}
}

func (n *Node) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := n.Config.Refresh(ctx); err != nil {
		klog.V(1).InfoS("Configuration cannot be read", "err", err)
		return false
	}
	n.loaded.Store(true)
	n.confirmed.Store(n.now().UnixNano())
	return true
}

// fetchAny asks a few members; one with a configuration is enough, as revisions
// ride on every message and a newer one is fetched when it is met.
func (n *Node) fetchAny(ctx context.Context) bool {
	for _, m := range pick(n.Table.All(), fanOut) {
		err := n.FetchConfig(ctx, m.Instance.Address)
		if err == nil && n.Config.Revision() > 0 {
			return true
		}
	}
	n.loaded.Store(n.Config.Revision() > 0)
	return n.loaded.Load()
}

func (n *Node) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-n.newer:
			if n.seenMax.Load() <= n.Config.Revision() {
				continue
			}
			if err := n.FetchConfig(ctx, addr); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("Configuration cannot be fetched", "from", addr, "err", err)
			}
		}
	}
}

// watchLoop watches the key-value service if this entry is one of the watchers.
func (n *Node) watchLoop(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		if !n.isWatcher() {
			wait.For(ctx, heartbeatEvery)
			continue
		}
		next, err := n.Config.Watch(ctx, version, watchWait)
		if err != nil && !errors.Is(err, context.Canceled) {
			wait.For(ctx, loadRetry)
			continue
		}
		version = next
		n.confirmed.Store(n.now().UnixNano())
	}
}

func (n *Node) isWatcher() bool {
	if n.Self.Role != model.RoleEntry {
		return false
	}
	addrs := n.entryAddresses()
	for _, a := range membership.Rendezvous("config-watch", addrs)[:min(watchers, len(addrs))] {
		if a == n.Self.Address {
			return true
		}
	}
	return false
}

// CheckReady tells whether the configuration held here may be acted on: it was
// read, no peer is known to hold a newer one, and a peer or the key-value
// service was heard of lately. A process thawed after a long freeze would
// otherwise go by templates that were replaced meanwhile.
func (n *Node) CheckReady() error {
	if !n.loaded.Load() {
		return fault.New(fault.NotReady, "no configuration was read yet")
	}
	if seen := n.seenMax.Load(); seen > n.Config.Revision() {
		return fault.New(fault.StaleConfig, "configuration %d is in force, this instance still has %d", seen, n.Config.Revision())
	}
	if n.now().UnixNano()-n.confirmed.Load() > int64(confirmWithin) {
		return fault.New(fault.NotReady, "cut off from the other instances and the key-value service")
	}
	return nil
}

// CheckSenderRevision tells a gate whether an entry that sent a message acts on an older
// configuration than is in force here. admitted is the revision by which the
// entry let the work in; 0 where the message does not tell.
func (n *Node) CheckSenderRevision(from string, admitted int64) error {
	here := n.Config.Revision()
	if m, ok := n.Table.Get(from); ok && m.Revision < here {
		return fault.New(fault.StaleConfig, "entry %s acts on configuration %d, %d is in force", from, m.Revision, here)
	}
	if admitted > 0 && admitted < here {
		return fault.New(fault.StaleConfig, "entry %s admitted this by configuration %d, %d is in force", from, admitted, here)
	}
	return nil
}

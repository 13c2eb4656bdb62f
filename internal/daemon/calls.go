package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
)

// countedStore counts the calls to the store by kind. Refused and unanswered calls count
// against the quota too.
type countedStore struct {
	external.Store
	metrics *metrics
	// onNoResponse is called when a lease renewal gets no response. It may be nil.
	onNoResponse func()
	// onAcknowledged is called with each revision that a linearizable call returned and that
	// is therefore in force. It may be nil.
	onAcknowledged func(revision model.Revision)

	mu     sync.Mutex
	counts map[string]int
}

// Kinds of calls.
const (
	callRange        = "range"
	callGet          = "get"
	callPeek         = "peek"
	callWatchChanged = "watch_changed"
	callWatchQuiet   = "watch_quiet"
	callCommit       = "commit"
	callGrant        = "lease_grant"
	callKeepAlive    = "lease_keep_alive"
	callRevoke       = "lease_revoke"
	failedSuffix     = "_failed" // appended to the kind
)

func newCountedStore(store external.Store, m *metrics) *countedStore {
	return &countedStore{Store: store, metrics: m, counts: map[string]int{}}
}

// count counts a finished call.
func (c *countedStore) count(kind string, err error) {
	if err != nil {
		kind += failedSuffix
	}
	c.metrics.countStoreCall(kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}

// logCounts logs the calls since it last ran, if there were any.
func (c *countedStore) logCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		return
	}
	var keysAndValues []any
	for kind, n := range c.counts {
		keysAndValues = append(keysAndValues, kind, n)
	}
	clear(c.counts)
	klog.InfoS("store calls", keysAndValues...)
}

// acknowledge reports the revision that a call returned.
func (c *countedStore) acknowledge(revision model.Revision, err error) {
	if err == nil && revision > 0 && c.onAcknowledged != nil {
		c.onAcknowledged(revision)
	}
}

// Range implements Store.
func (c *countedStore) Range(ctx context.Context, prefix string) (external.Page, error) {
	page, err := c.Store.Range(ctx, prefix)
	c.count(callRange, err)
	return page, err
}

// Get implements Store.
func (c *countedStore) Get(ctx context.Context, key string) (external.Item, error) {
	it, err := c.Store.Get(ctx, key)
	c.count(callGet, err)
	c.acknowledge(it.Revision, err)
	return it, err
}

// Peek implements Store.
func (c *countedStore) Peek(ctx context.Context, key string) (external.Item, error) {
	it, err := c.Store.Peek(ctx, key)
	c.count(callPeek, err)
	return it, err
}

// Watch implements Store.
func (c *countedStore) Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) (external.Page, error) {
	page, err := c.Store.Watch(ctx, prefix, after, wait)
	kind := callWatchQuiet
	if len(page.Items) > 0 {
		kind = callWatchChanged
	}
	c.count(kind, err)
	return page, err
}

// Commit implements Store.
func (c *countedStore) Commit(ctx context.Context, txn external.Txn) (model.Revision, error) {
	revision, err := c.Store.Commit(ctx, txn)
	c.count(callCommit, err)
	c.acknowledge(revision, err)
	return revision, err
}

// Grant implements Store.
func (c *countedStore) Grant(ctx context.Context, ttl time.Duration) (external.LeaseID, time.Duration, error) {
	id, granted, err := c.Store.Grant(ctx, ttl)
	c.count(callGrant, err)
	return id, granted, err
}

// KeepAlive implements Store.
func (c *countedStore) KeepAlive(ctx context.Context, id external.LeaseID) error {
	err := c.Store.KeepAlive(ctx, id)
	c.count(callKeepAlive, err)
	if err != nil && !errors.Is(err, external.ErrLeaseNotFound) && c.onNoResponse != nil {
		c.onNoResponse()
	}
	return err
}

// Revoke implements Store.
func (c *countedStore) Revoke(ctx context.Context, id external.LeaseID) error {
	err := c.Store.Revoke(ctx, id)
	c.count(callRevoke, err)
	return err
}

package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Errors of the store, in addition to ErrNotFound and ErrUnknown.
var (
	// ErrCompacted means that the requested history was discarded. The caller must read
	// the whole range and watch from its revision.
	ErrCompacted = errors.New("history was compacted")
	// ErrConflict means that a condition of the transaction did not hold and nothing was
	// written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrUnavailable means that the store refused the call without executing it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrMalformed means that the store's response could not be decoded.
	ErrMalformed = errors.New("malformed response from the store")
)

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// Item is a key with its value. Revision is that of its last change, or 0 if the key does
// not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision model.Revision
	Lease    LeaseID
	Removed  bool
}

// Page contains the items of a range of keys, or the changes of a watch, up to a revision.
type Page struct {
	Items    []Item
	Revision model.Revision
}

// Condition requires that a key has a revision. 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision model.Revision
}

// Txn is a transaction. Its writes and deletes are applied atomically if all conditions
// hold.
type Txn struct {
	If     []Condition
	Put    []Item
	Delete []string
}

// Store is the platform's store with leases, transactions and watches. Every call counts
// against a quota. A write returns ErrUnknown if there is no response.
//
// The context of a call limits the time until its response begins, for each page of a range
// anew. A response that has begun is read as long as data arrive.
type Store interface {
	// Range returns all keys that begin with prefix.
	Range(ctx context.Context, prefix string) (Page, error)
	// Get returns a key from a linearizable read, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Peek returns a key from a copy that may be seconds old. It costs a tenth of Get's
	// quota.
	Peek(ctx context.Context, key string) (Item, error)
	// Watch waits for changes after a revision, at most for wait. It returns ErrCompacted
	// if the changes are not available.
	Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) (Page, error)
	Commit(ctx context.Context, txn Txn) (revision model.Revision, err error)
	// Grant creates a lease and returns its time to live, which starts when the store
	// receives the call.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}

package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Errors of the store, beside those of the key-value service.
var (
	// ErrCompacted says that the history asked for is gone: read the whole
	// range and watch from there.
	ErrCompacted = errors.New("history was compacted")
	// ErrConflict says that a transaction's condition did not hold; nothing
	// was written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrLeaseNotFound says that the lease no longer exists.
	ErrLeaseNotFound = errors.New("lease has ended")
	// ErrUnavailable says that the store refused the call; nothing was done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrMalformed says that the store's answer could not be read.
	ErrMalformed = errors.New("malformed answer of the store")
)

// LeaseID names a lease; 0 is none.
type LeaseID int64

// Item is a key with its value. Revision is its last change, 0 if the key
// does not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision model.Revision
	Lease    LeaseID
	Removed  bool
}

// Page is the state of a range of keys at a revision.
type Page struct {
	Items    []Item
	Revision model.Revision
}

// Condition demands a key's present revision; 0 demands that it is absent.
type Condition struct {
	Key      string
	Revision model.Revision
}

// Txn is a change that is carried out as a whole or not at all.
type Txn struct {
	If     []Condition
	Put    []Item
	Delete []string
}

// Store is the platform's store with leases, transactions and a watch. Every
// call is priced. Writes without an answer return ErrUnknown.
type Store interface {
	// Range reads all keys that begin with prefix.
	Range(ctx context.Context, prefix string) (Page, error)
	// Get reads one key, linearizably; ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Peek reads one key from a copy that may be seconds old, at a tenth of the price.
	Peek(ctx context.Context, key string) (Item, error)
	// Watch waits, at most wait, for changes after a revision.
	Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) (Page, error)
	Commit(ctx context.Context, txn Txn) (revision model.Revision, err error)
	// Grant makes a lease; its time runs from the arrival of the call.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}

package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// registration is the state of this router's own entry in the store. The entry has no lease:
// hundreds of routers would make most of all calls to the store to get and renew leases. The
// leader removes the entries of routers that are gone.
type registration struct {
	// revision is that of the entry, or 0 if there is none.
	revision model.Revision
	// after is the earliest time at which the entry may be written.
	after time.Duration
	// restores is the number of restores of the store so far.
	restores int
}

// memberKey returns the key of this router's entry.
func (e *Elector) memberKey() string { return MemberPrefix + e.Self.Instance }

// register writes this router's entry unless it is there.
func (e *Elector) register(ctx context.Context) {
	e.mu.Lock()
	due := e.member.revision == 0 && e.Clock() >= e.member.after
	restores := e.member.restores
	e.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(e.Self)
	if err != nil {
		klog.ErrorS(err, "failed to encode the router's entry")
		return
	}
	// If the outcome is unknown, the next attempt overwrites the entry.
	revision, err := e.Store.Commit(ctx, platform.Txn{Put: []platform.Item{{Key: e.memberKey(), Value: value}}})
	if err != nil {
		klog.InfoS("failed to register the router", "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.restores != restores {
		return // the entry may be lost
	}
	e.member.revision = revision
	klog.InfoS("registered", "revision", revision)
}

// ObserveRemoval reports that the store lacked this router's entry at a revision. The router
// registers again after a random delay: a leader that is cut off may remove many entries.
func (e *Elector) ObserveRemoval(revision model.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.revision == 0 || revision < e.member.revision {
		return
	}
	klog.InfoS("the router's entry was removed from the store", "revision", revision, "written", e.member.revision)
	e.member.revision = 0
	e.member.after = e.Clock() + time.Duration(rand.Int64N(int64(maxRegisterDelay)))
}

// unregister removes this router's entry.
func (e *Elector) unregister(ctx context.Context, revision model.Revision) {
	if revision == 0 {
		return
	}
	_, err := e.Store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: e.memberKey(), Revision: revision}},
		Delete: []string{e.memberKey()},
	})
	if err != nil {
		klog.InfoS("failed to remove the router's entry; the leader will", "err", err)
	}
}

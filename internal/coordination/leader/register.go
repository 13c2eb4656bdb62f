package leader

import (
	"context"
	"encoding/json"
	"errors"
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

const (
	// unregisterAttempts is how often a stopping router tries to remove its entry. A router that is
	// stopped while the store turns it away would otherwise stay registered until the leader finds
	// it silent.
	unregisterAttempts = 4
	// minUnregisterDelay is the delay before the second attempt. It doubles with each.
	minUnregisterDelay = 150 * time.Millisecond
)

// unregister removes this router's entry.
func (e *Elector) unregister(revision model.Revision) {
	if revision == 0 {
		return
	}
	delay := minUnregisterDelay
	for attempt := 1; ; attempt++ {
		err := e.removeEntry(revision)
		switch {
		case err == nil:
			return
		case errors.Is(err, platform.ErrConflict): // an earlier attempt succeeded, or it was written again
			klog.InfoS("the router's entry was changed or removed already", "attempt", attempt, "written", revision)
			return
		case attempt == unregisterAttempts:
			klog.InfoS("failed to remove the router's entry; the leader will", "attempts", attempt, "err", err)
			return
		}
		time.Sleep(delay)
		delay *= 2
	}
}

func (e *Elector) removeEntry(revision model.Revision) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := e.Store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: e.memberKey(), Revision: revision}},
		Delete: []string{e.memberKey()},
	})
	return err
}

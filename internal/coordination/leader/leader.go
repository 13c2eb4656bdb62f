// Package leader registers a router in the store and elects the one router that sends orders to
// engines. Leadership is a key bound to a lease. The revision at which the key was written is the
// fencing token of the leader's orders.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// Keys of the project in the store.
const (
	Prefix       = "skylark/"
	MemberPrefix = Prefix + "routers/"
	Key          = Prefix + "leader"
	PlanPrefix   = Prefix + "plan/"
	// QuarantineKey holds the verdicts on quarantined requests.
	QuarantineKey = Prefix + "quarantine"
)

const (
	// leaderTTL is the lease of the leadership key. A leader that exited is replaced after
	// it.
	leaderTTL = 3 * time.Second
	// renewFraction is the fraction of a TTL after which a lease is renewed, so that one
	// failed renewal does not end it.
	renewFraction = 1.0 / 3
	// checkInterval is the interval at which Run checks for a lease to renew, for a missing
	// entry of this router and for a vacant leadership.
	checkInterval = leaderTTL / 3
	// callTimeout bounds one call to the store. The store answers in 4 ms, a slow one in
	// 350 ms.
	callTimeout = 900 * time.Millisecond
	// maxRegisterDelay bounds the random delay before a router registers again after the
	// store was restored from an older copy or its entry was removed.
	maxRegisterDelay = 4 * time.Second
	// maxCampaignDelay bounds the random delay before a router campaigns, so that few
	// routers campaign at once. Each campaign costs two calls to the store. A router that
	// loses learns of the winner only after changes have been collected.
	maxCampaignDelay = 800 * time.Millisecond
)

// Member is a router's entry in the store.
type Member struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // for calls from other routers
	Domain   string `json:"domain"`
	// LinkMbps is the bandwidth of the router's link in Mbit/s; 0 means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// DecodeMember decodes a router's entry. It returns an error if the entry is malformed or has no
// valid address.
func DecodeMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, err
	}
	if err := model.CheckAddress(m.Address); err != nil {
		return Member{}, err
	}
	return m, nil
}

// leaderRecord is the value of the leadership key. The incarnation distinguishes a write of this
// process from one of an earlier process of the same instance.
type leaderRecord struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Elector keeps this router registered in the store and campaigns for leadership. Its fields must
// be set before use and not changed afterwards. It is safe for concurrent use.
type Elector struct {
	Store       platform.Store
	Self        Member
	Incarnation string
	// Clock returns a monotonic time that includes suspension of the instance, so that a
	// leader detects after a suspension that its lease has expired.
	Clock func() time.Duration
	// Eligible reports whether this router may become leader now.
	Eligible func() bool

	mu            sync.Mutex
	member        registration   // of this router
	leaderLease   lease          // of the leadership key, while this router leads or campaigns
	fencingToken  model.Revision // 0 while this router does not lead
	rejectedToken model.Revision // token that an engine rejected as too old
	holder        string
	highestToken  model.Revision // highest observed token
	// vacantRevision is the newest observed revision at which there was no leader.
	vacantRevision model.Revision
	knownEra       int64         // newest observed era of the store
	stopped        bool          // set by resign; this router does not lead again
	campaignAfter  time.Duration // earliest time at which this router may campaign
}

// FencingToken returns the fencing token while this router leads, and 0 otherwise.
func (e *Elector) FencingToken() model.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingToken == 0 || e.fencingToken < e.highestToken || e.Clock() > e.leaderLease.validUntil {
		return 0
	}
	return e.fencingToken
}

// Observe applies the leadership key as read from the store, with the revision at which it was
// written. An empty value means that there is no leader.
func (e *Elector) Observe(value []byte, revision model.Revision) {
	var r leaderRecord
	if len(value) > 0 {
		if err := json.Unmarshal(value, &r); err != nil {
			klog.InfoS("leadership key cannot be decoded", "err", err)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownEra = max(e.knownEra, revision.Era())
	before := e.holder
	e.holder = r.Instance
	if r.Instance != "" {
		e.highestToken = max(e.highestToken, revision)
	} else {
		e.vacantRevision = max(e.vacantRevision, revision)
	}
	if r.Incarnation == e.Incarnation && e.fencingToken == 0 && revision != e.rejectedToken && !e.stopped && e.leaderLease.id != 0 {
		// The campaign succeeded, but the store's response to it was lost.
		e.fencingToken = revision
		klog.InfoS("leadership won, as observed in the store", "token", revision)
	}
	if r.Incarnation != e.Incarnation && e.fencingToken != 0 {
		klog.InfoS("leadership lost", "token", e.fencingToken, "holder", r.Instance, "revision", revision)
		e.fencingToken = 0
	}
	if before != e.holder {
		klog.InfoS("leader changed", "from", before, "to", e.holder, "revision", revision)
	}
}

// HandleStoreRestore resets the elector after the store was restored from an older copy. The
// keys that this router wrote may be missing, and its lease IDs may be assigned to others.
//
// This router does not campaign for one leaderTTL, because the old leader may not know of the
// restore and still rely on its lease. Tokens do not decrease, because the revisions of a new era
// are higher than all earlier ones. Routers register again after random delays to spread the load
// on the store.
func (e *Elector) HandleStoreRestore() {
	maxDelay := maxRegisterDelay
	if e.Eligible() {
		maxDelay = maxCampaignDelay // only a registered router campaigns
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock()
	e.campaignAfter = now + leaderTTL
	e.member = registration{after: now + time.Duration(rand.Int64N(int64(maxDelay))), restores: e.member.restores + 1}
	if e.fencingToken != 0 && now <= e.leaderLease.validUntil {
		// This router is the old leader, so there is none to wait for.
		klog.InfoS("leadership lost: the store was restored from an older copy", "token", e.fencingToken)
		e.campaignAfter, e.member.after = now, now
	}
	e.fencingToken = 0
	e.leaderLease = lease{}
	e.holder = ""
}

// TokenRejected records that an engine rejected a token because it has received a higher one. If
// the token is this router's, the router stops leading.
func (e *Elector) TokenRejected(token model.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingToken == token {
		klog.InfoS("resigned: an engine has received a higher fencing token", "token", token)
		e.fencingToken = 0
		e.rejectedToken = token
	}
}

// Run registers this router, campaigns for leadership and renews its lease until ctx ends. It
// then revokes the lease, so that another router can lead without waiting for it to expire.
func (e *Elector) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		e.renewLeaderLease(ctx)
		e.register(ctx)
		if e.canCampaign() {
			select {
			case <-time.After(time.Duration(rand.Int64N(int64(maxCampaignDelay)))):
				e.campaign(ctx)
			case <-ctx.Done():
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			e.release()
			return
		}
	}
}

// canCampaign reports whether there is no leader and this router may campaign: it is registered
// and has no campaign whose outcome is unknown.
func (e *Elector) canCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder == "" && e.member.revision != 0 && e.Clock() >= max(e.leaderLease.validUntil, e.campaignAfter)
}

// campaign tries to become leader by writing the leadership key if it does not exist.
func (e *Elector) campaign(ctx context.Context) {
	if !e.canCampaign() || !e.Eligible() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(leaderRecord{Instance: e.Self.Instance, Incarnation: e.Incarnation})
	if err != nil {
		klog.ErrorS(err, "failed to encode the leadership key")
		return
	}
	if e.leaderInReplica(ctx) {
		return
	}
	l := e.grant(ctx, leaderTTL)
	if l.id == 0 || !e.canCampaign() {
		return
	}
	// Set before the write: Observe may learn of its success before the response arrives, or
	// without one.
	e.mu.Lock()
	e.leaderLease = l
	e.mu.Unlock()
	revision, err := e.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: Key}},
		Put: []platform.Item{{Key: Key, Value: value, Lease: l.id}},
	})
	if err != nil {
		klog.InfoS("leadership not won", "err", err)
		e.recordLoss(err)
		return
	}
	if e.recordWin(revision) {
		return
	}
	if err := e.Store.Revoke(ctx, l.id); err != nil {
		klog.InfoS("failed to revoke the lease of an abandoned campaign; it will expire", "lease", l.id, "err", err)
	}
}

// leaderInReplica reports whether a replica of the store holds a leadership key that is newer than
// the newest vacancy observed. Reading a replica is much cheaper than a campaign that fails.
func (e *Elector) leaderInReplica(ctx context.Context) bool {
	it, err := e.Store.Peek(ctx, Key)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return it.Revision > e.vacantRevision
}

// recordWin makes this router the leader after a successful campaign and reports whether it did.
// It does not if the key was written in an era of the store that this router has not observed:
// the key may have been missing only because of a restore, and the old leader may still rely on
// its lease.
func (e *Elector) recordWin(revision model.Revision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision.Era() > e.knownEra || e.Clock() < e.campaignAfter {
		klog.InfoS("leadership abandoned: the store was restored from an older copy during the campaign", "revision", revision, "era", e.knownEra)
		e.leaderLease = lease{}
		return false
	}
	e.fencingToken = revision
	e.highestToken = max(e.highestToken, revision)
	e.holder = e.Self.Instance
	klog.InfoS("leadership won", "token", revision)
	return true
}

// recordLoss discards the lease of a campaign that certainly failed. If the outcome is unknown,
// the lease is kept until it expires: Observe may still learn that the campaign succeeded, and a
// second campaign would replace the lease of the key. The router would then renew the wrong lease
// and lead on after its key has expired.
func (e *Elector) recordLoss(err error) {
	if !errors.Is(err, platform.ErrConflict) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderLease = lease{}
}

// resign ends this router's leadership for good. It returns the lease to revoke, which may be
// that of a campaign whose outcome is unknown, and the revision of this router's entry.
//
// It must be called before the lease is revoked. Otherwise another router could win while this
// one still leads, and both would order engines to load layers.
func (e *Elector) resign() (platform.LeaseID, model.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, member := e.leaderLease.id, e.member.revision
	if e.fencingToken != 0 {
		klog.InfoS("resigned: this router is stopping", "token", e.fencingToken)
	}
	e.stopped = true
	e.fencingToken = 0
	e.leaderLease = lease{}
	return held, member
}

// Package leader holds a process's membership in the store and elects the one
// router that orders engines. Leadership is a key bound to a lease; the
// revision at which it was won is the fencing token of every order.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
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
	// QuarantineKey holds the requests under which servers end.
	QuarantineKey = Prefix + "quarantine"
)

const (
	// leaderTTL is the lease of the leadership key: a leader that died is
	// replaced after it.
	leaderTTL = 3 * time.Second
	// memberTTL is the lease of a router's entry. It only tells routers where
	// others are; whether they are there is heard from themselves. Each renewal is a
	// call of every router: at a hundred of them 4 calls a second at this TTL, 11 at a
	// third of it. As long a router that went for good still has a share of the budgets.
	memberTTL = 27 * time.Second
	// renewFraction of a lease passes between renewals, so that one lost renewal
	// does not end it.
	renewFraction = 1.0 / 3
	// checkInterval is between two looks at what is due.
	checkInterval = leaderTTL / 3
	// callTimeout bounds one call; the store answers in 4 ms, a slow one in 350.
	callTimeout = 900 * time.Millisecond
	// maxRegisterDelay is the time over which routers register again after the store came
	// back from an older copy: four hundred of them take a hundred calls a second.
	maxRegisterDelay = 4 * time.Second
	// maxCampaignDelay spreads candidates, so that few transactions decide: each costs two
	// calls, and the loser hears of the winner only once changes have gathered. Of a
	// hundred candidates the first stands after 10 ms, of three after a third of it.
	maxCampaignDelay = 800 * time.Millisecond
)

// Member is a router as it registered itself.
type Member struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // where its peers reach it
	Domain   string `json:"domain"`
}

// DecodeMember reads a router's entry. One that names no address leads nowhere.
func DecodeMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, err
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return Member{}, err
	}
	return m, nil
}

// leaderRecord is the value of the leadership key. Incarnation tells a lost answer's
// write from that of an earlier life of the same instance.
type leaderRecord struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Elector keeps this process registered and stands for leadership.
type Elector struct {
	Store       platform.Store
	Self        Member
	Incarnation string
	// Clock goes on while the instance is suspended: a leader that wakes from
	// a freeze knows that its lease ran out.
	Clock func() time.Duration
	// Eligible tells whether this process may lead now.
	Eligible func() bool

	mu            sync.Mutex
	memberLease   lease          // of this router's entry
	leaderLease   lease          // of the leadership key, while this router holds or claims it
	fencingToken  model.Revision // fencing token; 0 while not leading
	rejectedToken model.Revision // token that an engine refused as too old
	holder        string
	highestToken  model.Revision // highest token heard of
	// vacantRevision is the revision at which nobody led, as far as was heard.
	vacantRevision model.Revision
	knownEra       int64 // the store's newest that was heard of
	stopped        bool  // this process stops: it leads no more
	// campaignAfter is when this process may stand for leadership, and registerAfter when it
	// may register, at the earliest.
	campaignAfter, registerAfter time.Duration
}

// FencingToken is the fencing token while this process leads; 0 otherwise.
func (e *Elector) FencingToken() model.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingToken == 0 || e.fencingToken < e.highestToken || e.Clock() > e.leaderLease.validUntil {
		return 0
	}
	return e.fencingToken
}

// Observe takes in the leadership key: who holds it and since which revision. An
// empty value means that nobody does.
func (e *Elector) Observe(value []byte, revision model.Revision) {
	var c leaderRecord
	if len(value) > 0 {
		if err := json.Unmarshal(value, &c); err != nil {
			klog.InfoS("leadership key cannot be read", "err", err)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownEra = max(e.knownEra, revision.Era())
	before := e.holder
	e.holder = c.Instance
	if c.Instance != "" {
		e.highestToken = max(e.highestToken, revision)
	} else {
		e.vacantRevision = max(e.vacantRevision, revision)
	}
	if c.Incarnation == e.Incarnation && e.fencingToken == 0 && revision != e.rejectedToken && !e.stopped && e.leaderLease.id != 0 {
		// The answer to our own claim was lost, but the claim took effect.
		e.fencingToken = revision
		klog.InfoS("leadership found won", "token", revision)
	}
	if c.Incarnation != e.Incarnation && e.fencingToken != 0 {
		klog.InfoS("leadership lost", "token", e.fencingToken, "holder", c.Instance, "revision", revision)
		e.fencingToken = 0
	}
	if before != e.holder {
		klog.InfoS("leader changed", "from", before, "to", e.holder, "revision", revision)
	}
}

// HandleStoreRestore takes in that the store came back from an older copy: what this process wrote there
// may be gone, and the numbers of its leases may be given out to others.
//
// Nobody stands for as long as a leader may believe in its lease that has not heard of the
// return: the key that kept others out is gone, and two would order engines. Tokens do not
// fall, as revisions of a new era are higher than all before. Entries are written again
// spread over time, or all routers would call at one moment.
func (e *Elector) HandleStoreRestore() {
	spread := maxRegisterDelay
	if e.Eligible() {
		spread = maxCampaignDelay // only who is registered stands
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock()
	e.campaignAfter = now + leaderTTL
	e.registerAfter = now + time.Duration(rand.Int64N(int64(spread)))
	if e.fencingToken != 0 && now <= e.leaderLease.validUntil {
		// It is the one that may believe in a lease, and does not any more.
		klog.InfoS("leadership lost: the store came back from an older copy", "token", e.fencingToken)
		e.campaignAfter, e.registerAfter = now, now
	}
	e.fencingToken = 0
	e.leaderLease = lease{}
	e.memberLease = lease{}
	e.holder = ""
}

// TokenRejected takes in that an engine has seen a higher token.
func (e *Elector) TokenRejected(token model.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingToken == token {
		klog.InfoS("resigned: an engine has seen a higher fencing token", "token", token)
		e.fencingToken = 0
		e.rejectedToken = token
	}
}

// Run registers, renews and stands for leadership until ctx ends; then it gives
// its leases back, so that another need not wait for them.
func (e *Elector) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		e.maintainLeases(ctx)
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
			e.releaseLeases()
			return
		}
	}
}

// canCampaign tells whether nobody leads and this router may stand: it is registered,
// and no claim of its own is undecided.
func (e *Elector) canCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder == "" && e.memberLease.id != 0 && e.Clock() >= max(e.leaderLease.validUntil, e.campaignAfter)
}

// campaign tries to become leader: the key must not exist.
func (e *Elector) campaign(ctx context.Context) {
	if !e.canCampaign() || !e.Eligible() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(leaderRecord{Instance: e.Self.Instance, Incarnation: e.Incarnation})
	if err != nil {
		klog.ErrorS(err, "claim not encoded")
		return
	}
	if e.leaderInCopy(ctx) {
		return
	}
	l := e.grant(ctx, leaderTTL)
	if l.id == 0 || !e.canCampaign() {
		return
	}
	// Before the claim is made: the watch may show that it won before its answer
	// comes, or instead of it.
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
		klog.InfoS("lease of a claim that was given up not given back; it runs out", "lease", l.id, "err", err)
	}
}

// leaderInCopy tells whether a copy of the store already has another leader: a tenth of a call
// saves two. The copy may be old; what it has counts only if it is newer than all that
// the watch told, and the watch goes on telling who leads.
func (e *Elector) leaderInCopy(ctx context.Context) bool {
	it, err := e.Store.Peek(ctx, Key)
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return it.Revision > e.vacantRevision
}

// recordWin takes in that the claim was carried out. Where that was in an era of the store of
// which this process has not heard, it gives the leadership up: the key was absent because
// the store came back without it, and a leader may still believe in its lease.
func (e *Elector) recordWin(revision model.Revision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision.Era() > e.knownEra || e.Clock() < e.campaignAfter {
		klog.InfoS("leadership given up: it was won in an era not heard of before", "revision", revision, "era", e.knownEra)
		e.leaderLease = lease{}
		return false
	}
	e.fencingToken = revision
	e.highestToken = max(e.highestToken, revision)
	e.holder = e.Self.Instance
	klog.InfoS("leadership won", "token", revision)
	return true
}

// recordLoss forgets a claim that surely did not win. One whose answer was lost shows
// in the watch, or in nothing; until its lease has run out the next one would
// replace the lease under which it may stand, and a leader that renewed the wrong
// lease would believe to lead after its key is gone.
func (e *Elector) recordLoss(err error) {
	if !errors.Is(err, platform.ErrConflict) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderLease = lease{}
}

// resign ends the leadership here, for good, and gives the leases to be given back.
//
// It comes before the lease is free: another router wins at once then, and while this
// one took itself for the leader both would order engines, so that twice as many load
// at a time as do without slowing each other down. A claim that is undecided may have
// won, so its lease is given back as well.
func (e *Elector) resign() []platform.LeaseID {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := []platform.LeaseID{e.leaderLease.id, e.memberLease.id}
	if e.fencingToken != 0 {
		klog.InfoS("resigned: this router stops", "token", e.fencingToken)
	}
	e.stopped = true
	e.fencingToken = 0
	e.leaderLease = lease{}
	return held
}

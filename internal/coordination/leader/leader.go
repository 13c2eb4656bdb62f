// Package leader holds a process's membership in the store and elects the one
// router that orders engines. Leadership is a key bound to a lease; the
// revision at which it was won is the fencing token of every order.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// Keys of the project in the store.
const (
	Prefix       = "skylark/"
	MemberPrefix = Prefix + "routers/"
	Key          = Prefix + "leader"
	PlanPrefix   = Prefix + "plan/"
)

const (
	// ttl is the lease of a member and of the leader: a leader that died is
	// replaced after it. A third of it passes between renewals, so that one
	// lost renewal does not end it.
	ttl = 3 * time.Second
	// callTimeout bounds one call; the store answers in 4 ms, a slow one in 350.
	callTimeout = 900 * time.Millisecond
	// raceDelay spreads candidates, so that one transaction usually decides.
	raceDelay = 120 * time.Millisecond
)

// Member is a router as it registered itself.
type Member struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // where its peers reach it
	Domain   string `json:"domain"`
}

// claim is the value of the leadership key. Incarnation tells a lost answer's
// write from that of an earlier life of the same instance.
type claim struct {
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

	mu         sync.Mutex
	lease      platform.LeaseID
	validUntil time.Duration
	token      int64 // fencing token; 0 while not leading
	refused    int64 // token that an engine refused as too old
	holder     string
	highest    int64 // highest token heard of
}

// Token is the fencing token while this process leads; 0 otherwise.
func (e *Elector) Token() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token == 0 || e.token < e.highest || e.Clock() > e.validUntil {
		return 0
	}
	return e.token
}

// Lease is the lease of this process; 0 while it has none.
func (e *Elector) Lease() platform.LeaseID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease
}

// Seen takes in the leadership key: who holds it and since which revision. An
// empty value means that nobody does.
func (e *Elector) Seen(value []byte, revision int64) {
	var c claim
	if len(value) > 0 {
		if err := json.Unmarshal(value, &c); err != nil {
			klog.InfoS("leadership key cannot be read", "err", err)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.holder
	e.holder = c.Instance
	if c.Instance != "" {
		e.highest = max(e.highest, revision)
	}
	if c.Incarnation == e.Incarnation && e.token == 0 && revision != e.refused {
		// The answer to our own claim was lost, but the claim took effect.
		e.token = revision
		klog.InfoS("leadership found won", "token", revision)
	}
	if c.Incarnation != e.Incarnation && e.token != 0 {
		klog.InfoS("leadership lost", "token", e.token, "holder", c.Instance, "revision", revision)
		e.token = 0
	}
	if before != e.holder {
		klog.InfoS("leader changed", "from", before, "to", e.holder, "revision", revision)
	}
}

// Refused takes in that an engine has seen a higher token.
func (e *Elector) Refused(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token == token {
		klog.InfoS("resigned: an engine has seen a higher fencing token", "token", token)
		e.token = 0
		e.refused = token
	}
}

// Run registers, renews and stands for leadership until ctx ends; then it gives
// the lease back, so that another need not wait for it.
func (e *Elector) Run(ctx context.Context) {
	tick := time.NewTicker(ttl / 3)
	defer tick.Stop()
	for {
		e.turn(ctx)
		e.mu.Lock()
		vacant := e.holder == "" && e.lease != 0
		e.mu.Unlock()
		wait := tick.C
		if vacant {
			select {
			case <-time.After(time.Duration(rand.Int64N(int64(raceDelay)))):
				e.stand(ctx)
			case <-ctx.Done():
			}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			e.leave()
			return
		}
	}
}

// turn renews the lease, or takes a new one and registers under it.
func (e *Elector) turn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := e.Clock()
	lease := e.Lease()
	if lease != 0 {
		err := e.Store.KeepAlive(ctx, lease)
		if err == nil {
			e.mu.Lock()
			e.validUntil = began + ttl
			e.mu.Unlock()
			return
		}
		if !errors.Is(err, platform.ErrLeaseEnded) {
			klog.V(1).InfoS("lease not renewed", "lease", lease, "err", err)
			return
		}
		klog.InfoS("lease ended", "lease", lease)
		e.mu.Lock()
		e.lease = 0
		e.token = 0
		e.mu.Unlock()
	}
	e.register(ctx, began)
}

func (e *Elector) register(ctx context.Context, began time.Duration) {
	lease, granted, err := e.Store.Grant(ctx, ttl)
	if err != nil {
		klog.V(1).InfoS("no lease granted", "err", err)
		return
	}
	value, err := json.Marshal(e.Self)
	if err != nil {
		klog.ErrorS(err, "member entry not encoded")
		return
	}
	item := platform.Item{Key: MemberPrefix + e.Self.Instance, Value: value, Lease: lease}
	// Without an answer the entry may stand or not; it only helps peers to find
	// each other, and the next lease writes it again.
	if _, err := e.Store.Commit(ctx, platform.Txn{Put: []platform.Item{item}}); err != nil {
		klog.InfoS("not registered", "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.validUntil = began + granted
	klog.InfoS("registered", "lease", lease, "ttl", granted)
}

// stand tries to become leader: the key must not exist.
func (e *Elector) stand(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	vacant := e.holder == ""
	e.mu.Unlock()
	if !vacant || lease == 0 || !e.Eligible() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(claim{Instance: e.Self.Instance, Incarnation: e.Incarnation})
	if err != nil {
		klog.ErrorS(err, "claim not encoded")
		return
	}
	revision, err := e.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: Key}},
		Put: []platform.Item{{Key: Key, Value: value, Lease: lease}},
	})
	if err != nil {
		// A claim whose answer was lost shows in the watch, or in nothing.
		klog.InfoS("leadership not won", "err", err)
		return
	}
	e.win(revision)
}

func (e *Elector) win(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.token = revision
	e.highest = max(e.highest, revision)
	e.holder = e.Self.Instance
	klog.InfoS("leadership won", "token", revision)
}

func (e *Elector) leave() {
	lease := e.Lease()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		klog.InfoS("lease not given back; it runs out", "lease", lease, "err", err)
	}
}

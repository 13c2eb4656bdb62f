package placement

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// storedPlan is a plan with its revision in the store.
type storedPlan struct {
	plan     Plan
	revision model.Revision
	// needsWrite is set after the store was restored from an older copy, which may lack
	// the plan.
	needsWrite bool
}

// ObservePlan records a plan that was read from the store. A plan that cannot be decoded
// is logged and ignored.
func (c *Controller) ObservePlan(service string, value []byte, revision model.Revision) {
	plan, err := DecodePlan(value)
	if err != nil {
		klog.InfoS("stored plan cannot be decoded", "service", service, "revision", revision, "err", err)
		return
	}
	c.acceptPlan(service, storedPlan{plan: plan, revision: revision})
}

// persist stores a changed plan and reports whether it is the plan to apply. It returns false if
// the write failed, or if a newer plan became known meanwhile. The write is conditional on the
// leadership key, whose revision is the fencing token.
func (c *Controller) persist(ctx context.Context, service string, plan Plan, token model.Revision) bool {
	c.mu.Lock()
	old := c.plans[service]
	c.mu.Unlock()
	if old.plan != nil && equalPlans(old.plan, plan) && !old.needsWrite {
		return true
	}
	value, err := json.Marshal(plan)
	if err != nil {
		klog.ErrorS(err, "failed to encode plan", "service", service)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	revision, err := c.Store.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Key: leader.Key, Revision: token}},
		Put: []platform.Item{{Key: leader.PlanPrefix + service, Value: value}},
	})
	c.setLastWriteFailed(err != nil && !errors.Is(err, platform.ErrConflict))
	if err != nil {
		klog.InfoS("failed to store plan", "service", service, "token", token, "err", err)
		return false
	}
	klog.InfoS("plan stored", "service", service, "token", token, "revision", revision, "engines", len(plan), "before", len(old.plan))
	return c.acceptPlan(service, storedPlan{plan: plan, revision: revision})
}

// setLastWriteFailed records whether a plan could not be stored for another reason than a new leader.
func (c *Controller) setLastWriteFailed(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWriteFailed = failed
}

// lastPlan returns the last plan that is known to be stored.
func (c *Controller) lastPlan(service string) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[service].plan
}

// planWriteFailed reports whether the last plan could not be stored although no other process
// is known to lead. The orders of the plan before it continue.
func (c *Controller) planWriteFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWriteFailed
}

// acceptPlan records a plan unless a newer one is known, and reports whether it is now the
// known one. Plans are compared by revision: the result of a write may arrive after the
// watch has shown a plan that the next leader stored.
func (c *Controller) acceptPlan(service string, p storedPlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	old := c.plans[service]
	switch {
	case old.needsWrite && old.revision.Era() < p.revision.Era() && !equalPlans(old.plan, p.plan):
		// The first plan that is read after a restore comes from the older copy. Applying it
		// would move engines back.
		old.revision = p.revision
		c.plans[service] = old
	case old.revision < p.revision:
		if c.extendedFrom[service] == nil {
			c.extendedFrom[service] = Plan{}
		}
		updateExtended(c.extendedFrom[service], old.plan, p.plan)
		c.plans[service] = p
	}
	return c.plans[service].revision == p.revision
}

// HandleStoreRestore marks all plans as not stored after the store was restored from an
// older copy. The plans stay in effect, and the leader writes them again.
func (c *Controller) HandleStoreRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, p := range c.plans {
		p.needsWrite = true
		c.plans[service] = p
	}
}

func equalPlans(a, b Plan) bool {
	if len(a) != len(b) {
		return false
	}
	for addr, held := range a {
		if other, ok := b[addr]; !ok || other != held {
			return false
		}
	}
	return true
}

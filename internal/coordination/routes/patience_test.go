package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Load: requests of all routes and customers in a shortage. Guards against a less urgent request
// that may wait longer than a more urgent one, for any targets, also missing ones.
func TestLessUrgentRequestNeverOutwaitsAMoreUrgentOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := &model.RouteConfig{Version: 1, Services: []model.Service{{Name: "s"}}}
		for i := range rapid.IntRange(2, 4).Draw(rt, "routes") {
			cfg.Routes = append(cfg.Routes, model.Route{
				Host: "h", Prefix: string(rune('a' + i)), Priority: rapid.IntRange(0, 3).Draw(rt, "route priority"),
				TargetLatency: time.Duration(rapid.IntRange(0, 5).Draw(rt, "target")) * 100 * time.Millisecond,
				Split:         []model.ServiceShare{{Service: "s", Weight: 1}}, AllowAnonymous: rapid.Bool().Draw(rt, "anonymous"),
			})
		}
		for i := range rapid.IntRange(0, 3).Draw(rt, "customers") {
			c := model.RouteCustomer{Name: string(rune('x' + i)), APIKeys: []string{string(rune('x' + i))}}
			if rapid.Bool().Draw(rt, "has priority") {
				p := rapid.IntRange(0, 2).Draw(rt, "customer priority")
				c.Priority = &p
			}
			cfg.Customers = append(cfg.Customers, c)
		}
		table := Compile(cfg)
		var admitted []Admission
		for i := range cfg.Routes {
			for _, key := range []string{"", "x", "y", "z"} {
				if a, err := table.Admit(&model.Call{Host: "h", Path: cfg.Routes[i].Prefix, APIKey: key}, time.Time{}); err == nil {
					admitted = append(admitted, a)
				}
			}
		}
		for _, a := range admitted {
			assert.Assert(rt, a.Prioritized || a.WaitTarget == 0)
			if a.Prioritized && a.Route.TargetLatency > 0 {
				assert.Assert(rt, a.WaitTarget > 0 && a.WaitTarget <= a.Route.TargetLatency)
			}
			for _, b := range admitted {
				assert.Assert(rt, a.Urgency >= b.Urgency || a.WaitTarget >= b.WaitTarget, "urgency %d waits %v, %d waits %v", a.Urgency, a.WaitTarget, b.Urgency, b.WaitTarget)
			}
		}
	})
}

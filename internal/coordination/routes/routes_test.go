package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

func config(version int64) *model.RouteConfig {
	urgent := 0
	return &model.RouteConfig{
		Version: version,
		Routes: []model.Route{
			{Name: "short", Host: "h", Prefix: "/a/", Kind: model.RouteIdempotent, Priority: 2, Timeout: time.Second, MaxAttempts: 2, Split: []model.ServiceShare{{Service: "s1", Weight: 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", Kind: model.RouteNotRepeatable, Priority: 2, Split: []model.ServiceShare{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}},
			{Name: "open", Host: "h", Prefix: "/open/", AllowAnonymous: true, Split: []model.ServiceShare{{Service: "gone", Weight: 1}}},
		},
		Services:  []model.Service{{Name: "s1"}, {Name: "s2"}},
		Customers: []model.RouteCustomer{{Name: "c1", APIKeys: []string{"k1", "k2"}}, {Name: "c2", APIKeys: []string{"k3"}, Priority: &urgent}},
	}
}

func call(path, key string) *model.Call {
	return &model.Call{Attempt: "a1", Host: "h", Path: path, APIKey: key}
}

func TestAdmit(t *testing.T) {
	now := time.Unix(100, 0)
	table := Compile(config(1))
	a, err := table.Admit(call("/a/x", "k2"), now)
	assert.Assert(t, err == nil)
	assert.Equal(t, a.Route.Name, "short")
	assert.Equal(t, a.Customer, "c1")
	assert.Equal(t, a.Priority, 2)
	assert.Equal(t, a.Deadline, now.Add(time.Second))
	a, err = table.Admit(call("/a/b/x", "k3"), now)
	assert.Assert(t, err == nil)
	assert.Equal(t, a.Route.Name, "long", "the longest prefix wins")
	assert.Equal(t, a.Priority, 0, "the customer's priority takes precedence")
	assert.Assert(t, a.Deadline.IsZero())
}

func TestAdmitRefuses(t *testing.T) {
	table := Compile(config(1))
	for name, want := range map[string]struct {
		call *model.Call
		kind fault.Kind
	}{
		"unknown path":     {call("/b/", "k1"), fault.NotFound},
		"prefix cut short": {call("/a", "k1"), fault.NotFound},
		"unknown host":     {&model.Call{Host: "other", Path: "/a/", APIKey: "k1"}, fault.NotFound},
		"unknown key":      {call("/a/", "k9"), fault.UnknownCustomer},
		"no key":           {call("/a/", ""), fault.UnknownCustomer},
		"service missing":  {call("/open/", ""), fault.NoCapacity},
	} {
		_, err := table.Admit(want.call, time.Now())
		assert.Assert(t, err != nil && err.Kind == want.kind, "%s: %v", name, err)
	}
}

// The earlier of the caller's deadline and the route's timeout must apply.
func TestAdmitAppliesEarlierDeadline(t *testing.T) {
	now := time.Unix(100, 0)
	c := call("/a/x", "k1")
	c.Deadline = now.Add(300 * time.Millisecond)
	a, _ := Compile(config(1)).Admit(c, now)
	assert.Equal(t, a.Deadline, c.Deadline)
	c.Deadline = now.Add(time.Minute)
	a, _ = Compile(config(1)).Admit(c, now)
	assert.Equal(t, a.Deadline, now.Add(time.Second))
}

// Each service of a split must receive its share, and the same attempt must always get the
// same service.
func TestSplitFollowsWeights(t *testing.T) {
	split := config(1).Routes[1].Split
	const attempts = 10000
	second := 0
	for i := range attempts {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		name := selectService(split, id)
		assert.Equal(t, name, selectService(split, id))
		if name == "s2" {
			second++
		}
	}
	assert.Assert(t, second > attempts/20 && second < attempts*3/20, "%d of %d", second, attempts)
	assert.Equal(t, selectService(nil, "a"), "")
	assert.Equal(t, selectService([]model.ServiceShare{{Service: "z"}}, "a"), "z")
}

// Versions arrive in any order and repeatedly. The version in force must be the newest seen
// and must never decrease.
func TestActiveConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var c ActiveConfig
		newest := int64(0)
		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(rt, "versions") {
			applied := c.Apply(config(v), nil, "")
			assert.Equal(rt, applied, v > newest)
			newest = max(newest, v)
			assert.Equal(rt, c.Version(), newest)
		}
	})
}

func TestAgeIsTimeSinceLastConfirmation(t *testing.T) {
	var c ActiveConfig
	c.Confirm(5 * time.Second)
	assert.Equal(t, c.Age(7*time.Second), 2*time.Second)
}

func TestReadyIsClosedByFirstConfig(t *testing.T) {
	var c ActiveConfig
	select {
	case <-c.Ready():
		t.Fatal("no configuration is in force yet")
	default:
	}
	c.Apply(config(1), nil, "")
	c.Apply(config(2), nil, "")
	<-c.Ready()
}

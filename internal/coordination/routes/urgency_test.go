package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Customers with equal priorities send requests on routes of different priorities. If the
// customer's priority replaced the route's, all of these requests would be equally urgent.
func TestRoutePriorityOrdersRequestsOfEqualCustomers(t *testing.T) {
	zero, one := 0, 1
	split := []model.ServiceShare{{Service: "s", Weight: 1}}
	table := Compile(&model.RouteConfig{
		Version: 1,
		Routes: []model.Route{
			{Host: "h", Prefix: "/urgent/", Priority: 0, Split: split},
			{Host: "h", Prefix: "/usual/", Priority: 1, Split: split},
			{Host: "h", Prefix: "/later/", Priority: 2, Split: split},
			{Host: "h", Prefix: "/plain/", Priority: 2, Split: []model.ServiceShare{{Service: "p", Weight: 1}}},
		},
		Services:  []model.Service{{Name: "s"}, {Name: "p"}},
		Customers: []model.RouteCustomer{{Name: "first", APIKeys: []string{"k0"}, Priority: &zero}, {Name: "second", APIKeys: []string{"k1"}, Priority: &one}},
	})
	urgency := func(key, path string) int {
		a, err := table.Admit(&model.Call{Host: "h", Path: path, APIKey: key}, time.Time{})
		assert.Assert(t, err == nil)
		assert.Equal(t, a.Prioritized, path != "/plain/")
		return a.Urgency
	}
	order := []int{
		urgency("k0", "/urgent/"), urgency("k0", "/usual/"), urgency("k0", "/later/"),
		urgency("k1", "/urgent/"), urgency("k1", "/usual/"), urgency("k1", "/later/"),
	}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1] < order[i], "%v", order)
	}
	assert.Equal(t, urgency("k1", "/plain/"), 1, "routes of one priority leave the customer's")
}

package wire

import "github.com/skylarkwood/skylarkwood/internal/model"

// Methods answered by routers.
const (
	MethodRouterBeat   Method = "router.beat" // notification
	MethodRouterConfig Method = "router.config"
	MethodRouterLend   Method = "router.lend"
	MethodRouterGone   Method = "router.gone" // notification
)

// RouterAsk asks a router for the configuration in force, and for the backend
// servers that it knows where the sender knows none: those are most of the answer.
type RouterAsk struct {
	Servers bool `json:"servers,omitempty"`
}

// RouterConfig is the operator's configuration as the operator wrote it, and
// the backend servers as the sender knows them.
type RouterConfig struct {
	Version int64                 `json:"version"`
	Raw     []byte                `json:"raw"`
	Servers []model.BackendServer `json:"servers,omitempty"`
}

// RouterLend asks a router to lend repeated sends of its part of the budget.
type RouterLend struct {
	Service string `json:"s"`
	Want    int    `json:"n"`
}

// RouterLent is how many it lent; they count as spent there.
type RouterLent struct {
	Lent int `json:"n"`
}

// RouterGone names an engine whose process ended.
type RouterGone struct {
	Server model.Incarnation `json:"s"`
}

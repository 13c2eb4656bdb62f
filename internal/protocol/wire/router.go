package wire

import "github.com/skylarkwood/skylarkwood/internal/model"

// Methods answered by routers.
const (
	MethodRouterBeat   Method = "router.beat" // notification
	MethodRouterConfig Method = "router.config"
	MethodRouterLend   Method = "router.lend"
	MethodRouterGone   Method = "router.gone" // notification
)

// RouterBeat is what a router tells its peers a few times a second.
type RouterBeat struct {
	// EveryMS is how long until the next message.
	EveryMS int64 `json:"every"`
	// Config is the version in force, and how long ago it was known to be the
	// newest.
	Config      int64 `json:"cfg"`
	ConfigAgeMS int64 `json:"age"`
	// Revision is that of the store up to which its picture is complete.
	Revision int64 `json:"rev"`
	// Uses are what its streams take, by engine.
	Uses map[string]RouterUse `json:"use,omitempty"`
	// Slow are engines that said to be slower than their cards, by how much.
	Slow map[string]float64 `json:"slow,omitempty"`
	// Pipes is what its streams move between failure domains.
	Pipes []RouterPipe `json:"pipes,omitempty"`
	// Suspects are engines that do not do their work, with the milliseconds
	// for which the suspicion still holds.
	Suspects map[string]int64 `json:"sus,omitempty"`
	// Refusing are engines that answer but refuse work, with the milliseconds
	// for which they should get none.
	Refusing map[string]int64 `json:"ref,omitempty"`
	// Spares are repeated sends that it could lend, by service.
	Spares map[string]int `json:"spare,omitempty"`
	// Traffic says that it has seen callers' requests.
	Traffic bool `json:"traffic,omitempty"`
}

// RouterConfig is the operator's configuration as the operator wrote it, and
// the backend servers as the sender knows them.
type RouterConfig struct {
	Version int64                 `json:"version"`
	Raw     []byte                `json:"raw"`
	Servers []model.BackendServer `json:"servers,omitempty"`
}

// RouterPipe is the traffic between two failure domains, in Mbit/s.
type RouterPipe struct {
	A    string  `json:"a"`
	B    string  `json:"b"`
	Rate float64 `json:"r"`
}

// RouterUse is what a router's streams take of one engine.
type RouterUse struct {
	TokenLayers int64   `json:"t"`
	Streams     int     `json:"n"`
	Firsts      int     `json:"f,omitempty"`
	Reading     float64 `json:"r,omitempty"`
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

// RouterGone names an engine, by id, whose process ended.
type RouterGone struct {
	Server string `json:"s"`
}

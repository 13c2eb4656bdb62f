package wire

import (
	"encoding/json"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Methods answered by routers.
const (
	MethodRouterHeartbeat  Method = "router.beat" // notification
	MethodRouterConfig     Method = "router.config"
	MethodRouterBorrow     Method = "router.lend"
	MethodRouterEngineExit Method = "router.gone" // notification
	MethodRouterUpdates    Method = "router.news"
	// MethodRouterQuarantine tells of requests under which servers end; notification.
	MethodRouterQuarantine Method = "router.quarantine"
	MethodRouterTrial      Method = "router.trial"
)

// RouterConfigRequest asks a router for the configuration in force, and for the backend
// servers that it knows where the sender knows none: those are most of the answer.
type RouterConfigRequest struct {
	Servers bool `json:"servers,omitempty"`
	// VersionOnly asks for nothing but the version.
	VersionOnly bool `json:"versionOnly,omitempty"`
}

// RouterConfig is the operator's configuration as the operator wrote it, and
// the backend servers as the sender knows them.
type RouterConfig struct {
	Version int64                 `json:"version"`
	Raw     []byte                `json:"raw"`
	Servers []model.BackendServer `json:"servers,omitempty"`
}

// RouterBorrowRequest asks a router to lend repeated sends of its part of the budget.
type RouterBorrowRequest struct {
	Service string `json:"s"`
	Want    int    `json:"n"`
}

// RouterBorrowReply is how many it lent; they count as spent there.
type RouterBorrowReply struct {
	Granted int `json:"n"`
}

// RouterEngineExit names an engine whose process ended.
type RouterEngineExit struct {
	Server model.Incarnation `json:"s"`
}

// RouterTrialRequest asks the router that keeps trials whether a suspect may run at servers,
// alone among its kind.
type RouterTrialRequest struct {
	Fingerprint model.Fingerprint   `json:"w"`
	Servers     []model.Incarnation `json:"s"`
}

// RouterUpdatesRequest asks a router that watches the store for what changed after a
// revision, and to wait for it.
type RouterUpdatesRequest struct {
	After  model.Revision `json:"after"`
	WaitMS int64          `json:"wait"`
}

// RouterUpdates is what changed, up to a revision; all that is there if Whole.
type RouterUpdates struct {
	Revision model.Revision `json:"revision"`
	Full     bool           `json:"whole,omitempty"`
	// AgeMS is how long ago the store was last heard from, HeldMS how long the
	// question was held, and GraceMS for how long removed entries may be believed in.
	AgeMS     int64 `json:"age"`
	ElapsedMS int64 `json:"held"`
	GraceMS   int64 `json:"grace,omitempty"`
	// Items is a list of RouterNewsItem, encoded once for all who ask alike.
	Items json.RawMessage `json:"items"`
}

// RouterUpdate is a key of the store with its value.
type RouterUpdate struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Packed says that the value is compressed, by DEFLATE.
	Packed   bool           `json:"z,omitempty"`
	Revision model.Revision `json:"r"`
	Lease    int64          `json:"l,omitempty"`
	Removed  bool           `json:"d,omitempty"`
	// Omitted says that the value is to be read from the store.
	Omitted bool `json:"o,omitempty"`
}

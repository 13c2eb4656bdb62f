package wire

import (
	"encoding/json"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Methods that routers handle.
const (
	MethodRouterHeartbeat  Method = "router.beat" // notification
	MethodRouterConfig     Method = "router.config"
	MethodRouterBorrow     Method = "router.lend"
	MethodRouterEngineExit Method = "router.gone"    // notification
	MethodRouterSuspicion  Method = "router.suspect" // notification
	MethodRouterUpdates    Method = "router.news"
	MethodRouterValue      Method = "router.value"
	// MethodRouterQuarantine reports requests suspected of making servers exit;
	// notification.
	MethodRouterQuarantine Method = "router.quarantine"
	MethodRouterTrial      Method = "router.trial"
)

// RouterValueRequest requests a part of a compressed value.
type RouterValueRequest struct {
	// Key is a key of the store, or empty for the configuration in force.
	Key string `json:"k,omitempty"`
	// Checksum is that of the uncompressed value whose first Offset bytes the requester has,
	// or 0 if it has none.
	Checksum uint64 `json:"sum,omitempty"`
	Offset   int    `json:"at,omitempty"`
}

// RouterValue is a part of a compressed value. Offset is 0 if the sender does not have the
// requested value but another one.
type RouterValue struct {
	Checksum uint64 `json:"sum"`
	// Revision is that of the key, or 0 if the sender does not know it.
	Revision model.Revision `json:"r"`
	// Size is that of the whole compressed value in bytes.
	Size   int    `json:"size"`
	Offset int    `json:"at,omitempty"`
	Part   []byte `json:"p"`
}

// RouterConfigRequest requests the configuration in force and, if Servers is set, the
// known backend servers. The servers are most of the reply.
type RouterConfigRequest struct {
	Servers bool `json:"servers,omitempty"`
	// VersionOnly requests only the version.
	VersionOnly bool `json:"versionOnly,omitempty"`
	// Parts is set if the requester fetches a large configuration with RouterValueRequest.
	Parts bool `json:"parts,omitempty"`
}

// RouterConfig is the configuration as the operator wrote it, and the backend servers
// that the sender knows. Raw is empty if the configuration is to be fetched in parts.
type RouterConfig struct {
	Version int64                 `json:"version"`
	Raw     []byte                `json:"raw"`
	Servers []model.BackendServer `json:"servers,omitempty"`
}

// RouterBorrowRequest requests retry tokens from another router's retry budget.
type RouterBorrowRequest struct {
	Service string `json:"s"`
	Want    int    `json:"n"`
}

// RouterBorrowReply returns the number of retry tokens granted. The lender counts them
// as spent.
type RouterBorrowReply struct {
	Granted int `json:"n"`
}

// RouterSuspicion reports that the sender suspects an engine.
type RouterSuspicion struct {
	Server model.Incarnation `json:"server"`
}

// RouterEngineExit reports that an engine's process exited.
type RouterEngineExit struct {
	Server model.Incarnation `json:"s"`
}

// RouterTrialRequest requests permission to run a suspected request at servers as a
// trial. The receiver is the router that grants trials.
type RouterTrialRequest struct {
	Fingerprint model.Fingerprint   `json:"w"`
	Servers     []model.Incarnation `json:"s"`
	// Customer, Route and Parts are what the request shares with others; Parts as in
	// model.Call.PromptParts.
	Customer string   `json:"c,omitempty"`
	Route    string   `json:"r,omitempty"`
	Parts    []string `json:"p,omitempty"`
}

// RouterUpdatesRequest is a long poll of a router that watches the store. It requests
// the changes after a revision.
type RouterUpdatesRequest struct {
	After  model.Revision `json:"after"`
	WaitMS int64          `json:"wait"`
	// Compact is set if the requester understands RouterUpdates.Packed and
	// RouterUpdate.Unchanged.
	Compact bool `json:"compact,omitempty"`
}

// RouterUpdates carries the changes up to a revision, or the full contents of the store
// if Full is set.
type RouterUpdates struct {
	Revision model.Revision `json:"revision"`
	Full     bool           `json:"whole,omitempty"`
	// AgeMS is the time since the sender's last contact with the store. ElapsedMS is how
	// long it took to answer the query. GraceMS is how long removed entries remain
	// valid.
	AgeMS     int64 `json:"age"`
	ElapsedMS int64 `json:"held"`
	GraceMS   int64 `json:"grace,omitempty"`
	// Items is a list of RouterUpdate. It is encoded once for all queries with the same
	// answer.
	Items json.RawMessage `json:"items,omitempty"`
	// Packed is that list compressed with DEFLATE, instead of Items.
	Packed []byte `json:"packed,omitempty"`
	// Failing is set if the sender's calls to the store fail.
	Failing bool `json:"failing,omitempty"`
	// Starting is set if the sender reads the store for the first time and has no contents.
	Starting bool `json:"starting,omitempty"`
}

// RouterUpdate is a key of the store and its value.
type RouterUpdate struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Packed is set if the value is compressed with DEFLATE.
	Packed   bool           `json:"z,omitempty"`
	Revision model.Revision `json:"r"`
	Lease    int64          `json:"l,omitempty"`
	Removed  bool           `json:"d,omitempty"`
	// Omitted is set if the receiver must read the value from the store.
	Omitted bool `json:"o,omitempty"`
	// Unchanged is set, instead of a value, if the receiver has the key at this revision.
	Unchanged bool `json:"u,omitempty"`
}

// Package platform defines the interfaces of the external systems: the platform's store,
// key-value service and instance list, model engines and plain services. It also contains
// Connect clients of all of them except the store.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Errors of the key-value service.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrSwapFailed means that the key has another version and nothing was written.
	ErrSwapFailed = errors.New("key has another version")
	// ErrUnknown means that there was no usable response. A write may or may not have
	// taken effect.
	ErrUnknown = errors.New("no response from the key-value service")
)

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// Value is a value with its version. Versions of a key only increase.
type Value struct {
	Data    []byte
	Version int64
}

// KV is the platform's key-value service. Every call counts against its rate limits.
type KV interface {
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key's version is expected, where 0 means that the
	// key does not exist. It returns the new version, or ErrSwapFailed and the current
	// version.
	CompareAndSwap(ctx context.Context, key string, data []byte, expected int64) (version int64, err error)
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's version exceeds after, at most for wait, and returns the
	// current value.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error)
}

// Instances is the platform's list of live and leaving instances. The list may be out of
// date.
type Instances interface {
	List(ctx context.Context) ([]model.Instance, error)
}

// Step is a request to run layers on consecutive positions of a session.
type Step struct {
	Session  string
	Range    model.LayerRange
	Position int64
	Inputs   [][]byte
	Priority int
	Fence    int64
}

// EngineLoad is the load that an engine reports. It may be out of date.
type EngineLoad struct {
	Active   int
	Capacity int
	Range    model.LayerRange
	// StepTime is the time to run one layer on one position without load.
	StepTime time.Duration
	// Rate is the number of positions per second that the engine runs through all its
	// layers with full batches.
	Rate float64
	// MaxBatch is the maximum number of positions that run in a batch.
	MaxBatch int
}

// BatchTime returns the time to run a full batch through the engine's layers. It returns 0
// if the rate is unknown.
func (l EngineLoad) BatchTime() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.MaxBatch) / l.Rate * float64(time.Second))
}

// Engine is a model engine.
type Engine interface {
	// Step returns one output per input. After an error, any part of the step may have
	// run.
	Step(ctx context.Context, s Step) ([][]byte, error)
	EndSession(ctx context.Context, session string, fence int64) error
	// EndAll ends all sessions, such as those of a previous fencing token. It returns
	// their number.
	EndAll(ctx context.Context, fence int64) (ended int, err error)
	Load(ctx context.Context) (EngineLoad, error)
}

// Plain is a service that is not a model engine.
type Plain interface {
	// Call executes a call. After an error, the call may have run.
	Call(ctx context.Context, id string, body []byte) ([]byte, error)
}

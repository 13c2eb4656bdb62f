// Package platform is how the system meets what it does not own: the platform's
// key-value service and instance list, model engines and plain services. Each
// is one small interface; a client for another protocol touches no decision.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Errors of the key-value service.
var (
	// ErrNotFound says that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrSwapFailed says that the key has another version; nothing was written.
	ErrSwapFailed = errors.New("key has another version")
	// ErrUnknown says that there was no usable answer: the write may or may
	// not have taken effect.
	ErrUnknown = errors.New("no answer from the key-value service")
)

// MaxValueBytes is the largest value that the key-value service holds, in bytes.
const MaxValueBytes = 1 << 20

// Value is a value and its version; versions of a key only grow.
type Value struct {
	Data    []byte
	Version int64
}

// KV is the platform's key-value service. Every call counts against its rates.
type KV interface {
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key's version is still expected; 0 creates it.
	CompareAndSwap(ctx context.Context, key string, data []byte, expected int64) (version int64, err error)
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's version exceeds after, at most wait.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error)
}

// Instances is the platform's list of live and leaving instances. It lags.
type Instances interface {
	List(ctx context.Context) ([]model.Instance, error)
}

// Step asks an engine to run layers on consecutive positions of a session.
type Step struct {
	Session  string
	Range    model.LayerRange
	Position int64
	Inputs   [][]byte
	Priority int
	Fence    int64
}

// EngineLoad is an engine's own report; it lags.
type EngineLoad struct {
	Active   int
	Capacity int
	Range    model.LayerRange
	// StepTime is the time for one layer and one position, unloaded.
	StepTime time.Duration
	// Rate is how many positions a second the engine runs through all its
	// layers with full batches.
	Rate float64
	// MaxBatch is how many positions run together at most.
	MaxBatch int
}

// BatchTime is how long one full batch takes through the engine's layers.
func (l EngineLoad) BatchTime() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.MaxBatch) / l.Rate * float64(time.Second))
}

// Engine is one model engine.
type Engine interface {
	// Step gives one output per input. After an error the engine may have run
	// any part of the step.
	Step(ctx context.Context, s Step) ([][]byte, error)
	EndSession(ctx context.Context, session string, fence int64) error
	// EndAll ends whatever an earlier holder left running.
	EndAll(ctx context.Context, fence int64) (ended int, err error)
	Load(ctx context.Context) (EngineLoad, error)
}

// Plain is a plain service beside the engines.
type Plain interface {
	// Call carries out one call. After an error it may have run.
	Call(ctx context.Context, id string, body []byte) ([]byte, error)
}

// Package standin provides test doubles of the external systems: the platform's key-value
// service and instance list, model engines and plain services.
package standin

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// KVFaults contains the faults that a KV simulates.
type KVFaults struct {
	// Outage makes every call fail.
	Outage bool
	// Delay is added to the duration of every call.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect but return an error.
	LoseAnswers int
}

// KVCalls contains the number of calls by kind. A watch counts once.
type KVCalls struct {
	Gets, Swaps, Deletes, Watches int
}

// KV is an in-memory key-value service for tests and the dev mode. It implements
// platform.KV. KVHandler serves it over the platform's protocol.
type KV struct {
	mu      sync.Mutex
	values  map[string]platform.Value
	version int64
	changed chan struct{} // closed and replaced at every write
	faults  KVFaults
	calls   KVCalls
}

// NewKV returns an empty key-value service.
func NewKV() *KV {
	return &KV{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// SetFaults replaces the simulated faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Calls returns the number of calls so far.
func (k *KV) Calls() KVCalls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Keys returns the keys that begin with prefix, in no particular order.
func (k *KV) Keys(prefix string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for key := range k.values {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, key)
		}
	}
	return out
}

// applyFaults counts a call and simulates delay and outage.
func (k *KV) applyFaults(ctx context.Context, count func(*KVCalls)) error {
	k.mu.Lock()
	count(&k.calls)
	f := k.faults
	k.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return platform.ErrUnknown
		}
	}
	if f.Outage {
		return platform.ErrUnknown
	}
	return nil
}

// Get implements platform.KV.
func (k *KV) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := k.applyFaults(ctx, func(c *KVCalls) { c.Gets++ }); err != nil {
		return platform.Value{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.values[key]
	if !ok {
		return platform.Value{}, platform.ErrNotFound
	}
	return v, nil
}

// CompareAndSwap implements platform.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, data []byte, expected int64) (int64, error) {
	if err := k.applyFaults(ctx, func(c *KVCalls) { c.Swaps++ }); err != nil {
		return 0, err
	}
	if len(data) > platform.MaxValueBytes {
		return 0, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if have := k.values[key].Version; have != expected {
		return have, platform.ErrSwapFailed
	}
	k.version++
	k.values[key] = platform.Value{Data: append([]byte(nil), data...), Version: k.version}
	close(k.changed)
	k.changed = make(chan struct{})
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		return 0, platform.ErrUnknown
	}
	return k.version, nil
}

// Delete implements platform.KV.
func (k *KV) Delete(ctx context.Context, key string) error {
	if err := k.applyFaults(ctx, func(c *KVCalls) { c.Deletes++ }); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.values, key)
	return nil
}

// Watch implements platform.KV.
func (k *KV) Watch(ctx context.Context, key string, after int64, wait time.Duration) (platform.Value, error) {
	if err := k.applyFaults(ctx, func(c *KVCalls) { c.Watches++ }); err != nil {
		return platform.Value{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		k.mu.Lock()
		v, changed := k.values[key], k.changed
		k.mu.Unlock()
		if v.Version > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return v, nil
		case <-ctx.Done():
			return platform.Value{}, platform.ErrUnknown
		}
	}
}

// kvServer serves a KV over the platform's protocol.
type kvServer struct{ kv *KV }

func (s kvServer) Get(ctx context.Context, r *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	v, err := s.kv.Get(ctx, r.Msg.Key)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.GetResponse{Value: v.Data, Version: v.Version}), nil
}

func (s kvServer) CompareAndSwap(ctx context.Context, r *connect.Request[platformv1.CompareAndSwapRequest]) (*connect.Response[platformv1.CompareAndSwapResponse], error) {
	version, err := s.kv.CompareAndSwap(ctx, r.Msg.Key, r.Msg.Value, r.Msg.ExpectedVersion)
	if err == platform.ErrSwapFailed {
		return connect.NewResponse(&platformv1.CompareAndSwapResponse{Version: version}), nil
	}
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.CompareAndSwapResponse{Swapped: true, Version: version}), nil
}

func (s kvServer) Delete(ctx context.Context, r *connect.Request[platformv1.DeleteRequest]) (*connect.Response[platformv1.DeleteResponse], error) {
	if err := s.kv.Delete(ctx, r.Msg.Key); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.DeleteResponse{}), nil
}

func (s kvServer) Watch(ctx context.Context, r *connect.Request[platformv1.WatchRequest]) (*connect.Response[platformv1.GetResponse], error) {
	v, err := s.kv.Watch(ctx, r.Msg.Key, r.Msg.AfterVersion, time.Duration(r.Msg.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.GetResponse{Value: v.Data, Version: v.Version}), nil
}

func connectError(err error) error {
	if err == platform.ErrNotFound {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

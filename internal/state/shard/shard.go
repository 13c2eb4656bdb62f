// Package shard provides a map split into shards with a lock each, to reduce lock
// contention.
package shard

import (
	"hash/maphash"
	"sync"
)

// count is the number of shards: a power of two greater than the number of CPUs of an
// instance.
const count = 32

// Map maps keys to values and is safe for concurrent use. The zero value is not usable;
// see New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [count]bucket[K, V]
}

type bucket[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// New returns an empty map.
func New[K comparable, V any]() *Map[K, V] {
	s := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].m = map[K]V{}
	}
	return s
}

func (s *Map[K, V]) bucket(key K) *bucket[K, V] {
	return &s.shards[maphash.Comparable(s.seed, key)%count]
}

// Get returns the value of a key and whether there is one.
func (s *Map[K, V]) Get(key K) (V, bool) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.m[key]
	return v, ok
}

// Put sets the value of a key.
func (s *Map[K, V]) Put(key K, v V) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m[key] = v
}

// GetOrPut returns the value of a key. If there is none, it stores the result of build
// in the same atomic step. build runs under the shard's lock.
func (s *Map[K, V]) GetOrPut(key K, build func() V) (v V, found bool) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.m[key]; ok {
		return v, true
	}
	v = build()
	b.m[key] = v
	return v, false
}

// Delete removes a key.
func (s *Map[K, V]) Delete(key K) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.m, key)
}

// DeleteIf removes every entry for which drop returns true and returns the number
// removed. drop runs under the shard's lock.
func (s *Map[K, V]) DeleteIf(drop func(key K, v V) bool) int {
	n := 0
	for i := range s.shards {
		n += s.shards[i].deleteIf(drop)
	}
	return n
}

func (b *bucket[K, V]) deleteIf(drop func(K, V) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for k, v := range b.m {
		if drop(k, v) {
			delete(b.m, k)
			n++
		}
	}
	return n
}

// Values returns all values in no particular order.
func (s *Map[K, V]) Values() []V {
	var out []V
	for i := range s.shards {
		b := &s.shards[i]
		b.mu.Lock()
		for _, v := range b.m {
			out = append(out, v)
		}
		b.mu.Unlock()
	}
	return out
}

// Len returns the number of entries.
func (s *Map[K, V]) Len() int {
	n := 0
	for i := range s.shards {
		b := &s.shards[i]
		b.mu.Lock()
		n += len(b.m)
		b.mu.Unlock()
	}
	return n
}

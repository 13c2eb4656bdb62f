// Package shard is a map split over shards, each under its own lock, so that
// threads working on different keys seldom wait for each other.
package shard

import (
	"hash/maphash"
	"sync"
)

// count is a power of two well above the processors of one instance.
const count = 32

// Map maps keys to values. The zero value is not usable; see New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [count]bucket[K, V]
}

type bucket[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// New makes an empty map.
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

// Get finds a value.
func (s *Map[K, V]) Get(key K) (V, bool) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.m[key]
	return v, ok
}

// Put sets a value.
func (s *Map[K, V]) Put(key K, v V) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m[key] = v
}

// GetOrPut finds a value or stores the one that build makes, in one step.
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

// DeleteIf removes every entry for which drop is true and tells how many.
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

// Values copies all values out, in no order.
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

// Len counts the entries.
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

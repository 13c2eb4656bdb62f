// Package shard is a map split over shards, each under its own lock, so that
// threads working on different keys seldom wait for each other.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// count is a power of two well above the processors of one instance.
const count = 32

// Map maps string keys to values. The zero value is not usable; see New.
type Map[V any] struct {
	shards [count]bucket[V]
}

type bucket[V any] struct {
	mu sync.Mutex
	m  map[string]V
}

// New makes an empty map.
func New[V any]() *Map[V] {
	s := &Map[V]{}
	for i := range s.shards {
		s.shards[i].m = map[string]V{}
	}
	return s
}

func (s *Map[V]) bucket(key string) *bucket[V] {
	return &s.shards[xxhash.Sum64String(key)%count]
}

// Get finds a value.
func (s *Map[V]) Get(key string) (V, bool) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.m[key]
	return v, ok
}

// Put sets a value.
func (s *Map[V]) Put(key string, v V) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m[key] = v
}

// GetOrPut finds a value or stores the one that build makes, in one step.
func (s *Map[V]) GetOrPut(key string, build func() V) (v V, found bool) {
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
func (s *Map[V]) Delete(key string) {
	b := s.bucket(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.m, key)
}

// DeleteIf removes every entry for which drop is true and tells how many.
func (s *Map[V]) DeleteIf(drop func(key string, v V) bool) int {
	n := 0
	for i := range s.shards {
		n += s.shards[i].deleteIf(drop)
	}
	return n
}

func (b *bucket[V]) deleteIf(drop func(string, V) bool) int {
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
func (s *Map[V]) Values() []V {
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
func (s *Map[V]) Len() int {
	n := 0
	for i := range s.shards {
		b := &s.shards[i]
		b.mu.Lock()
		n += len(b.m)
		b.mu.Unlock()
	}
	return n
}

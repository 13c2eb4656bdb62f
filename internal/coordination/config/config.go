// Package config stores the operators' templates in the key-value service, changes them
// without lost updates and distributes them.
//
// Templates are kept in immutable buckets, and one small head names the buckets in
// force. A change writes a new bucket and then swaps the head, so changes are atomic
// and totally ordered.
package config

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets. With 17,000 customers a bucket stays far below
// the key-value service's limit for a value, and a change rewrites only one.
const BucketCount = 256

const maxEarlierChanges = 8

// Rule is what a template allows for one service.
type Rule struct {
	Service        string        `json:"service"`
	Priority       int           `json:"priority"`
	NotRepeatable  bool          `json:"not_repeatable,omitempty"`
	Rate           float64       `json:"rate,omitempty"` // requests per second over all entries; 0 is no limit
	Burst          int           `json:"burst,omitempty"`
	DefaultTimeout time.Duration `json:"timeout,omitempty"`
}

// Template is what one customer may do.
type Template struct {
	Customer   string            `json:"customer"`
	Rules      []Rule            `json:"rules"`
	Parameters map[string]string `json:"parameters,omitempty"`
}

// Rule returns the rule for a service and whether there is one.
func (t *Template) Rule(service string) (Rule, bool) {
	for _, r := range t.Rules {
		if r.Service == service {
			return r, true
		}
	}
	return Rule{}, false
}

// Change is one accepted version of a template.
type Change struct {
	Template       Template  `json:"template"`
	Revision       int64     `json:"revision"` // of the template, from 1
	Author         string    `json:"author"`
	At             time.Time `json:"at"`
	ConfigRevision int64     `json:"config"` // of the configuration with this change
	WriteID        string    `json:"write_id"`
}

// Record is a template with its earlier versions, newest first.
type Record struct {
	Current Change   `json:"current"`
	Earlier []Change `json:"earlier,omitempty"`
}

func (r *Record) findWrite(id string) (Change, bool) {
	if r.Current.WriteID == id {
		return r.Current, true
	}
	for _, c := range r.Earlier {
		if c.WriteID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Bucket is the contents of one immutable value, by customer.
type Bucket map[string]Record

// Head names the buckets in force. It is the only value that changes.
type Head struct {
	Revision int64 `json:"revision"`
	// Keys of the buckets in the key-value service, by number. Empty buckets have none.
	Keys map[int]string `json:"keys"`
}

// Snapshot is a whole configuration. It is immutable.
type Snapshot struct {
	Head    Head
	Buckets map[int]Bucket
}

// Template returns a customer's template and whether there is one.
func (s *Snapshot) Template(customer string) (*Template, bool) {
	r, ok := s.Record(customer)
	if !ok {
		return nil, false
	}
	return &r.Current.Template, true
}

// Record returns a customer's template with its earlier versions and whether there is
// one.
func (s *Snapshot) Record(customer string) (Record, bool) {
	r, ok := s.Buckets[bucketOf(customer)][customer]
	return r, ok
}

// Diff returns the buckets whose keys differ from those in have, by number.
func (s *Snapshot) Diff(have map[int]string) map[int]Bucket {
	out := map[int]Bucket{}
	for i, key := range s.Head.Keys {
		if have[i] != key {
			out[i] = s.Buckets[i]
		}
	}
	return out
}

func bucketOf(customer string) int {
	return int(xxhash.Sum64String(customer) % BucketCount)
}

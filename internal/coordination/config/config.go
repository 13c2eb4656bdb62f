// Package config holds the operators' templates: how they are stored in the
// key-value service, changed without overwriting each other, and spread.
//
// The templates stand in immutable buckets; one small head names the buckets in
// force. A change writes a new bucket and then swaps the head, so that it takes
// effect whole, in one order for everybody.
package config

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is over how many values the templates are spread. At 17,000
// customers of some 400 bytes a bucket holds 27 KB, far below the service's
// limit of a megabyte, and a change rewrites one of them.
const BucketCount = 256

// historyLimit is how many earlier changes of a template are kept.
const historyLimit = 8

// Rule is what a template says about one service.
type Rule struct {
	Service        string        `json:"service"`
	Priority       int           `json:"priority"`
	NotRepeatable  bool          `json:"not_repeatable,omitempty"`
	Rate           float64       `json:"rate,omitempty"` // requests a second over all entries; 0 is no limit
	Burst          int           `json:"burst,omitempty"`
	DefaultTimeout time.Duration `json:"timeout,omitempty"`
}

// Template says what one customer may do.
type Template struct {
	Customer   string            `json:"customer"`
	Rules      []Rule            `json:"rules"`
	Parameters map[string]string `json:"parameters,omitempty"`
}

// Rule finds the rule for a service.
func (t *Template) Rule(service string) (Rule, bool) {
	for _, r := range t.Rules {
		if r.Service == service {
			return r, true
		}
	}
	return Rule{}, false
}

// Change is one accepted state of a template.
type Change struct {
	Template       Template  `json:"template"`
	Revision       int64     `json:"revision"` // of the template, from 1
	Author         string    `json:"author"`
	At             time.Time `json:"at"`
	ConfigRevision int64     `json:"config"` // revision of the configuration that carries it
	WriteID        string    `json:"write_id"`
}

// Record is a template with its earlier changes, newest first.
type Record struct {
	Current Change   `json:"current"`
	Earlier []Change `json:"earlier,omitempty"`
}

func (r *Record) wrote(id string) (Change, bool) {
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

// Bucket is the content of one immutable value, by customer.
type Bucket map[string]Record

// Head names the buckets in force. It is the one value that changes.
type Head struct {
	Revision int64 `json:"revision"`
	// Keys of the buckets in the key-value service; an empty bucket has none.
	Keys map[int]string `json:"keys"`
}

// Snapshot is a whole configuration. It is never changed once made.
type Snapshot struct {
	Head    Head
	Buckets map[int]Bucket
}

// Template finds a customer's template.
func (s *Snapshot) Template(customer string) (*Template, bool) {
	r, ok := s.Record(customer)
	if !ok {
		return nil, false
	}
	return &r.Current.Template, true
}

// Record finds a customer's template with its history.
func (s *Snapshot) Record(customer string) (Record, bool) {
	r, ok := s.Buckets[bucketOf(customer)][customer]
	return r, ok
}

// Diff is what a process that holds the buckets of `have` lacks.
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

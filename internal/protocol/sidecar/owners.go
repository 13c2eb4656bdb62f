package sidecar

import (
	"sync"
	"time"
)

// owners are the entries that own open stages, by link address. Messages of others are not recorded, as
// anybody can name an address. It is safe for concurrent use.
type owners struct {
	mu        sync.Mutex
	byAddress map[string]*owner
}

type owner struct {
	stages      int
	lastContact time.Time
}

// add records that an owner has opened a stage.
func (o *owners) add(address string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.byAddress[address]
	if !ok {
		w = &owner{}
		o.byAddress[address] = w
	}
	w.stages++
	w.lastContact = now
}

// remove records that a stage of an owner was closed.
func (o *owners) remove(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.byAddress[address]; w != nil {
		if w.stages--; w.stages == 0 {
			delete(o.byAddress, address)
		}
	}
}

// contact records a message of an owner.
func (o *owners) contact(address string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.byAddress[address]; w != nil {
		w.lastContact = now
	}
}

// silentSince reports whether an owner has sent nothing since a time.
func (o *owners) silentSince(address string, since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.byAddress[address]
	return w != nil && w.lastContact.Before(since)
}

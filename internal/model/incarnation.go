package model

import "strconv"

// Incarnation is one start of a backend server. A server may restart under the same id
// and then has no layers and no state, so all knowledge about a server belongs to one
// incarnation.
type Incarnation struct {
	ID string `json:"id"`
	// Born is the start time by the server's own clock in Unix milliseconds, or 0 if the
	// server does not report it. Clocks may jump, so it identifies an incarnation but
	// only suggests which one is newer.
	Born int64 `json:"born,omitempty"`
}

// String returns the id, followed by the start time if it is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

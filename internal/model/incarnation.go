package model

import "strconv"

// Incarnation is one start of a backend server. A server may start again under
// the id that it had: it then holds nothing and knows nothing of before, so
// whatever is believed about a server is believed about one incarnation of it.
type Incarnation struct {
	ID string `json:"id"`
	// Born is when it started, by its own clock, in Unix milliseconds; 0 where
	// the server does not tell. Clocks jump, so it tells incarnations apart and
	// is no more than a hint which of them came first.
	Born int64 `json:"born,omitempty"`
}

// String gives the id, and the start where it is known, for logs.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

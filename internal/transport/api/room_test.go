package api

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a caller that joins late and needs room for all parts of an answer at once, which later
// callers of the service would then have to find, too.
func TestPartsAreSentInSmallMessages(t *testing.T) {
	const token = 100
	var parts [][]byte
	for range 1000 {
		parts = append(parts, make([]byte, token))
	}
	for len(parts) > 0 {
		first := firstParts(parts)
		assert.Assert(t, len(first) > 0 && sizeOf(first) <= maxJoined)
		parts = parts[len(first):]
	}
	large := [][]byte{make([]byte, 1<<20), make([]byte, token)}
	assert.Equal(t, len(firstParts(large)), 1)
}

package placement

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Another program may write the key of the plan. Guards against work for each of countless layers, and
// against a process that ends at a range beyond the model.
func TestOddPlansAreRejected(t *testing.T) {
	for name, raw := range map[string]string{
		"huge range":   `{"10.0.0.1:80":{"from":0,"to":4611686018427387904}}`,
		"out of range": `{"10.0.0.1:80":{"from":0,"to":1180591620717411303424}}`,
		"exponent":     `{"10.0.0.1:80":{"from":0,"to":1e400}}`,
		"negative":     `{"10.0.0.1:80":{"from":-1,"to":3}}`,
		"nested":       strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000),
		"null":         `null`,
	} {
		_, err := DecodePlan([]byte(raw))
		assert.Check(t, err != nil, name)
	}
	beyond := model.LayerRange{From: 8, To: 90}
	assert.Assert(t, keepsTwoHolders([]int{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, beyond, beyond))
}

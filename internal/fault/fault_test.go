package fault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// A kind without an entry in the table would be reported as an internal error.
func TestEveryKindHasAResponse(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "fault.go", nil, 0)
	assert.NilError(t, err)
	named := 0
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := v.Type.(*ast.Ident); !ok || id.Name != "Kind" {
			return true
		}
		kind, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		_, ok = table[Kind(kind)]
		assert.Check(t, ok, "%s has no response", kind)
		named++
		return true
	})
	assert.Equal(t, named, len(Kinds()))
}

// A response that permits a retry must have a retry delay.
func TestRetryableKindsHaveRetryDelay(t *testing.T) {
	for _, k := range Kinds() {
		a := k.Response()
		assert.Check(t, !a.Retryable || a.RetryAfter > 0 || k == BackendFailed, "%s", k)
	}
}

func TestFromPreservesKind(t *testing.T) {
	e := &Error{Kind: Overloaded, Msg: "full", RetryAfter: time.Minute}
	assert.Equal(t, From(errors.Wrap(e, "outer")), e)
	assert.Equal(t, From(errors.New("plain")).Kind, Internal)
	assert.Equal(t, e.RetryDelay(), time.Minute)
	assert.Equal(t, New(Overloaded, "full").RetryDelay(), Overloaded.Response().RetryAfter)
}

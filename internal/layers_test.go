package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rank orders the layers. A package imports only from its own layer or below. Packages
// that belong to no layer, such as those of the model, of errors and of the external
// services, rank lowest.
var rank = []string{"transport", "protocol", "coordination", "state"}

const prefix = "github.com/skylarkwood/skylarkwood/internal/"

func layerOf(path string) int {
	for i, l := range rank {
		if path == l || strings.HasPrefix(path, l+"/") {
			return i
		}
	}
	return -1
}

func TestLayersImportOneWay(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		from := layerOf(filepath.ToSlash(path))
		if from < 0 {
			return nil
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, im := range f.Imports {
			name := strings.Trim(im.Path.Value, `"`)
			if !strings.HasPrefix(name, prefix) {
				continue
			}
			if to := layerOf(strings.TrimPrefix(name, prefix)); to >= 0 && to < from {
				t.Errorf("%s (%s) imports %s (%s)", path, rank[from], name, rank[to])
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 10, "only %d files were checked", files)
}

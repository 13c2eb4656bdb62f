package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageQuotesTheLog guards against log messages and keys that
// OPERATIONS.md quotes and the code no longer writes.
func TestOperationsPageQuotesTheLog(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	literals := stringLiterals(t, "../internal", "../platform", "../cmd")
	quoted := 0
	for i, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, `    "`) {
			quoted++
			checkLogLine(t, i+1, strings.TrimSpace(line), literals)
			continue
		}
		for _, message := range messagesIn(line) {
			quoted++
			assert.Check(t, partOfAny(message, literals), "line %d: no string in the code contains %q", i+1, message)
		}
	}
	assert.Assert(t, quoted > 50, "only %d quotations were found", quoted)
}

var (
	logKey     = regexp.MustCompile(`(?:^| )([a-zA-Z]+)=`)
	quotation  = regexp.MustCompile(`"[^"]*"`)
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	logMessage = regexp.MustCompile(`^"?([a-zA-Z][a-z'-]*(?: [a-z0-9'-]+)+)"?$`)
)

// checkLogLine checks a log line of the page: its message is a string of the
// code, and so is each key after it.
func checkLogLine(t *testing.T, number int, line string, literals map[string]bool) {
	t.Helper()
	message := quotation.FindString(line)
	assert.Check(t, literals[strings.Trim(message, `"`)], "line %d: the code has no string %s", number, message)
	keys := quotation.ReplaceAllString(line[len(message):], "")
	for _, m := range logKey.FindAllStringSubmatch(keys, -1) {
		assert.Check(t, literals[m[1]], "line %d: the code has no string %q", number, m[1])
	}
}

// messagesIn returns the code spans of a line of text that consist of several words.
func messagesIn(line string) []string {
	var messages []string
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		if m := logMessage.FindStringSubmatch(span[1]); m != nil {
			messages = append(messages, m[1])
		}
	}
	return messages
}

func partOfAny(message string, literals map[string]bool) bool {
	for l := range literals {
		if strings.Contains(l, message) {
			return true
		}
	}
	return false
}

// stringLiterals returns the string literals of the Go files below some folders,
// tests left out.
func stringLiterals(t *testing.T, folders ...string) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if b, ok := n.(*ast.BasicLit); ok && b.Kind == token.STRING {
					if s, err := strconv.Unquote(b.Value); err == nil {
						literals[s] = true
					}
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	return literals
}

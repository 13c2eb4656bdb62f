package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

// Wrong usage must yield an error that names the mistake, and the exit code for it.
func TestWrongUsage(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	assert.NilError(t, os.WriteFile(bad, []byte("customer = \"c\"\nprioritee = 1\n"), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		want string
		code int
	}{
		{"unknown output", []string{"status", "-o", "xml"}, "takes text or json", exitUsage},
		{"customer missing", []string{"outcome", "r1"}, "customer", exitFailed},
		{"unknown key in a template", []string{"template", "set", bad, "--author", "a"}, "prioritee: unknown key", exitFailed},
		{"no such settings", []string{"settings", "check", filepath.Join(dir, "none")}, "no such file", exitFailed},
		{"entry unreachable", []string{"status", "--entry", "http://127.0.0.1:1"}, "is --entry right?", exitFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, _, errOut := run(tc.args...)
			assert.Equal(t, code, tc.code, errOut)
			assert.Assert(t, strings.Contains(errOut, tc.want), errOut)
		})
	}
}

func TestSettingsCheckAcceptsExample(t *testing.T) {
	code, out, errOut := run("settings", "check", "../../examples/split/entry.toml")
	assert.Equal(t, code, exitOK, errOut)
	assert.Assert(t, strings.Contains(out, "entry entry-1, in order"))
}

// Guards against templates that change when they are printed and read again.
func TestPrintedTemplateReadsBack(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/template-*.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, f := range files {
		raw, err := os.ReadFile(f)
		assert.NilError(t, err)
		m, err := parseTemplate(raw)
		assert.NilError(t, err)
		var printed bytes.Buffer
		printTemplate(&printed, changeOf(m))
		again, err := parseTemplate(printed.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, again.Template.String(), m.Template.String())
	}
}

func FuzzTemplate(f *testing.F) {
	f.Add([]byte("customer = \"c\"\nrevision = 1\n[[services]]\nservice = \"s\"\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := parseTemplate(raw); err == nil {
			assert.Assert(t, m.Template != nil)
		}
	})
}

func changeOf(m *v1.SetTemplateRequest) *v1.TemplateChange {
	return &v1.TemplateChange{Template: m.Template, Revision: m.ExpectedRevision}
}

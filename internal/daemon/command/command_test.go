package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that exits without logging the reason as its last line.
func TestLastLogLineNamesTheError(t *testing.T) {
	dir := t.TempDir()
	const elsewhere = "192.0.2.1:7400" // reserved for documentation
	path := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf("role = \"router\"\ninstance = \"r\"\nfailure_domain = \"a\"\n[router]\ncallers = %q\nready = %q\npeers = %q\nstore = %q\n",
		elsewhere, elsewhere, elsewhere, elsewhere)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	before := os.Stdout
	os.Stdout = out
	code := Main([]string{"--settings", path})
	os.Stdout = before
	assert.Equal(t, code, exitFailure)
	log, err := os.ReadFile(out.Name())
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	last := lines[len(lines)-1]
	assert.Assert(t, strings.Contains(last, "process exiting") && strings.Contains(last, "cannot assign requested address"), "%s", last)
}

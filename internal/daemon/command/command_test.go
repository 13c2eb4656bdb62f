package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A router cannot listen where its settings say, and its process ends. Its log's last
// line gives the reason: an end without one is then a kill from outside, or a crash
// whose stack stands on standard error.
func TestLastLineOfTheLog(t *testing.T) {
	dir := t.TempDir()
	const elsewhere = "192.0.2.1:7400" // no machine has it
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
	assert.Assert(t, strings.Contains(last, "process ends") && strings.Contains(last, "cannot assign requested address"), "%s", last)
}

package faultsoak

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The platform tells a router that has just been started that its settings changed, while
// it still reads them. The signal ended the process, which had not begun to listen for it;
// callers saw a router start and be gone. Here the settings are a pipe, so that the router
// is surely reading them when the signal comes; it must end by what they say.
func TestHangupWhileReadingSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(binary, "--settings", file)
	assert.NilError(t, cmd.Start())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // once the router has opened it
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("role = \"none\"\n") // fails where nobody reads any more
	assert.Check(t, err == nil, "%v", err)
	assert.NilError(t, pipe.Close())
	var exit *exec.ExitError
	assert.Assert(t, errors.As(cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), 1, "%s", exit)
}

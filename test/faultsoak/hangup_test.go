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

// Guards against SIGHUP terminating a router that still reads its settings. The
// settings file is a pipe, so that the signal arrives during the read.
func TestHangupWhileReadingSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(binary, "--settings", file)
	assert.NilError(t, cmd.Start())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the router has opened it
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("role = \"none\"\n") // fails if the router has exited
	assert.Check(t, err == nil, "%v", err)
	assert.NilError(t, pipe.Close())
	var exit *exec.ExitError
	assert.Assert(t, errors.As(cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), 1, "%s", exit)
}

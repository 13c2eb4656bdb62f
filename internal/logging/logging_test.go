package logging

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// A router has stopped and closes its log while a request that outlived the grace
// time, or a link that ends, still writes a line. The line comes too late; the
// process must not end by it, with a stack and a failure's exit code in place of a
// clean stop.
func TestLineAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	_, err := w.Write([]byte("before\n"))
	assert.NilError(t, err)
	w.Close()
	n, err := w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, len("after\n"))
	assert.Equal(t, out.String(), "before\n")
	assert.Equal(t, w.Dropped(), int64(1))
}

// childVariable tells the test program that it is the process under test.
const childVariable = "LOGGING_TEST_CHILD"

// Whoever reads a process's log goes away: a collector restarts. Callers notice
// nothing, as the lines are lost and the process goes on; by default the first line
// after it ends the process at once with SIGPIPE, with every request that it serves.
func TestReaderOfTheLogEnds(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		logWithoutReader()
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestReaderOfTheLogEnds$")
	child.Env = append(os.Environ(), childVariable+"=1")
	in, err := child.StdinPipe()
	assert.NilError(t, err)
	log, err := child.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, child.Start())
	assert.NilError(t, log.Close())
	assert.NilError(t, in.Close())
	assert.NilError(t, child.Wait())
}

// logWithoutReader writes lines once nobody reads them any more, and ends well.
func logWithoutReader() {
	w, err := ToStdout(klogFlags())
	if err != nil {
		os.Exit(2)
	}
	var end [1]byte
	_, _ = os.Stdin.Read(end[:]) // until the reader is gone
	klog.InfoS("nobody reads this")
	w.Close()
	if w.Dropped() != 1 {
		fmt.Fprintln(os.Stderr, "dropped lines:", w.Dropped())
		os.Exit(3)
	}
	os.Exit(0)
}

func klogFlags() *flag.FlagSet {
	f := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(f)
	return f
}

// A line that tells of an error stands in the log once.
func TestErrorLineStandsOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(path)
	assert.NilError(t, err)
	before := os.Stdout
	os.Stdout = out
	w, err := ToStdout(klogFlags())
	os.Stdout = before
	assert.NilError(t, err)
	klog.ErrorS(nil, "a fault")
	w.Close()
	log, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(log), "a fault"), 1)
}

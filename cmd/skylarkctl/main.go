// Skylarkctl is the command line client for callers, operators and support engineers.
package main

import (
	"os"

	"github.com/skylarkwood/skylarkwood/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// Skylarkwoodd is the daemon: a router, an entry, a sidecar, or a small system for development.
package main

import (
	"os"

	"github.com/skylarkwood/skylarkwood/internal/daemon/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}

// Skylark-standin runs one stand-in for an outside system as a process of its
// own, for tests. It is not shipped.
package main

import (
	"os"

	"github.com/skylarkwood/skylarkwood/internal/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}

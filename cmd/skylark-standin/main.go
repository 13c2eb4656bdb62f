// Skylark-standin simulates one external system in a process of its own, for tests. It is not
// shipped.
package main

import (
	"os"

	"github.com/skylarkwood/skylarkwood/internal/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}

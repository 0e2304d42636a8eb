// Command galenahitch serves language-model answers and plain services on VMs
// that the cloud can reclaim, and administers the entries that do.
package main

import (
	"os"
	"time"

	"github.com/galenahitch/galenahitch/internal/commander"
	"github.com/galenahitch/galenahitch/platform"
)

func main() {
	os.Exit(int(commander.Main(os.Args[1:], commander.IO{Out: os.Stdout, Err: os.Stderr, Now: time.Now}, platform.Command())))
}

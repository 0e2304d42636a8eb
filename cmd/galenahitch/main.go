// Command galenahitch runs entries, which route requests to language models and
// other services on VMs that the cloud can reclaim, and administers them.
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

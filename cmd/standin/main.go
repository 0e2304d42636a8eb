// Command standin runs small stand-ins for the systems that galenahitch meets.
package main

import (
	"os"

	"github.com/galenahitch/galenahitch/internal/emulator"
)

func main() { os.Exit(emulator.Main(os.Args[1:])) }

// Command standin runs stand-ins (small emulations) of the systems around
// galenahitch, and experiments that measure its decisions.
package main

import (
	"os"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/experimenter"
)

func main() {
	os.Exit(emulator.Main(os.Args[1:], emulator.Command{
		Name: "experiment", Short: "measure the decisions of galenahitch in virtual time", Data: &experimenter.Command{},
	}))
}

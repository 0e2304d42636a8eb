// Command standin runs small stand-ins for the systems that galenahitch meets,
// and the experiments that measure its decisions.
package main

import (
	"os"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/experimenter"
)

func main() {
	os.Exit(emulator.Main(os.Args[1:], emulator.Command{
		Name: "experiment", Short: "measure the decisions in virtual time", Data: &experimenter.Command{},
	}))
}

package scenario_test

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenahitch/galenahitch/internal/commander"
	"github.com/galenahitch/galenahitch/internal/emulator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"galenahitch": func() {
			os.Exit(int(commander.Main(os.Args[1:], commander.IO{Out: os.Stdout, Err: os.Stderr, Now: time.Now})))
		},
		"standin": func() { os.Exit(emulator.Main(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		Cmds:                commands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}

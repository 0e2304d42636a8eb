package emulator

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// crashExitCode is the exit code of a stand-in that a request crashes.
const crashExitCode = 86

type listenFlag struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on, ip:port"`
}

func (l listenFlag) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	return http.Serve(listener, handler)
}

type platformCommand struct{ listenFlag }

// Execute runs a platform.
func (c *platformCommand) Execute([]string) error { return c.serve(NewPlatform(time.Now).Handler()) }

type engineCommand struct {
	listenFlag
	Version         string        `long:"version" default:"v1" description:"the model version it serves"`
	Slots           int           `long:"slots" default:"8" description:"requests that it runs at once"`
	FirstTokenDelay time.Duration `long:"first-token" default:"5ms" description:"time to the first token"`
	TokenInterval   time.Duration `long:"each-token" default:"5ms" description:"time between tokens"`
}

// Execute runs a model engine.
func (c *engineCommand) Execute([]string) error {
	return c.serve(NewEngine(EngineConfig{
		Version: c.Version, Slots: c.Slots, FirstTokenDelay: c.FirstTokenDelay, TokenInterval: c.TokenInterval, Crash: crash,
	}).Handler())
}

type serviceCommand struct {
	listenFlag
	Version string        `long:"version" default:"v1" description:"the version it serves"`
	Slots   int           `long:"slots" default:"8" description:"requests that it runs at once"`
	Delay   time.Duration `long:"delay" default:"5ms" description:"time that a call takes"`
}

// Execute runs a plain service.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(NewService(ServiceConfig{Version: c.Version, Slots: c.Slots, Delay: c.Delay, Crash: crash}).Handler())
}

func crash() { os.Exit(crashExitCode) }

type linkCommand struct {
	listenFlag
	Relays []string `long:"relay" description:"from=to, both ip:port; may be repeated"`
}

// Execute runs a link with the configured relays.
func (c *linkCommand) Execute([]string) error {
	link := NewLink()
	for _, relay := range c.Relays {
		if err := link.Relay(relay); err != nil {
			return err
		}
	}
	return c.serve(link.Handler())
}

// Command is a subcommand of the program. Data is a go-flags command: a pointer
// to a struct with an Execute method.
type Command struct {
	Name  string
	Short string
	Data  any
}

// Main runs the subcommand that args name, one of a stand-in, the load
// generator and the given commands. It returns the exit code.
func Main(args []string, more ...Command) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range append([]Command{
		{"platform", "the table, the VM list and the cloud's notices", &platformCommand{}},
		{"engine", "a model engine", &engineCommand{}},
		{"service", "a plain service", &serviceCommand{}},
		{"link", "connections between entries that can be cut", &linkCommand{}},
		{"load", "an open-loop load on an entry", &loadCommand{}},
	}, more...) {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Short, c.Data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

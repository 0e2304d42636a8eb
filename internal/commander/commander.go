package commander

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit is a process exit code.
type Exit int

// The exit codes of all commands.
const (
	ExitOK Exit = iota
	// ExitFailed: the command did not do its work.
	ExitFailed
	// ExitUsage: flags, environment variables or arguments are wrong.
	ExitUsage
	// ExitProblems: the answers have mistakes.
	ExitProblems
	// ExitConflict: somebody else changed the same thing, or it is not in a
	// state that allows the change.
	ExitConflict
	// ExitUnreachable: no entry or no platform could be reached.
	ExitUnreachable
	// ExitNotYet: the awaited state was not reached in time.
	ExitNotYet
	// ExitTakenBack: the watched move was taken back.
	ExitTakenBack
)

// IO is what a command uses of the world.
type IO struct {
	Out io.Writer
	Err io.Writer
	Now func() time.Time
}

// failure is an error with its exit code.
type failure struct {
	exit Exit
	why  string
}

func (f *failure) Error() string { return f.why }

func fail(exit Exit, format string, args ...any) error {
	return &failure{exit: exit, why: fmt.Sprintf(format, args...)}
}

// command is embedded by all commands.
type command struct {
	io IO
}

// Extra is a command that another package adds to the command line. Make
// returns what package go-flags fills and executes.
type Extra struct {
	Name  string
	Short string
	Make  func(io IO) any
}

// Main parses args, runs the command that they name and returns its exit code.
func Main(args []string, io IO, more ...Extra) Exit {
	parser := flags.NewNamedParser("galenahitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "answers from language models on VMs that can be reclaimed"
	base := command{io: io}
	add(parser, "serve", "run an entry process", &serveCommand{command: base})
	add(parser, "demo", "show the system on stand-ins in this process", &demoCommand{command: base})
	answers := add(parser, "answers", "check, plan and submit answers to the questionnaire", &struct{}{})
	add(answers, "check", "name the mistakes in a file of answers", &checkCommand{command: base})
	add(answers, "plan", "show what answers would change", &planCommand{adminCommand: adminCommand{command: base}})
	add(answers, "submit", "put answers in force", &submitCommand{adminCommand: adminCommand{command: base}})
	config := add(parser, "config", "look at the configuration", &struct{}{})
	add(config, "show", "show the configuration in force", &showCommand{adminCommand: adminCommand{command: base}})
	add(config, "history", "list the accepted configurations", &historyCommand{adminCommand: adminCommand{command: base}})
	add(config, "wait", "wait until a configuration is in force everywhere", &waitCommand{adminCommand: adminCommand{command: base}})
	move := add(parser, "move", "move a deployment to another version", &struct{}{})
	add(move, "start", "start a move", &moveStartCommand{adminCommand: adminCommand{command: base}})
	add(move, "status", "show the moves", &moveStatusCommand{adminCommand: adminCommand{command: base}})
	add(move, "watch", "wait until a move is done or taken back", &moveWatchCommand{adminCommand: adminCommand{command: base}})
	add(move, "back", "take a move back", &moveBackCommand{adminCommand: adminCommand{command: base}})
	add(parser, "upstreams", "list the upstreams as an entry sees them", &upstreamsCommand{adminCommand: adminCommand{command: base}})
	add(parser, "audit", "print the audit trail", &auditCommand{adminCommand: adminCommand{command: base}})
	add(parser, "status", "show an entry and its peers", &statusCommand{adminCommand: adminCommand{command: base}})
	for _, extra := range more {
		add(parser, extra.Name, extra.Short, extra.Make(io))
	}
	_, err := parser.ParseArgs(args)
	return report(io, err)
}

// adder is a parser or a command that takes subcommands.
type adder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func add(to adder, name, short string, data any) *flags.Command {
	added, err := to.AddCommand(name, short, short, data)
	if err != nil {
		panic(err)
	}
	return added
}

func report(io IO, err error) Exit {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(io.Out, flagError.Message)
			return ExitOK
		}
		fmt.Fprintln(io.Err, flagError.Message)
		return ExitUsage
	}
	fmt.Fprintln(io.Err, "galenahitch: "+err.Error())
	var failed *failure
	if errors.As(err, &failed) {
		return failed.exit
	}
	return ExitFailed
}

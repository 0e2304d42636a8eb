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
	// ExitFailed: the command failed for a reason without a code of its own.
	ExitFailed
	// ExitUsage: flags, environment variables or arguments are wrong.
	ExitUsage
	// ExitProblems: the answers have mistakes.
	ExitProblems
	// ExitConflict: the change conflicts with another operator's change or with the
	// current state.
	ExitConflict
	// ExitUnreachable: the entry or the platform's store could not be reached.
	ExitUnreachable
	// ExitTimedOut: the command's timeout expired before the awaited state was reached.
	ExitTimedOut
	// ExitRolledBack: the watched move was rolled back.
	ExitRolledBack
)

// IO holds the output streams and the clock of a command.
type IO struct {
	Out io.Writer
	Err io.Writer
	Now func() time.Time
}

// failure is an error with its exit code.
type failure struct {
	exit    Exit
	message string
}

func (f *failure) Error() string { return f.message }

func fail(exit Exit, format string, args ...any) error {
	return &failure{exit: exit, message: fmt.Sprintf(format, args...)}
}

// command is embedded by every command.
type command struct {
	io IO
}

// ExtraCommand is a command that another package adds to the command line. Make
// returns a struct with go-flags tags that implements flags.Commander.
type ExtraCommand struct {
	Name  string
	Short string
	Make  func(io IO) any
}

// Main parses args, runs the command and returns its exit code.
func Main(args []string, io IO, extraCommands ...ExtraCommand) Exit {
	parser := flags.NewNamedParser("galenahitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "answers from language models on VMs that can be reclaimed"
	base := command{io: io}
	addCommand(parser, "serve", "run an entry process", &serveCommand{command: base})
	addCommand(parser, "demo", "demonstrate the system on emulated VMs in this process", &demoCommand{command: base})
	answers := addCommand(parser, "answers", "check, plan and submit the answers to the questionnaire", &struct{}{})
	addCommand(answers, "check", "name the mistakes in a file of answers", &checkCommand{command: base})
	addCommand(answers, "plan", "show the changes that submitting the answers would make", &planCommand{adminCommand: adminCommand{command: base}})
	addCommand(answers, "submit", "submit answers as a new configuration", &submitCommand{adminCommand: adminCommand{command: base}})
	config := addCommand(parser, "config", "show the configuration and its history", &struct{}{})
	addCommand(config, "show", "show the configuration in force", &showCommand{adminCommand: adminCommand{command: base}})
	addCommand(config, "history", "list the accepted configurations", &historyCommand{adminCommand: adminCommand{command: base}})
	addCommand(config, "wait", "wait until a configuration is in force on all entries", &waitCommand{adminCommand: adminCommand{command: base}})
	move := addCommand(parser, "move", "move a deployment to another version", &struct{}{})
	addCommand(move, "start", "start a move", &moveStartCommand{adminCommand: adminCommand{command: base}})
	addCommand(move, "status", "show the moves", &moveStatusCommand{adminCommand: adminCommand{command: base}})
	addCommand(move, "watch", "wait until a move is done or rolled back", &moveWatchCommand{adminCommand: adminCommand{command: base}})
	addCommand(move, "back", "roll a move back", &moveRollBackCommand{adminCommand: adminCommand{command: base}})
	addCommand(parser, "upstreams", "list the upstreams and their states at an entry", &upstreamsCommand{adminCommand: adminCommand{command: base}})
	addCommand(parser, "audit", "print the audit trail", &auditCommand{adminCommand: adminCommand{command: base}})
	addCommand(parser, "status", "show the status of an entry, its peers and the moves", &statusCommand{adminCommand: adminCommand{command: base}})
	for _, extra := range extraCommands {
		addCommand(parser, extra.Name, extra.Short, extra.Make(io))
	}
	_, err := parser.ParseArgs(args)
	return exitCode(io, err)
}

// commandAdder is a parser or a command that takes subcommands.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func addCommand(to commandAdder, name, short string, data any) *flags.Command {
	added, err := to.AddCommand(name, short, short, data)
	if err != nil {
		panic(err)
	}
	return added
}

// exitCode prints help to io.Out and all other errors to io.Err, and returns the exit
// code of the error.
func exitCode(io IO, err error) Exit {
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

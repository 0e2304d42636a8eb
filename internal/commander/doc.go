// Package commander is the command line of galenahitch.
//
// The command serve runs an entry process; demo runs an entry with an emulated
// platform in one process; all other commands, except answers check, call the
// administration API of an entry. Each setting is a flag and an environment
// variable. All invalid settings of serve are reported in one error before the entry
// starts.
//
//	os.Exit(commander.Main(os.Args[1:], commander.IO{Out: os.Stdout, Err: os.Stderr, Now: time.Now}))
//
// Exit codes are the constants of type Exit.
package commander

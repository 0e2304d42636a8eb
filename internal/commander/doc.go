// Package commander is the command line of galenahitch.
//
// The idea: one binary; serve runs an entry process, demo shows the system on
// stand-ins in one process, and every other command asks the administration
// API of any entry. Each setting is a flag with an environment variable, and
// all mistakes in them are reported at once before anything starts.
//
//	os.Exit(commander.Main(os.Args[1:], commander.IO{Out: os.Stdout, Err: os.Stderr, Now: time.Now}))
//
// Exit codes are the constants of type Exit.
package commander

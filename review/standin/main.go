// Command standin plays the platform, its workers and its clients in the cases of the review.
// It starts the program of the deploy file in the current directory.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(f *fleet) (bool, error){
	"reset":    runReset,
	"memory":   runMemory,
	"silence":  runSilence,
	"departed": runDeparted,
}

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// endEarly ends the case, with all processes that it started, when it is told to end or takes
// too long.
func endEarly(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		f.rec.say("could not run: %v", s)
	case <-time.After(maxTime):
		f.rec.say("could not run: it took longer than %v", maxTime)
	}
	f.end()
	os.Exit(failed)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f, err := newFleet(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("could not run: %v", err)
		return failed
	}
	defer f.end()
	go endEarly(f)
	rec.say("case %s, disruption %t", os.Args[1], f.trouble)
	isBroken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return failed
	case isBroken:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}

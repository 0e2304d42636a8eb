// Package scenario proves the system's promises with scripted failures.
//
// Each file under testdata is one story: it starts separate processes, breaks
// some of them and states what callers and operators must see. The commands
// beside those of the testscript library are described in CONTRIBUTING.md;
// they synchronise on what can be observed, never on the passing of time.
package scenario

// Package experimenter measures the decision packages in virtual time against
// small seeded models of arrivals, engines, reclaims and versions.
//
// The idea: each experiment drives the same code that entries run, compares it
// with a plain baseline in the same run and on the same seed, and prints a
// table. Nothing here is a simulator of a cluster: a model has just the parts
// that its question needs.
//
//	experimenter.Run("moves", experimenter.Config{Seed: 1, Out: os.Stdout})
//
// Pages quote only figures that such a run has printed.
package experimenter

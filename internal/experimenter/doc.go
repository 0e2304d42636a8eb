// Package experimenter measures the packages that make decisions, such as
// pkg/router and pkg/limiter, in virtual time. It runs them against small seeded
// models of arrivals, engines, reclaims and versions.
//
// Each experiment runs the same code as the entries, compares it with a simple
// baseline in the same run and on the same seed, and prints a table. A model has
// only the parts that its question needs; there is no simulator of a whole
// cluster. The experiment capacity has no baseline: it measures run time, memory
// and message sizes.
//
//	experimenter.Run("moves", experimenter.Config{Seed: 1, Out: os.Stdout})
//
// Documentation quotes only figures that such a run has printed.
package experimenter

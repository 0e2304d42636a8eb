// Package planner turns a team's answers to the questionnaire into the
// configuration that the system runs with.
//
// Operators answer in their own terms: trade, callers, which requests must not be
// repeated, how fast a version must move. Check reads the answers and returns
// every mistake with its line and remedy. Plan derives the configuration from the
// answers alone. Diff compares two configurations.
//
//	answers, problems := planner.Check(source)
//	cfg := planner.Plan(answers)
//
// A Config is one generation. It is immutable and is always sent and stored as a
// whole.
package planner

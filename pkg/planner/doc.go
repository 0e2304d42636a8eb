// Package planner turns a team's answers to the questionnaire into the
// configuration that the system runs with.
//
// The idea: operators answer in their own terms (trade, callers, which
// requests may never be repeated, how fast a version must move); everything
// the processes need follows from the answers by Plan, without hidden inputs.
// Check names the line and the remedy of every mistake at once.
//
//	answers, problems := planner.Check(source)
//	cfg := planner.Plan(answers)
//
// A Config is one generation, immutable, and travels whole.
package planner

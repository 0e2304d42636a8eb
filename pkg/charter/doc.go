// Package charter runs state machines that are described by state charts in
// files.
//
// A chart lists the states, the events that each state accepts and the state
// after each event. The files under charts/ are embedded in the program. Code
// changes a state only with Next, which allows only the transitions of the chart:
//
//	next, err := charter.Request().Next("admitted", "dispatch")
//
// For an event that the state does not accept, Next returns the state unchanged
// and an error of type Disallowed.
package charter

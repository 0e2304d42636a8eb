// Package charter interprets state charts that are kept in files.
//
// A chart lists states, the events that each accepts and the state that each
// event leads to. The files under charts/ are part of the program; code moves
// through them by Next and can't take a step that its chart does not show:
//
//	next, err := charter.Request().Next("admitted", "dispatch")
//
// An event that the chart does not allow is an error of type Disallowed and
// leaves the caller's state as it was.
package charter
